"""From the configuration and the members' announcements to the next epoch of a group.

Pure functions: no clock, no links. `next_step` decides what the group needs now; `epoch_after`
plans the epoch that follows a promotion.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from petrelhaven.control.resumable.group_observation import (
    HALTED,
    SERVING,
    EnterEpoch,
    Promote,
    Step,
    Wait,
)
from petrelhaven.control.resumable.records import EpochRecord

if TYPE_CHECKING:
    from petrelhaven.control.resumable.group_observation import GroupObservation

__all__ = ["epoch_after", "next_step"]

_ANNOUNCING_US = 1_500_000
_NO_LONGER_PRIMARY_US = 1_000_000
_NO_CANDIDATE_WAIT_US = 3_000_000
_CATCH_UP_WAIT_US = 2_500_000


def next_step(observed: GroupObservation) -> Step:
    """What the group needs now."""
    epoch = observed.epoch
    if epoch is None:
        return _begin(observed)
    if epoch.phase == SERVING:
        return _while_serving(observed, epoch)
    return _while_halted(observed, epoch)


def epoch_after(observed: GroupObservation, epoch: EpochRecord, promoted: str) -> EpochRecord:
    """The epoch that follows the promotion of a member under `epoch`."""
    awaited = [
        name
        for name in sorted(observed.members)
        if name != promoted
        and observed.is_sound(name)
        and (name in epoch.awaited or name in epoch.electable)
    ]
    electable = [name for name in epoch.electable if name != promoted]
    cause = f"elected after: {epoch.cause}"
    planned = _serving_epoch(observed, promoted, awaited, electable, cause)
    return replace(planned, term=epoch.number)


def _begin(observed: GroupObservation) -> Step:
    """The first epoch of a group, or the first after it was dropped."""
    primaries = [
        name
        for name, member in sorted(observed.members.items())
        if observed.is_live(name) and member.is_primary and not observed.is_leaving(name)
    ]
    if not primaries:
        return Wait("no primary has announced itself")
    if not observed.proxies:
        return Wait("no edge has joined")
    live = [name for name in observed.members if observed.is_live(name)]
    if len(live) < observed.group.members and observed.waited_us < _ANNOUNCING_US:
        return Wait("members are still announcing themselves")
    members = observed.members
    primary = max(primaries, key=lambda name: (members[name].term, members[name].log))
    awaited = _replicas_to_await(observed, primary)
    return EnterEpoch(_serving_epoch(observed, primary, awaited, [], "first plan"))


def _while_serving(observed: GroupObservation, epoch: EpochRecord) -> Step:
    halt = _reason_to_halt(observed, epoch)
    if halt is not None:
        return EnterEpoch(halt)
    primary = _primary_of(epoch)
    replicas = _replicas_to_await(observed, primary)
    lost = [
        name
        for name in epoch.awaited
        if name not in replicas or not observed.has_planned_store(name, epoch)
    ]
    awaited = [name for name in replicas if name not in lost]

    def serving(electable: Iterable[str], cause: str) -> EnterEpoch:
        return EnterEpoch(_serving_epoch(observed, primary, awaited, electable, cause))

    if lost:
        return serving(epoch.electable, "replica out: " + ",".join(lost))
    if not (observed.is_in_force and observed.is_settled):
        return Wait("the epoch is not in force everywhere yet")
    added = sorted(set(awaited) - set(epoch.awaited))
    if added:
        return serving(epoch.electable, "replica in: " + ",".join(added))
    caught_up = _caught_up(observed, epoch)
    if caught_up:
        electable = [*epoch.electable, *caught_up]
        return serving(electable, "replica caught up: " + ",".join(caught_up))
    planned = _serving_epoch(observed, primary, awaited, epoch.electable, "")
    cause = _cause_of_change(planned, epoch)
    return EnterEpoch(replace(planned, cause=cause)) if cause else Wait("serving")


def _reason_to_halt(observed: GroupObservation, epoch: EpochRecord) -> EpochRecord | None:
    """The epoch that stops writes, if the primary is lost or about to leave."""
    primary = _primary_of(epoch)
    if not observed.is_live(primary):
        return _halted_epoch(observed, epoch, "primary lost")
    member = observed.members[primary]
    if not observed.has_planned_store(primary, epoch):
        return _halted_epoch(observed, epoch, "primary came back with another store")
    if not member.is_primary and member.not_primary_us > _NO_LONGER_PRIMARY_US:
        return _halted_epoch(observed, epoch, "primary is no longer one")
    may_leave = _candidates(observed) or observed.waited_us > _NO_CANDIDATE_WAIT_US
    if observed.is_leaving(primary) and may_leave:
        cause = "primary draining" if member.draining else "hall emptied"
        return _halted_epoch(observed, epoch, cause, observed.bounds.grace_us)
    return None


def _caught_up(observed: GroupObservation, epoch: EpochRecord) -> list[str]:
    """Replicas that hold every acknowledged commit by now, and may be elected from now on."""
    if observed.caught_up_at is None:
        return []
    return [
        name
        for name in epoch.awaited
        if name not in epoch.electable
        and observed.members[name].term == epoch.term
        and observed.members[name].log >= observed.caught_up_at
    ]


def _cause_of_change(planned: EpochRecord, epoch: EpochRecord) -> str:
    """What differs between the epoch in force and the one planned now, or ""."""
    if planned.readers != epoch.readers:
        return "read gates changed"
    if planned.open != epoch.open:
        return "in-sync least changed"
    if planned.shares != epoch.shares:
        return "edges or caps changed"
    if any(place != epoch.places.get(name) for name, place in planned.places.items()):
        return "a member restarted or moved"
    return ""


def _while_halted(observed: GroupObservation, epoch: EpochRecord) -> Step:
    if not observed.is_in_force:
        return Wait("writes to the old primary are being stopped")
    old = _primary_of(epoch)
    candidates = _candidates(observed)
    is_back = observed.is_live(old) and observed.has_planned_store(old, epoch)
    target = observed.target
    if target and target != old and target not in candidates:
        return EnterEpoch(_halted_epoch(observed, epoch, f"candidate {target} lost"))
    if candidates:
        candidate = target or _highest(observed, candidates)
        if is_back and _must_catch_up(observed, candidate, old):
            return Wait(f"{candidate} catches up with {old}")
        return Promote(candidate)
    if is_back and not observed.is_leaving(old):
        return Promote(old)
    electable = ",".join(epoch.electable or ["(no in-sync replica)"])
    return Wait(f"no safe candidate: none of {electable} is alive and staying")


def _must_catch_up(observed: GroupObservation, candidate: str, old: str) -> bool:
    """Whether the candidate lacks a part of the log of an old primary that still is one."""
    primary = observed.members[old]
    is_behind = observed.members[candidate].log < primary.log
    return primary.is_primary and is_behind and observed.waited_us < _CATCH_UP_WAIT_US


def _highest(observed: GroupObservation, names: Iterable[str]) -> str:
    """The member with the newest log, among equals one that isn't stalled."""

    def rank(name: str) -> tuple[int, int, bool, str]:
        member = observed.members[name]
        return (member.term, member.log, not member.is_stalled, name)

    return max(names, key=rank)


def _candidates(observed: GroupObservation) -> list[str]:
    """Replicas that hold every acknowledged commit, live and staying."""
    epoch = observed.epoch
    if epoch is None:
        return []
    return [
        name
        for name in epoch.electable
        if name != epoch.primary
        and observed.is_live(name)
        and not observed.is_leaving(name)
        and observed.has_planned_store(name, epoch)
    ]


def _replicas_to_await(observed: GroupObservation, primary: str) -> list[str]:
    """Replicas whose acknowledgement commits may wait for; a new one must be near first."""
    epoch = observed.epoch
    return [
        name
        for name, member in sorted(observed.members.items())
        if name != primary
        and observed.is_sound(name)
        and (epoch is None or name in epoch.awaited or member.is_near)
    ]


def _primary_of(epoch: EpochRecord) -> str:
    if epoch.primary is None:
        raise ValueError(f"epoch {epoch.number} of {epoch.group} has no primary")
    return epoch.primary


def _serving_epoch(
    observed: GroupObservation,
    primary: str,
    awaited: Iterable[str],
    electable: Iterable[str],
    cause: str,
) -> EpochRecord:
    """The next epoch, under which `primary` serves."""
    waited_for = tuple(sorted(awaited))
    stores = _planned_stores(observed, primary, waited_for)
    before = observed.epoch.stores if observed.epoch else {}
    same_store = [name for name in electable if stores.get(name) == before.get(name)]
    in_sync, is_open = _in_sync(observed, waited_for, same_store)
    return replace(
        _epoch(observed, SERVING, primary, cause),
        awaited=waited_for,
        electable=tuple(sorted(in_sync)),
        open=is_open,
        shares=_shares(observed),
        stores=stores,
    )


def _halted_epoch(
    observed: GroupObservation, epoch: EpochRecord, cause: str, grace_us: int = 0
) -> EpochRecord:
    """The next epoch, under which nobody takes writes; all else stays as it is."""
    return replace(
        _epoch(observed, HALTED, _primary_of(epoch), cause),
        awaited=tuple(sorted(epoch.awaited)),
        electable=tuple(sorted(epoch.electable)),
        open=epoch.open,
        shares=epoch.shares,
        stores=epoch.stores,
        grace_us=grace_us,
    )


def _epoch(observed: GroupObservation, phase: str, primary: str, cause: str) -> EpochRecord:
    """What the epochs of both phases have in common."""
    old, members = observed.epoch, observed.members
    readers = [
        name
        for name, member in sorted(members.items())
        if name != primary and observed.is_sound(name) and member.warm
    ]
    places = {
        name: {"addr": member.address, "hall": member.zone, "boot": member.boot}
        for name, member in sorted(members.items())
    }
    return EpochRecord(
        group=observed.group.name,
        number=observed.last_number + 1,
        phase=phase,
        primary=primary,
        readers=tuple(readers),
        term=members[primary].term if old is None else old.term,
        places=places,
        cause=cause,
        evidence={name: member.to_evidence() for name, member in sorted(members.items())},
        previous=old.primary if old else None,
    )


def _planned_stores(
    observed: GroupObservation, primary: str, awaited: Iterable[str]
) -> dict[str, str]:
    """The store that each member is planned with: those waited for count with what they have."""
    members = observed.members
    present = {name: members[name].store for name in awaited}
    if observed.epoch is None:
        return {**present, primary: members[primary].store}
    return {**observed.epoch.stores, **present}


def _in_sync(
    observed: GroupObservation, awaited: Sequence[str], electable: Sequence[str]
) -> tuple[list[str], bool]:
    """Who may be elected, and whether writes are acknowledged.

    They are only while enough of the replicas waited for may be elected. While they are not,
    nothing new is acknowledged, so whoever could be elected still can.
    """
    stores = observed.epoch.stores if observed.epoch else {}
    members = observed.members
    remaining = [
        name
        for name in electable
        if name in awaited and members[name].store == stores.get(name, members[name].store)
    ]
    if len(remaining) >= observed.group.least:
        return remaining, True
    return list(electable), False


def _shares(observed: GroupObservation) -> dict[str, dict[str, int]]:
    """Splits each member's connections among the proxies; the first ones get what is left over."""
    proxies = sorted(observed.proxies)
    shares: dict[str, dict[str, int]] = {proxy: {} for proxy in observed.proxies}
    if not proxies:
        return shares
    for name, member in sorted(observed.members.items()):
        capacity = min(observed.group.cap, member.capacity)
        share, left_over = divmod(capacity, len(proxies))
        for index, proxy in enumerate(proxies):
            shares[proxy][name] = share + (index < left_over)
    return shares

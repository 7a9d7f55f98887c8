"""Plans the next epoch of a group from the configuration and the members' announcements.

These are pure functions without access to a clock or the network. `next_step` returns the step that
the group needs now; `epoch_after` plans the epoch that follows a promotion.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from petrelhaven.control.resumable.group_observation import (
    HALTED,
    SERVING,
    AppendEpoch,
    Promote,
    Step,
    Wait,
)
from petrelhaven.control.resumable.records import EpochRecord

if TYPE_CHECKING:
    from petrelhaven.control.resumable.group_observation import GroupObservation

__all__ = ["epoch_after", "next_step"]

_MAX_ANNOUNCEMENT_WAIT_US = 1_500_000
_MAX_NOT_PRIMARY_US = 1_000_000
_MAX_CANDIDATE_WAIT_US = 3_000_000
_MAX_CATCH_UP_WAIT_US = 2_500_000


def next_step(observed: GroupObservation) -> Step:
    """Returns the step that the group needs now."""
    epoch = observed.epoch
    if epoch is None:
        return _first_step(observed)
    if epoch.phase == SERVING:
        return _step_while_serving(observed, epoch)
    return _step_while_halted(observed, epoch)


def epoch_after(observed: GroupObservation, epoch: EpochRecord, promoted: str) -> EpochRecord:
    """Plans the epoch that follows the promotion of a member under `epoch`."""
    sync_replicas = [
        name
        for name in sorted(observed.members)
        if name != promoted
        and observed.is_healthy_replica(name)
        and (name in epoch.sync_replicas or name in epoch.electable)
    ]
    electable = [name for name in epoch.electable if name != promoted]
    cause = f"elected after: {epoch.cause}"
    planned = _plan_serving_epoch(observed, promoted, sync_replicas, electable, cause)
    return replace(planned, term=epoch.number)


def _first_step(observed: GroupObservation) -> Step:
    """Plans the first epoch of a group, or the first since it was dropped and added again."""
    primaries = [
        name
        for name, member in sorted(observed.members.items())
        if observed.is_live(name) and member.is_primary and not observed.is_leaving(name)
    ]
    if not primaries:
        return Wait("no primary has announced itself")
    if not observed.proxies:
        return Wait("no proxy has joined")
    live = [name for name in observed.members if observed.is_live(name)]
    if len(live) < observed.group.members and observed.waited_us < _MAX_ANNOUNCEMENT_WAIT_US:
        return Wait("not all members have announced themselves yet")
    members = observed.members
    primary = max(primaries, key=lambda name: (members[name].term, members[name].log))
    sync_replicas = _eligible_sync_replicas(observed, primary)
    return AppendEpoch(_plan_serving_epoch(observed, primary, sync_replicas, [], "first plan"))


def _step_while_serving(observed: GroupObservation, epoch: EpochRecord) -> Step:
    """Returns the step for a group whose epoch permits writes."""
    halting_epoch = _plan_halt(observed, epoch)
    if halting_epoch is not None:
        return AppendEpoch(halting_epoch)
    primary = _primary_of(epoch)
    replicas = _eligible_sync_replicas(observed, primary)
    lost = [
        name
        for name in epoch.sync_replicas
        if name not in replicas or not observed.has_planned_store(name, epoch)
    ]
    sync_replicas = [name for name in replicas if name not in lost]

    def serving(electable: Iterable[str], cause: str) -> AppendEpoch:
        return AppendEpoch(_plan_serving_epoch(observed, primary, sync_replicas, electable, cause))

    if lost:
        return serving(epoch.electable, "replica out: " + ",".join(lost))
    if not (observed.is_in_force and observed.is_settled):
        return Wait("the epoch is not in force at all proxies yet")
    added = sorted(set(sync_replicas) - set(epoch.sync_replicas))
    if added:
        return serving(epoch.electable, "replica in: " + ",".join(added))
    caught_up = _caught_up_replicas(observed, epoch)
    if caught_up:
        electable = [*epoch.electable, *caught_up]
        return serving(electable, "replica caught up: " + ",".join(caught_up))
    planned = _plan_serving_epoch(observed, primary, sync_replicas, epoch.electable, "")
    cause = _change_cause(planned, epoch)
    return AppendEpoch(replace(planned, cause=cause)) if cause else Wait("serving")


def _plan_halt(observed: GroupObservation, epoch: EpochRecord) -> EpochRecord | None:
    """Plans the epoch that stops writes if the primary is lost or leaving; otherwise None."""
    primary = _primary_of(epoch)
    if not observed.is_live(primary):
        return _plan_halted_epoch(observed, epoch, "primary lost")
    member = observed.members[primary]
    if not observed.has_planned_store(primary, epoch):
        return _plan_halted_epoch(observed, epoch, "primary came back with another store")
    if not member.is_primary and member.not_primary_us > _MAX_NOT_PRIMARY_US:
        return _plan_halted_epoch(observed, epoch, "primary is no longer one")
    may_halt = _candidates(observed) or observed.waited_us > _MAX_CANDIDATE_WAIT_US
    if observed.is_leaving(primary) and may_halt:
        cause = "primary draining" if member.draining else "hall emptied"
        return _plan_halted_epoch(observed, epoch, cause, observed.bounds.grace_us)
    return None


def _caught_up_replicas(observed: GroupObservation, epoch: EpochRecord) -> list[str]:
    """Returns the replicas that have caught up, so that they hold every acknowledged commit."""
    if observed.catch_up_position is None:
        return []
    return [
        name
        for name in epoch.sync_replicas
        if name not in epoch.electable
        and observed.members[name].term == epoch.term
        and observed.members[name].log >= observed.catch_up_position
    ]


def _change_cause(planned: EpochRecord, epoch: EpochRecord) -> str:
    """Returns what differs between the current epoch and the one planned now, or ""."""
    if planned.readers != epoch.readers:
        return "read gates changed"
    if planned.acknowledges_writes != epoch.acknowledges_writes:
        return "in-sync least changed"
    if planned.shares != epoch.shares:
        return "edges or caps changed"
    if any(location != epoch.locations.get(name) for name, location in planned.locations.items()):
        return "a member restarted or moved"
    return ""


def _step_while_halted(observed: GroupObservation, epoch: EpochRecord) -> Step:
    """Returns the step for a group whose writes are stopped until a primary is promoted."""
    if not observed.is_in_force:
        return Wait("writes to the old primary are being stopped")
    old_primary = _primary_of(epoch)
    candidates = _candidates(observed)
    is_back = observed.is_live(old_primary) and observed.has_planned_store(old_primary, epoch)
    target = observed.target
    if target and target != old_primary and target not in candidates:
        return AppendEpoch(_plan_halted_epoch(observed, epoch, f"candidate {target} lost"))
    if candidates:
        candidate = target or _most_advanced(observed, candidates)
        if is_back and _must_catch_up(observed, candidate, old_primary):
            return Wait(f"candidate {candidate} is catching up with {old_primary}")
        return Promote(candidate)
    if is_back and not observed.is_leaving(old_primary):
        return Promote(old_primary)
    electable = ",".join(epoch.electable or ["(no in-sync replica)"])
    return Wait(f"no safe candidate: none of {electable} is alive without leaving")


def _must_catch_up(observed: GroupObservation, candidate: str, old_primary: str) -> bool:
    """Returns whether to wait until the candidate has the log of the old primary.

    The wait ends after a time limit, or once the old primary no longer announces itself as one.
    """
    primary = observed.members[old_primary]
    is_behind = observed.members[candidate].log < primary.log
    return primary.is_primary and is_behind and observed.waited_us < _MAX_CATCH_UP_WAIT_US


def _most_advanced(observed: GroupObservation, names: Iterable[str]) -> str:
    """Returns the member with the newest log; of equal ones, one that is not stalled."""

    def rank(name: str) -> tuple[int, int, bool, str]:
        member = observed.members[name]
        return (member.term, member.log, not member.is_stalled, name)

    return max(names, key=rank)


def _candidates(observed: GroupObservation) -> list[str]:
    """Returns the live replicas that hold every acknowledged commit and are not leaving."""
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


def _eligible_sync_replicas(observed: GroupObservation, primary: str) -> list[str]:
    """Returns the replicas that commits may wait for.

    A replica is added only once its log is close to the primary's, so that commits don't wait for
    it to catch up.
    """
    epoch = observed.epoch
    return [
        name
        for name, member in sorted(observed.members.items())
        if name != primary
        and observed.is_healthy_replica(name)
        and (epoch is None or name in epoch.sync_replicas or member.is_near)
    ]


def _primary_of(epoch: EpochRecord) -> str:
    if epoch.primary is None:
        raise ValueError(f"epoch {epoch.number} of {epoch.group} has no primary")
    return epoch.primary


def _plan_serving_epoch(
    observed: GroupObservation,
    primary: str,
    sync_replicas: Iterable[str],
    electable: Iterable[str],
    cause: str,
) -> EpochRecord:
    """Plans the next epoch, under which `primary` accepts writes."""
    sync_replicas = tuple(sorted(sync_replicas))
    stores = _planned_stores(observed, primary, sync_replicas)
    previous_stores = observed.epoch.stores if observed.epoch else {}
    same_store = [name for name in electable if stores.get(name) == previous_stores.get(name)]
    still_electable, acknowledges_writes = _electable_replicas(observed, sync_replicas, same_store)
    return replace(
        _plan_next_epoch(observed, SERVING, primary, cause),
        sync_replicas=sync_replicas,
        electable=tuple(sorted(still_electable)),
        acknowledges_writes=acknowledges_writes,
        shares=_split_connections(observed),
        stores=stores,
    )


def _plan_halted_epoch(
    observed: GroupObservation, epoch: EpochRecord, cause: str, grace_us: int = 0
) -> EpochRecord:
    """Plans the next epoch, under which no member accepts writes; the rest is unchanged."""
    return replace(
        _plan_next_epoch(observed, HALTED, _primary_of(epoch), cause),
        sync_replicas=tuple(sorted(epoch.sync_replicas)),
        electable=tuple(sorted(epoch.electable)),
        acknowledges_writes=epoch.acknowledges_writes,
        shares=epoch.shares,
        stores=epoch.stores,
        grace_us=grace_us,
    )


def _plan_next_epoch(
    observed: GroupObservation, phase: str, primary: str, cause: str
) -> EpochRecord:
    """Plans the part of the next epoch that doesn't depend on its phase."""
    previous_epoch, members = observed.epoch, observed.members
    readers = [
        name
        for name, member in sorted(members.items())
        if name != primary and observed.is_healthy_replica(name) and member.warm
    ]
    locations = {
        name: {"addr": member.address, "hall": member.zone, "boot": member.boot}
        for name, member in sorted(members.items())
    }
    return EpochRecord(
        group=observed.group.name,
        number=observed.last_number + 1,
        phase=phase,
        primary=primary,
        readers=tuple(readers),
        term=members[primary].term if previous_epoch is None else previous_epoch.term,
        locations=locations,
        cause=cause,
        evidence={name: member.to_evidence() for name, member in sorted(members.items())},
        previous_primary=previous_epoch.primary if previous_epoch else None,
    )


def _planned_stores(
    observed: GroupObservation, primary: str, sync_replicas: Iterable[str]
) -> dict[str, str]:
    """Returns the store to record for each member; sync replicas get their present store."""
    members = observed.members
    present = {name: members[name].store for name in sync_replicas}
    if observed.epoch is None:
        return {**present, primary: members[primary].store}
    return {**observed.epoch.stores, **present}


def _electable_replicas(
    observed: GroupObservation, sync_replicas: Sequence[str], electable: Sequence[str]
) -> tuple[list[str], bool]:
    """Returns the electable replicas, and whether writes are acknowledged.

    Writes are acknowledged only while enough sync replicas are electable. Without acknowledgements,
    no replica falls behind the acknowledged commits, so the electable ones stay electable.
    """
    stores = observed.epoch.stores if observed.epoch else {}
    members = observed.members
    remaining = [
        name
        for name in electable
        if name in sync_replicas and members[name].store == stores.get(name, members[name].store)
    ]
    if len(remaining) >= observed.group.least:
        return remaining, True
    return list(electable), False


def _split_connections(observed: GroupObservation) -> dict[str, dict[str, int]]:
    """Splits each member's connections among the proxies; the first ones get the remainder."""
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

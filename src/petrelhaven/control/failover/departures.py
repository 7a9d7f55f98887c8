"""Keeps a leaving member's copy from being the only one, and bounds the logs of those that left.

A replica that drains still counts for `SyncReplicas`, and takes its log along when it ends. While
another replica that stays receives, the leaving one is paused and recorded as counted out: every
commit acknowledged from then on is held by one that stays. Of a member that left without that,
the log is at or below the primary's position read after its end.

A replica that ended without a word, and may never come back, is counted out as well, at the
position that the primary had after its end: else the next loss would wait for it for good.
"""

import asyncio
from typing import TYPE_CHECKING

from petrelhaven.control.failover.evidence import Evidence, Position
from petrelhaven.control.failover.member_access import MemberHandle
from petrelhaven.control.failover.observation import MUTE, REFUSED
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.failover.coordinator import FailoverCoordinator

__all__ = ["DepartureWatch"]

_ROUND_US = 300_000
_REACH_US = 600_000
_REACH_TURN_US = 40_000
_DRAIN_US = 7_000_000
_DUE_US = 5_500_000
_ENDED_US = 2_000_000
_REFUSING_US = 1_000_000
_UNFOLLOWED_US = 500_000
_SUSPECTED_US = 10_000_000


class DepartureWatch:
    """Attends to the leaving and departed members of every group; only the active head uses it."""

    def __init__(self, coordinator: "FailoverCoordinator") -> None:
        self._coordinator = coordinator
        self._core = coordinator.core
        self._clock = coordinator.clock
        self._tasks = {}
        self._handles = {}
        self._first_seen = {}
        self._draining_since = {}
        self._unfollowed_since = {}
        self._suspected: dict[tuple[str, str], int] = {}

    def suspect(self, group: str, name: str) -> None:
        """Takes word that a replica is not heard of any more; it is looked at for a while."""
        self._suspected[group, name] = self._clock.now()

    def observe(self) -> None:
        """Notes since when members drain; every core does, so that a new head knows it."""
        now = self._clock.now()
        members = self._core.chain.control_state.doc["members"]
        draining = {n for n, m in members.items() if m["state"] == "draining"}
        self._draining_since = {n: self._draining_since.get(n, now) for n in draining}

    def turn(self) -> None:
        """Starts a round for each group that needs one and has none running."""
        for group in self._core.chain.control_state.doc["offices"]:
            if group in self._tasks:
                continue
            if self._concerned(group):
                self._tasks[group] = self._core.tasks.spawn(self._round(group))
            else:
                self._forget(group)

    def stop(self) -> None:
        """This core is not the active head any more; a round that runs forgets at its end."""
        for group in [g for g in self._handles if g not in self._tasks]:
            self._forget(group)

    def _drained_for(self, name: str) -> int:
        """Microseconds since this core first knew that the member drains."""
        now = self._clock.now()
        return now - self._draining_since.get(name, now)

    def _evidence(self, group: str) -> Evidence:
        return self._core.chain.control_state.evidence(group)

    def _leaving(self, group: str) -> list[str]:
        members = self._core.chain.control_state.group(group)
        return [n for n, m in members.items() if m["state"] == "draining"]

    def _concerned(self, group: str) -> bool:
        evidence = self._evidence(group)
        suspected = any(suspect[0] == group for suspect in self._suspected)
        return bool(self._leaving(group) or evidence.unproven or evidence.counted_out or suspected)

    def _forget(self, group: str) -> None:
        for handle in self._handles.pop(group, {}).values():
            handle.close()
        self._unfollowed_since.pop(group, None)
        for key in [k for k in self._first_seen if k[0] == group]:
            del self._first_seen[key]

    def _seen_for(self, group: str, what: str) -> int:
        """Microseconds since this head first saw `what` of the group."""
        now = self._clock.now()
        return now - self._first_seen.setdefault((group, what), now)

    def _not_seen(self, group: str, what: str) -> None:
        self._first_seen.pop((group, what), None)

    async def _round(self, group: str) -> None:
        try:
            await self._attend(group)
        except Fault as e:
            emit(self._core.log, Events.RECORD_DECLINED, what=group, fault=e.code, note=e.note)
        finally:
            await self._clock.sleep(_ROUND_US)
            self._tasks.pop(group, None)
            if not self._coordinator.acts:
                self._forget(group)

    async def _attend(self, group: str) -> None:
        leadership = self._core.chain.control_state.doc["offices"][group]
        await self._sign_off_overdue(group)
        if leadership["phase"] == "move" or not self._coordinator.acts:
            return
        ended = await self._ended(group)
        lost = await self._lost(group, leadership["primary"])
        if not self._has_work(group, lost):
            return
        handles = self._refreshed(group)
        primary = handles.get(leadership["primary"])
        row = await primary.status() if primary is not None else None
        if row is None or not row.is_primary:
            return
        followed = await self._followed(group, leadership["primary"], row.position)
        if ended and (followed or self._seen_for(group, "unfollowed end") > _ENDED_US):
            self._not_seen(group, "unfollowed end")
            await self._bound(group, ended, row.position)
        await self._count_out(group, leadership["primary"], row.term + 1, followed, lost)
        if followed:
            await self._count_out_lost(group, lost, row.position)

    def _has_work(self, group: str, lost: list[str]) -> bool:
        """Whether more is to be done than to wait for lost members that are counted out already."""
        evidence = self._evidence(group)
        settled = set(evidence.counted_out) <= set(lost) <= set(evidence.counted_out)
        return bool(self._leaving(group) or evidence.unproven or not settled)

    async def _lost(self, group: str, primary: str) -> list[str]:
        """Which replicas ended without a word: at their addresses nobody answers for a while."""
        now = self._clock.now()
        members = self._core.chain.control_state.group(group)
        suspects = {name for of, name in self._suspected if of == group}
        lost = []
        for name in sorted(suspects | set(self._evidence(group).counted_out)):
            facts = members.get(name)
            if facts is None or facts["state"] != "ready" or name == primary:
                self._suspected.pop((group, name), None)
                continue
            how = await self._coordinator.observer.look(name, facts)
            if how == REFUSED:
                if self._seen_for(group, "refusing " + name) > _REFUSING_US:
                    lost.append(name)
                continue
            self._not_seen(group, "refusing " + name)
            since = self._suspected.get((group, name), 0)
            if how != MUTE or now - since > _SUSPECTED_US:
                self._suspected.pop((group, name), None)
        return lost

    async def _count_out_lost(self, group: str, lost: list[str], position: Position) -> None:
        """What only they held is at or below `position`, which one that stays has reached."""
        async with self._coordinator.pause_lock(group):
            for name in lost:
                self._suspected.pop((group, name), None)
                if name not in self._evidence(group).counted_out:
                    await self._record(group, name, position)

    def _refreshed(self, group: str) -> dict[str, MemberHandle]:
        handles = self._handles.setdefault(group, {})
        members = self._core.chain.control_state.group(group)
        for name in [n for n in handles if n not in members]:
            handles.pop(name).close()
        for name, facts in members.items():
            if name not in handles:
                handles[name] = MemberHandle(self._core.wire, self._clock, name, facts)
            handles[name].facts = facts
        return handles

    async def _followed(self, group: str, primary: str, position: Position) -> bool:
        """Whether a replica that stays receives: it reaches what the primary had a moment ago."""
        counted_out = self._evidence(group).counted_out
        staying = [
            handle
            for name, handle in self._handles[group].items()
            if name != primary and name not in counted_out and handle.facts["state"] == "ready"
        ]
        end = self._clock.now() + _REACH_US
        while staying and self._clock.now() < end:
            rows = await asyncio.gather(*[handle.status() for handle in staying])
            if any(r and not r.held_term and r.position >= position for r in rows):
                return True
            await self._clock.sleep(_REACH_TURN_US)
        return False

    async def _count_out(
        self, group: str, primary: str, term: int, followed: bool, lost: list[str]
    ) -> None:
        """Pauses those that leave while another receives, and undoes that while none does.

        Nobody receives again while an office moves: only the heir may.
        """
        counted_out = self._evidence(group).counted_out
        for name in self._leaving(group):
            if name == primary:
                continue
            due = self._drained_for(name) > _DUE_US
            must = due and primary in self._leaving(group)
            if followed or must:
                self._unfollowed_since.pop(group, None)
                await self._pause(group, name, term)
            elif name in counted_out:
                await self._undo_if_unfollowed(group, name)
        if self._core.chain.control_state.doc["offices"][group]["phase"] != "serve":
            return
        for name in counted_out:
            facts = self._core.chain.control_state.group(group).get(name)
            if facts is not None and facts["state"] == "ready" and name not in lost:
                await self._undo(group, name)

    async def _pause(self, group: str, name: str, term: int) -> None:
        handle = self._handles[group].get(name)
        if handle is None:
            return
        async with self._coordinator.pause_lock(group):
            if self._may_be_promoted(group, name):
                return
            recorded = self._evidence(group).counted_out.get(name)
            row = await handle.status()
            if row is None or row.is_primary:
                return
            if row.held_term < term:
                if recorded is not None:
                    await self._record(group, name, None)
                    recorded = None
                row = await handle.pause(term)
            if row is not None and row.position != recorded:
                await self._record(group, name, row.position)

    def _may_be_promoted(self, group: str, name: str) -> bool:
        """Whether the member is to take over, or was asked for by whoever was the head before."""
        leadership = self._core.chain.control_state.doc["offices"][group]
        requested = leadership.get("requested", ()) if leadership["phase"] != "serve" else ()
        return self._coordinator.candidates.get(group) == name or name in requested

    async def _undo_if_unfollowed(self, group: str, name: str) -> None:
        since = self._unfollowed_since.setdefault(group, self._clock.now())
        serving = self._core.chain.control_state.doc["offices"][group]["phase"] == "serve"
        if serving and self._clock.now() - since > _UNFOLLOWED_US:
            await self._undo(group, name)

    async def _undo(self, group: str, name: str) -> None:
        """Lets a counted out member receive again; the record goes first."""
        async with self._coordinator.pause_lock(group):
            await self._record(group, name, None)
            handle = self._handles[group].get(name)
            if handle is not None and not await handle.resume():
                self._coordinator.resume_later(group, name)

    async def _record(self, group: str, name: str, position: Position | None) -> None:
        await self._coordinator.record_counted_out(group, name, position)

    async def _ended(self, group: str) -> list[str]:
        """Which of the members whose logs are not bounded have certainly ended."""
        unproven = self._evidence(group).unproven
        ended = []
        for name in unproven:
            facts = self._core.chain.control_state.doc["members"].get(name)
            seen_for = self._seen_for(group, "unproven " + name)
            if facts is None:
                ended.append(name)
                continue
            how = await self._coordinator.observer.look(name, facts)
            if how == REFUSED or (how == MUTE and seen_for > _ENDED_US):
                ended.append(name)
        return ended

    async def _bound(self, group: str, ended: list[str], position: Position) -> None:
        await self._core.chain.enter(
            {
                "t": "evidence",
                "group": group,
                "what": "bounded",
                "members": ended,
                "pos": list(position),
            }
        )
        names = ",".join(ended)
        emit(self._core.log, Events.DEPARTED_LOG_BOUNDED, group=group, members=names, pos=position)

    async def _sign_off_overdue(self, group: str) -> None:
        """Signs off members that drained for their time and refuse: they ended without a word."""
        members = self._core.chain.control_state.group(group)
        for name in self._leaving(group):
            if self._drained_for(name) < _DRAIN_US:
                continue
            how = await self._coordinator.observer.look(name, members[name])
            if how != REFUSED:
                self._not_seen(group, "refusing " + name)
            elif self._seen_for(group, "refusing " + name) > _REFUSING_US:
                address = members[name]["addr"]
                rec = {"t": "member", "name": name, "state": "gone", "addr": address}
                await self._core.chain.enter(rec)

"""Keeps a leaving member's copy from being the only one, and bounds the logs of those that left.

A replica that drains still counts for `SyncReplicas`, and takes its log along when it ends. So it
is counted out before (see `counting_out`). Of a member that left without that, the log is at or
below the primary's position read after its end.

A replica that ended unannounced, and may never come back, is counted out as well: else the next
failover would wait for it for good.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from petrelhaven.control.failover.counting_out import CountingOut
from petrelhaven.control.failover.group_state import MemberEndpoint, draining_members
from petrelhaven.control.failover.observation import REFUSED, UNREACHABLE
from petrelhaven.control.state.evidence_records import LogBoundRecord
from petrelhaven.control.state.records import DepartureRecord
from petrelhaven.control.state.rows import LeadershipPhase, Member
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext
    from petrelhaven.control.failover.evidence import Evidence, Position
    from petrelhaven.control.failover.resumption import ReplicaResumption

__all__ = ["DepartureWatch"]

_ROUND_INTERVAL_US = 300_000
_SIGN_OFF_AFTER_US = 7_000_000
_COUNT_OUT_AFTER_US = 5_500_000
_ENDED_US = 2_000_000
_REFUSING_US = 1_000_000
_SUSPECTED_US = 10_000_000
_UNFOLLOWED_END = "unfollowed end"
_REFUSING, _UNPROVEN = "refusing ", "unproven "


class DepartureWatch:
    """Attends to the leaving and departed members of every group; only the active head uses it."""

    def __init__(self, context: FailoverContext, resumption: ReplicaResumption) -> None:
        """Knows of no departures yet."""
        self._context, self._resumption = context, resumption
        self._node, self._clock = context.node, context.clock
        self._suspicions, self._observer = context.suspicions, context.observer
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._counting: dict[str, CountingOut] = {}
        self._first_seen: dict[tuple[str, str], int] = {}
        self._draining_since: dict[str, int] = {}

    def note_draining(self) -> None:
        """Notes since when members drain; every node does, so that a new head knows it."""
        now = self._clock.now()
        draining = draining_members(self._node.chain.control_state.doc["members"])
        self._draining_since = {name: self._draining_since.get(name, now) for name in draining}

    def start_rounds(self) -> None:
        """Starts a round for each group that needs one and has none running."""
        for group in self._node.chain.control_state.doc["offices"]:
            if group in self._tasks:
                continue
            if self._needs_round(group):
                self._tasks[group] = self._node.tasks.spawn(self._round(group))
            else:
                self._forget(group)

    def stop(self) -> None:
        """This node is not the active head any more; a round that runs forgets at its end."""
        for group in [group for group in self._counting if group not in self._tasks]:
            self._forget(group)

    def _drained_us(self, name: str) -> int:
        """Microseconds since this node first knew that the member drains."""
        now = self._clock.now()
        return now - self._draining_since.get(name, now)

    def _evidence(self, group: str) -> Evidence:
        return self._context.evidence(group)

    def _leaving(self, group: str) -> list[Member]:
        return [m for m in self._context.members(group).values() if m.is_draining]

    def _needs_round(self, group: str) -> bool:
        evidence = self._evidence(group)
        return bool(
            self._leaving(group)
            or evidence.unproven
            or evidence.counted_out
            or self._suspicions.replicas_of(group)
        )

    def _forget(self, group: str) -> None:
        counting = self._counting.pop(group, None)
        if counting is not None:
            counting.close()
        for key in [key for key in self._first_seen if key[0] == group]:
            del self._first_seen[key]

    def _seen_us(self, group: str, condition: str) -> int:
        """Microseconds since this head first saw a condition of the group, now at the latest."""
        now = self._clock.now()
        return now - self._first_seen.setdefault((group, condition), now)

    def _not_seen(self, group: str, condition: str) -> None:
        self._first_seen.pop((group, condition), None)

    async def _round(self, group: str) -> None:
        try:
            await self._attend(group)
        except Fault as fault:
            emit(
                self._node.log,
                Events.RECORD_DECLINED,
                what=group,
                fault=fault.code,
                note=fault.note,
            )
        finally:
            await self._clock.sleep(_ROUND_INTERVAL_US)
            self._tasks.pop(group, None)
            if not self._context.is_active_head:
                self._forget(group)

    async def _attend(self, group: str) -> None:
        leadership = self._context.leadership(group)
        await self._sign_off_overdue(group)
        if leadership.phase is LeadershipPhase.FAILOVER or not self._context.is_active_head:
            return
        ended = await self._ended_members(group)
        lost = await self._lost_replicas(group, leadership.primary)
        if self._has_work(group, lost):
            await self._count_and_bound(group, leadership.primary, ended, lost)

    def _has_work(self, group: str, lost: list[str]) -> bool:
        """Whether more is to be done than to wait for lost members that are counted out already."""
        evidence = self._evidence(group)
        all_counted_out = set(lost) == set(evidence.counted_out)
        return bool(self._leaving(group) or evidence.unproven or not all_counted_out)

    async def _count_and_bound(
        self, group: str, primary: str, ended: list[str], lost: list[str]
    ) -> None:
        """What is done against the log of the primary, if it answers."""
        if group not in self._counting:
            self._counting[group] = CountingOut(self._context, self._resumption, group)
        counting = self._counting[group]
        counting.refresh()
        handle = counting.handle(primary)
        status = await handle.status() if handle is not None else None
        if status is None or not status.is_primary:
            return
        followed = await counting.is_followed(primary, status.position)
        if ended and (followed or self._seen_us(group, _UNFOLLOWED_END) > _ENDED_US):
            self._not_seen(group, _UNFOLLOWED_END)
            await self._bound(group, ended, status.position)

        def is_overdue(name: str) -> bool:
            return self._is_overdue(group, primary, name)

        await counting.update(primary, status.term + 1, followed, is_overdue, lost)
        if followed:
            await counting.count_out_lost(lost, status.position)

    def _is_overdue(self, group: str, primary: str, name: str) -> bool:
        """Whether a leaving member must be counted out now, since the primary leaves too."""
        leaving = [member.name for member in self._leaving(group)]
        return primary in leaving and self._drained_us(name) > _COUNT_OUT_AFTER_US

    async def _lost_replicas(self, group: str, primary: str) -> list[str]:
        """Which replicas ended unannounced: at their addresses nobody answers for a while."""
        suspects = self._suspicions.replicas_of(group) | set(self._evidence(group).counted_out)
        lost = []
        for name in sorted(suspects):
            member = self._context.members(group).get(name)
            if member is None or not member.is_ready or name == primary:
                self._suspicions.remove_replica(group, name)
            elif await self._is_lost(member):
                lost.append(name)
        return lost

    async def _is_lost(self, member: Member) -> bool:
        """Whether the port of a member has been closed for a while; drops refuted suspicions."""
        group, name = member.group, member.name
        observation = await self._observer.inspect(MemberEndpoint.from_member(member))
        if observation == REFUSED:
            return self._seen_us(group, _REFUSING + name) > _REFUSING_US
        self._not_seen(group, _REFUSING + name)
        suspected_us = self._clock.now() - self._suspicions.replicas.get((group, name), 0)
        if observation != UNREACHABLE or suspected_us > _SUSPECTED_US:
            self._suspicions.remove_replica(group, name)
        return False

    async def _ended_members(self, group: str) -> list[str]:
        """Which of the members whose logs are not bounded have certainly ended."""
        ended = []
        for name in self._evidence(group).unproven:
            row = self._node.chain.control_state.doc["members"].get(name)
            seen_us = self._seen_us(group, _UNPROVEN + name)
            if row is None:
                ended.append(name)
                continue
            member = Member.from_row(name, row)
            observation = await self._observer.inspect(MemberEndpoint.from_member(member))
            if observation == REFUSED or (observation == UNREACHABLE and seen_us > _ENDED_US):
                ended.append(name)
        return ended

    async def _bound(self, group: str, ended: list[str], position: Position) -> None:
        """Records that the logs of ended members are at or below `position`."""
        record = LogBoundRecord(group, tuple(ended), position)
        await self._node.chain.append_record(record.to_document())
        names = ",".join(ended)
        emit(self._node.log, Events.DEPARTED_LOG_BOUNDED, group=group, members=names, pos=position)

    async def _sign_off_overdue(self, group: str) -> None:
        """Signs off members that drained for their time and refuse: they ended unannounced."""
        for member in self._leaving(group):
            if self._drained_us(member.name) < _SIGN_OFF_AFTER_US:
                continue
            refusing = _REFUSING + member.name
            if await self._observer.inspect(MemberEndpoint.from_member(member)) != REFUSED:
                self._not_seen(group, refusing)
            elif self._seen_us(group, refusing) > _REFUSING_US:
                record = DepartureRecord(member.name, member.address)
                await self._node.chain.append_record(record.to_document())

"""Handles members that drain, sign off or end unannounced, so that no later failover needs them.

A draining replica still counts for `SyncReplicas`, and its log is lost when it ends. It is
therefore counted out before (see `counting_out`). If a member left without being counted out, its
vote is removed (see `vote_removal`), and a position of the primary that was read after that bounds
the commits that only it has; this bound is recorded. It may serve on after its sign-off, so its
vote stays removed for a while.

A replica that refuses connections unannounced may never return. It is counted out as well, since
otherwise the next failover would wait for it forever.
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
_SIGN_OFF_AFTER_DRAINING_US = 7_000_000
_COUNT_OUT_AFTER_DRAINING_US = 5_500_000
_ASSUMED_ENDED_AFTER_US = 2_000_000
_LOST_AFTER_REFUSING_US = 1_000_000
_SUSPICION_LIFETIME_US = 10_000_000
_MAX_SERVING_AFTER_SIGN_OFF_US = 30_000_000
_UNREPLICATED_END = "unreplicated end"
_REFUSING_PREFIX, _UNPROVEN_PREFIX, _DEPARTED_PREFIX = "refusing ", "unproven ", "departed "


class DepartureWatch:
    """Handles draining, departed and lost members of all groups; used by the active head only."""

    def __init__(self, context: FailoverContext, resumption: ReplicaResumption) -> None:
        """Creates the watch; `start_rounds` starts its work."""
        self._context, self._resumption = context, resumption
        self._node, self._clock = context.node, context.clock
        self._suspicions, self._observer = context.suspicions, context.observer
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._counting_out: dict[str, CountingOut] = {}
        self._first_observed: dict[tuple[str, str], int] = {}
        self._draining_since: dict[str, int] = {}

    def update_draining_times(self) -> None:
        """Tracks since when members drain; done on every control node, as any may become head."""
        now = self._clock.now()
        draining = draining_members(self._node.chain.control_state.doc["members"])
        self._draining_since = {name: self._draining_since.get(name, now) for name in draining}

    def start_rounds(self) -> None:
        """Starts a round of work for each group that needs one and has none running."""
        for group in self._node.chain.control_state.doc["offices"]:
            if group in self._tasks:
                continue
            if self._needs_round(group):
                self._tasks[group] = self._node.tasks.spawn(self._run_round(group))
            else:
                self._forget_group(group)

    def stop(self) -> None:
        """Drops the state of all groups without a running round; a running round drops its own."""
        for group in [group for group in self._counting_out if group not in self._tasks]:
            self._forget_group(group)

    def _draining_for_us(self, name: str) -> int:
        """Returns for how many microseconds this node has seen the member drain."""
        now = self._clock.now()
        return now - self._draining_since.get(name, now)

    def _evidence(self, group: str) -> Evidence:
        return self._context.evidence(group)

    def _draining_members(self, group: str) -> list[Member]:
        return [member for member in self._context.members(group).values() if member.is_draining]

    def _needs_round(self, group: str) -> bool:
        evidence = self._evidence(group)
        return bool(
            self._draining_members(group)
            or evidence.unproven
            or evidence.counted_out
            or evidence.non_voting
            or self._suspicions.replicas_of(group)
        )

    def _forget_group(self, group: str) -> None:
        counting_out = self._counting_out.pop(group, None)
        if counting_out is not None:
            counting_out.close()
        for key in [key for key in self._first_observed if key[0] == group]:
            del self._first_observed[key]

    def _observed_for_us(self, group: str, condition: str) -> int:
        """Returns the microseconds since a condition was first observed, now at the latest."""
        now = self._clock.now()
        return now - self._first_observed.setdefault((group, condition), now)

    def _clear_condition(self, group: str, condition: str) -> None:
        self._first_observed.pop((group, condition), None)

    async def _run_round(self, group: str) -> None:
        try:
            await self._process_departures(group)
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
                self._forget_group(group)

    async def _process_departures(self, group: str) -> None:
        leadership = self._context.leadership(group)
        await self._sign_off_overdue(group)
        if leadership.phase is LeadershipPhase.FAILOVER or not self._context.is_active_head:
            return
        ended_members = await self._find_ended_members(group)
        lost_replicas = await self._find_lost_replicas(group, leadership.primary)
        counting_out = self._group_counting_out(group)
        counting_out.refresh()
        await counting_out.count_in_returned(lost_replicas)
        await self._forget_departed(group)
        if self._has_work(group, lost_replicas):
            await self._update_evidence(group, leadership.primary, ended_members, lost_replicas)

    def _group_counting_out(self, group: str) -> CountingOut:
        if group not in self._counting_out:
            self._counting_out[group] = CountingOut(self._context, self._resumption, group)
        return self._counting_out[group]

    def _has_work(self, group: str, lost_replicas: list[str]) -> bool:
        """Returns whether any member is to be counted out or bounded."""
        evidence = self._evidence(group)
        done = set(evidence.counted_out) & set(evidence.non_voting)
        remaining = set(lost_replicas) - done
        return bool(self._draining_members(group) or evidence.unproven or remaining)

    async def _update_evidence(
        self, group: str, primary: str, ended_members: list[str], lost_replicas: list[str]
    ) -> None:
        """Counts members out and bounds their logs by the primary's position, if it answers."""
        counting_out = self._group_counting_out(group)
        votes = counting_out.votes
        may_bound = votes.are_removed(ended_members)
        may_count_out = votes.are_removed(lost_replicas)
        if not may_bound:
            await votes.remove(ended_members)
        handle = counting_out.find_handle(primary)
        status = await handle.status() if handle is not None else None
        if status is None or not status.is_primary:
            return
        is_replicated = await counting_out.is_replicated(primary, status.position)
        if ended_members and may_bound:
            await self._bound_logs(group, ended_members, status.position, is_replicated)

        def is_overdue(name: str) -> bool:
            return self._is_overdue(group, primary, name)

        await counting_out.update(primary, status.term + 1, is_replicated, is_overdue)
        if is_replicated and may_count_out:
            await counting_out.count_out_lost(lost_replicas, status.position)
        elif is_replicated:
            await votes.remove(lost_replicas)

    async def _bound_logs(
        self, group: str, ended_members: list[str], position: Position, is_replicated: bool
    ) -> None:
        """Bounds the logs of ended members once another replica reaches `position`, or later."""
        if (
            is_replicated
            or self._observed_for_us(group, _UNREPLICATED_END) > _ASSUMED_ENDED_AFTER_US
        ):
            self._clear_condition(group, _UNREPLICATED_END)
            await self._record_bounded_logs(group, ended_members, position)

    def _is_overdue(self, group: str, primary: str, name: str) -> bool:
        """Returns whether a draining member must be counted out as the primary drains as well."""
        draining = [member.name for member in self._draining_members(group)]
        return primary in draining and self._draining_for_us(name) > _COUNT_OUT_AFTER_DRAINING_US

    async def _find_lost_replicas(self, group: str, primary: str) -> list[str]:
        """Returns the lost replicas: they have refused connections unannounced for a while."""
        evidence = self._evidence(group)
        suspects = {
            *self._suspicions.replicas_of(group),
            *evidence.counted_out,
            *evidence.non_voting,
        }
        lost_replicas = []
        for name in sorted(suspects):
            member = self._context.members(group).get(name)
            if member is None or not member.is_ready or name == primary:
                self._suspicions.remove_replica(group, name)
            elif await self._is_lost(member):
                lost_replicas.append(name)
        return lost_replicas

    async def _is_lost(self, member: Member) -> bool:
        """Returns whether a member's port has been closed for a while; drops refuted suspicions."""
        group, name = member.group, member.name
        observation = await self._observer.inspect(MemberEndpoint.from_member(member))
        if observation == REFUSED:
            return self._observed_for_us(group, _REFUSING_PREFIX + name) > _LOST_AFTER_REFUSING_US
        self._clear_condition(group, _REFUSING_PREFIX + name)
        suspected_us = self._clock.now() - self._suspicions.replicas.get((group, name), 0)
        if observation != UNREACHABLE or suspected_us > _SUSPICION_LIFETIME_US:
            self._suspicions.remove_replica(group, name)
        return False

    async def _find_ended_members(self, group: str) -> list[str]:
        """Returns the members with unbounded logs that have ended."""
        ended_members = []
        for name in self._evidence(group).unproven:
            row = self._node.chain.control_state.doc["members"].get(name)
            observed_for_us = self._observed_for_us(group, _UNPROVEN_PREFIX + name)
            if row is None:
                ended_members.append(name)
                continue
            member = Member.from_row(name, row)
            observation = await self._observer.inspect(MemberEndpoint.from_member(member))
            if observation == REFUSED or (
                observation == UNREACHABLE and observed_for_us > _ASSUMED_ENDED_AFTER_US
            ):
                ended_members.append(name)
        return ended_members

    async def _forget_departed(self, group: str) -> None:
        """Drops departed members without a vote once they have certainly ended."""
        evidence, members = self._evidence(group), self._context.members(group)
        for name in evidence.non_voting:
            if name in members or name in evidence.unproven:
                continue
            bounded_for_us = self._observed_for_us(group, _DEPARTED_PREFIX + name)
            if bounded_for_us > _MAX_SERVING_AFTER_SIGN_OFF_US:
                await self._context.record_counted_out(group, name, None)

    async def _record_bounded_logs(
        self, group: str, ended_members: list[str], position: Position
    ) -> None:
        """Records that the logs of ended members end at or below `position`."""
        record = LogBoundRecord(group, tuple(ended_members), position)
        await self._node.chain.append_record(record.to_document())
        names = ",".join(ended_members)
        emit(self._node.log, Events.DEPARTED_LOG_BOUNDED, group=group, members=names, pos=position)

    async def _sign_off_overdue(self, group: str) -> None:
        """Signs off draining members that are past their drain time and whose ports are closed."""
        for member in self._draining_members(group):
            if self._draining_for_us(member.name) < _SIGN_OFF_AFTER_DRAINING_US:
                continue
            condition = _REFUSING_PREFIX + member.name
            if await self._observer.inspect(MemberEndpoint.from_member(member)) != REFUSED:
                self._clear_condition(group, condition)
            elif self._observed_for_us(group, condition) > _LOST_AFTER_REFUSING_US:
                record = DepartureRecord(member.name, member.address)
                await self._node.chain.append_record(record.to_document())

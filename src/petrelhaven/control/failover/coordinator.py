"""Keeps a primary serving in each group; only the active head of the chain takes action."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING

from petrelhaven.control.failover.context import FailoverContext
from petrelhaven.control.failover.departures import DepartureWatch
from petrelhaven.control.failover.group_state import MemberEndpoint, NewLeadership
from petrelhaven.control.failover.heartbeats import HeartbeatMonitor
from petrelhaven.control.failover.leader_change import LeaderChange
from petrelhaven.control.failover.member_access import MemberHandle
from petrelhaven.control.failover.resumption import ReplicaResumption
from petrelhaven.control.failover.wait_reasons import NO_CANDIDATE, TOO_FEW_CONTROL_NODES
from petrelhaven.control.state.rows import Leadership, LeadershipPhase, Member
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.failover.interfaces import ControlServices, Platform

__all__ = ["FailoverCoordinator"]

_CHECK_INTERVAL_US = 100_000
_RETRY_AFTER_FAULT_US = 200_000
_ADOPTION_RETRY_INTERVAL_US = 300_000


class FailoverCoordinator:
    """Starts the work that each group needs; at most one task at a time works on a group.

    Attributes:
        platform: The platform, which promotes members.
        observer: Inspects members for this control node.
        handle_inspection_request: Handles other control nodes' requests to inspect members.
        resumption: Lets paused replicas receive again.
        wait_reasons: By group, why no primary can be elected or replaced (see `wait_reasons`).
    """

    def __init__(self, node: ControlServices, platform: Platform) -> None:
        """Creates the coordinator; it takes no action before `run`."""
        self._node, self._clock, self._log = node, node.clock, node.log
        self.platform = platform
        self._context = FailoverContext(node, platform)
        self.observer = self._context.observer
        self.handle_inspection_request = self.observer.handle_request
        self.wait_reasons = self._context.wait_reasons
        self.resumption = ReplicaResumption(self._context)
        self._departures = DepartureWatch(self._context, self.resumption)
        self._heartbeats = HeartbeatMonitor(self._context)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._is_acting = False

    def suspect(self, group: str, member: str, suspicion: str) -> None:
        """Stores the suspicion that a primary or replica has failed."""
        leadership = self._context.find_leadership(group)
        if leadership is None:
            return
        if leadership.primary == member:
            self._context.suspicions.add_primary(group, suspicion)
        else:
            self._context.suspicions.add_replica(group, member)

    async def run(self) -> None:
        """Runs until cancelled; every control node monitors the heartbeats it receives."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL_US)
            if self._node.chain.control_state.configuration is None:
                continue
            self._heartbeats.check()
            self._departures.update_draining_times()
            if self._context.is_active_head:
                self._start_pending_work()
            else:
                self._stop_acting()

    def _start_pending_work(self) -> None:
        if not self._is_acting:
            self._is_acting = True
            self.resumption.add_all_replicas()
        self._departures.start_rounds()
        for group in self._context.groups():
            if group not in self._tasks:
                self._start_group_work(group)

    def _stop_acting(self) -> None:
        if self._is_acting:
            self._departures.stop()
            self._context.candidates.clear()
        self._is_acting = False
        self._context.suspicions.clear_primaries()

    def _start_task(
        self, group: str, work: Callable[..., Awaitable[object]], *arguments: object
    ) -> None:
        """Starts the task that works on a group; a fault ends it after a pause."""

        async def run() -> None:
            try:
                await work(*arguments)
            except Fault as fault:
                emit(
                    self._log, Events.RECORD_DECLINED, what=group, fault=fault.code, note=fault.note
                )
                await self._clock.sleep(_RETRY_AFTER_FAULT_US)
            finally:
                self._tasks.pop(group, None)

        self._tasks[group] = self._node.tasks.spawn(run())

    def _start_group_work(self, group: str) -> None:
        """Starts the work that a group needs now, if any."""
        leadership = self._context.find_leadership(group)
        members = self._context.members(group)
        if leadership is None:
            self._record_first_leadership(group, members)
        elif not leadership.is_serving:
            planned = leadership.phase is LeadershipPhase.SWITCHOVER
            self._start_task(group, self._change_leader, group, planned, leadership.cause)
        else:
            self._start_serving_group_work(group, leadership, members)

    def _record_first_leadership(self, group: str, members: Mapping[str, Member]) -> None:
        announced_primaries = [
            name for name, member in members.items() if member.is_primary and member.is_ready
        ]
        if announced_primaries:
            record = NewLeadership(
                LeadershipPhase.SERVING, announced_primaries[0], 0, "announced as primary"
            )
            self._start_task(group, self._context.record_leadership, group, record)

    def _start_serving_group_work(
        self, group: str, leadership: Leadership, members: Mapping[str, Member]
    ) -> None:
        primary = members.get(leadership.primary)
        has_other_primary = any(
            member.is_primary and name != leadership.primary for name, member in members.items()
        )
        if has_other_primary and (primary is None or primary.is_replica):
            self._start_task(group, self._adopt_primary, group)
        elif primary is None:
            self._start_task(group, self._change_leader, group, False, "the primary has left")
        elif self._context.suspicions.is_inspection_due(group):
            suspicion = self._context.suspicions.pop_primary(group)
            self._start_task(group, self._inspect_primary, primary, suspicion)
        elif self._starts_switchover(group, primary):
            return
        elif group in self.resumption.pending:
            self._start_task(group, self.resumption.resume, group)

    def _starts_switchover(self, group: str, primary: Member) -> bool:
        """Starts a switchover if the primary is draining or its zone is evacuated."""
        if not primary.is_draining and self._context.is_zone_open(primary.zone):
            return False
        if not self._context.eligible_replicas(group, primary.name):
            self.wait_reasons[group] = NO_CANDIDATE
            return False
        cause = (
            "the primary is draining" if primary.is_draining else f"zone {primary.zone} is emptied"
        )
        self._start_task(group, self._change_leader, group, True, cause)
        return True

    async def _inspect_primary(self, primary: Member, suspicion: str) -> None:
        """Starts a failover if a majority of the control nodes finds the primary unreachable."""
        group = primary.group
        survey = await self.observer.survey(primary)
        observations = ",".join(survey.observations)
        emit(
            self._log,
            Events.PRIMARY_CHECKED,
            group=group,
            primary=primary.name,
            suspect=suspicion,
            seen=observations,
        )
        if survey.is_reachable:
            if survey.reports_replica:
                await self._record_reported_primary(group)
            self._context.suspicions.record_refuted_suspicion(group)
        elif not survey.is_majority:
            self.wait_reasons[group] = TOO_FEW_CONTROL_NODES
        else:
            await self._change_leader(group, False, f"{suspicion}; seen {observations}")

    async def _record_reported_primary(self, group: str) -> None:
        """Records the member that reports to be the primary, if a different one is recorded."""
        recorded = self._context.leadership(group).primary
        for member in self._context.members(group).values():
            handle = MemberHandle(self._node.wire, self._clock, MemberEndpoint.from_member(member))
            status = await handle.status()
            handle.close()
            if status is not None and status.is_primary and member.name != recorded:
                record = NewLeadership(
                    phase=LeadershipPhase.SERVING,
                    primary=member.name,
                    term=status.term,
                    cause="found in office",
                    position=status.position,
                )
                await self._context.record_leadership(group, record)
                return

    async def _adopt_primary(self, group: str) -> None:
        await self._record_reported_primary(group)
        await self._clock.sleep(_ADOPTION_RETRY_INTERVAL_US)

    async def _change_leader(self, group: str, planned: bool, cause: str) -> None:
        self.wait_reasons.pop(group, None)
        await LeaderChange(self._context, self.resumption, group, planned, cause).run()

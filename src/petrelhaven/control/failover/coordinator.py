"""The duty that keeps a primary serving each group; only the active head acts."""

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
_FAULT_PAUSE_US = 200_000
_ADOPT_PAUSE_US = 300_000


class FailoverCoordinator:
    """Decides for each group what is to be done now; one task at a time works on a group.

    Attributes:
        platform: What promotes members.
        observer: Inspects members for this control node.
        answer_inspection: The handler of other nodes' requests to inspect a member.
        resumption: The replicas that are to receive again.
        wait_reasons: For each group that waits, the reason (see `wait_reasons`).
    """

    def __init__(self, node: ControlServices, platform: Platform) -> None:
        """Does nothing before `run`."""
        self._node, self._clock, self._log = node, node.clock, node.log
        self.platform = platform
        self._context = FailoverContext(node, platform)
        self.observer = self._context.observer
        self.handle_inspection_request = self.observer.answer
        self.wait_reasons = self._context.wait_reasons
        self.resumption = ReplicaResumption(self._context)
        self._departures = DepartureWatch(self._context, self.resumption)
        self._heartbeats = HeartbeatMonitor(self._context)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._is_acting = False

    def suspect(self, group: str, member: str, reason: str) -> None:
        """Takes a suspicion of a primary, or of a replica that is not heard any more."""
        leadership = self._context.find_leadership(group)
        if leadership is None:
            return
        if leadership.primary == member:
            self._context.suspicions.add_primary(group, reason)
        else:
            self._context.suspicions.add_replica(group, member)

    async def run(self) -> None:
        """Works for good; every control node watches the heartbeats that it receives itself."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL_US)
            if self._node.chain.control_state.configuration is None:
                continue
            self._heartbeats.check()
            self._departures.note_draining()
            if self._context.is_active_head:
                self._act()
            else:
                self._stand_down()

    def _act(self) -> None:
        if not self._is_acting:
            self._is_acting = True
            self.resumption.take_over()
        self._departures.start_rounds()
        for group in self._context.groups():
            if group not in self._tasks:
                self._attend(group)

    def _stand_down(self) -> None:
        if self._is_acting:
            self._departures.stop()
            self._context.candidates.clear()
        self._is_acting = False
        self._context.suspicions.clear_primaries()

    def _start(
        self, group: str, work: Callable[..., Awaitable[object]], *arguments: object
    ) -> None:
        """Starts the task that works on a group."""

        async def run() -> None:
            try:
                await work(*arguments)
            except Fault as fault:
                emit(
                    self._log, Events.RECORD_DECLINED, what=group, fault=fault.code, note=fault.note
                )
                await self._clock.sleep(_FAULT_PAUSE_US)
            finally:
                self._tasks.pop(group, None)

        self._tasks[group] = self._node.tasks.spawn(run())

    def _attend(self, group: str) -> None:
        """Starts what the group needs now, if anything."""
        leadership = self._context.find_leadership(group)
        members = self._context.members(group)
        if leadership is None:
            self._begin_leadership(group, members)
        elif not leadership.is_serving:
            planned = leadership.phase is LeadershipPhase.SWITCHOVER
            self._start(group, self._change_leader, group, planned, leadership.cause)
        else:
            self._attend_serving(group, leadership, members)

    def _begin_leadership(self, group: str, members: Mapping[str, Member]) -> None:
        announced = [
            name for name, member in members.items() if member.is_primary and member.is_ready
        ]
        if announced:
            record = NewLeadership(LeadershipPhase.SERVING, announced[0], 0, "announced as primary")
            self._start(group, self._context.enter_leadership, group, record)

    def _attend_serving(
        self, group: str, leadership: Leadership, members: Mapping[str, Member]
    ) -> None:
        primary = members.get(leadership.primary)
        another = any(
            member.is_primary and name != leadership.primary for name, member in members.items()
        )
        if another and (primary is None or primary.is_replica):
            self._start(group, self._adopt_primary, group)
        elif primary is None:
            self._start(group, self._change_leader, group, False, "the primary has left")
        elif self._context.suspicions.is_due(group):
            reason = self._context.suspicions.take_primary(group)
            self._start(group, self._inspect_primary, primary, reason)
        elif self._starts_switchover(group, primary):
            return
        elif group in self.resumption.pending:
            self._start(group, self.resumption.resume, group)

    def _starts_switchover(self, group: str, primary: Member) -> bool:
        """Starts a switchover if the primary drains or its zone is evacuated."""
        if not primary.is_draining and self._context.is_open(primary.zone):
            return False
        if not self._context.staying_replicas(group, primary.name):
            self.wait_reasons[group] = NO_CANDIDATE
            return False
        cause = (
            "the primary is draining" if primary.is_draining else f"zone {primary.zone} is emptied"
        )
        self._start(group, self._change_leader, group, True, cause)
        return True

    async def _inspect_primary(self, primary: Member, suspicion: str) -> None:
        """Several control nodes inspect a suspected primary; one that is reached stays."""
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
                await self._record_found_primary(group)
            self._context.suspicions.note_fruitless_inspection(group)
        elif not survey.is_majority:
            self.wait_reasons[group] = TOO_FEW_CONTROL_NODES
        else:
            await self._change_leader(group, False, f"{suspicion}; seen {observations}")

    async def _record_found_primary(self, group: str) -> None:
        """Records the member that answers that it is the primary, if another is recorded."""
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
                await self._context.enter_leadership(group, record)
                return

    async def _adopt_primary(self, group: str) -> None:
        await self._record_found_primary(group)
        await self._clock.sleep(_ADOPT_PAUSE_US)

    async def _change_leader(self, group: str, planned: bool, cause: str) -> None:
        self.wait_reasons.pop(group, None)
        await LeaderChange(self._context, self.resumption, group, planned, cause).run()

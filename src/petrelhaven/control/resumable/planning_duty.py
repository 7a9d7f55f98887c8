"""The planning duty: the chain's head plans epochs and has members promoted.

The number of the epoch and the view fence the actions of an earlier head.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from petrelhaven.control.resumable.announcements import (
    AnnouncementTable,
    MemberObservation,
    NodeReport,
    ReceivedAnnouncement,
)
from petrelhaven.control.resumable.duty_tasks import DutyTasks
from petrelhaven.control.resumable.epoch_progress import EpochKey, EpochProgress
from petrelhaven.control.resumable.group_observation import (
    HALTED,
    SERVING,
    AppendEpoch,
    GroupObservation,
    Promote,
    Step,
    Wait,
)
from petrelhaven.control.resumable.log_tracker import LogTracker
from petrelhaven.control.resumable.plan import epoch_after, next_step
from petrelhaven.control.resumable.promotion import PromotionRequester
from petrelhaven.control.resumable.proxy_watch import ProxyWatch
from petrelhaven.control.resumable.records import EpochInForceRecord, EpochRecord
from petrelhaven.runtime.errors import Fault, Fenced, NotHead
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from petrelhaven.control.configuration.document import Configuration, Group
    from petrelhaven.control.failover.interfaces import Tasks
    from petrelhaven.control.resumable.interfaces import (
        CallNode,
        Chain,
        EpochPlatform,
        LeaseTable,
    )
    from petrelhaven.membership.roster import Roster
    from petrelhaven.runtime.clock import Clock

__all__ = ["PlanningDuty"]

_CHECK_INTERVAL_US = 80_000
_REPORT_INTERVAL_US = 200_000
_REPORT_TIMEOUT_US = 400_000
_PROMOTION_RETRY_PAUSE_US = 250_000
_MAX_SESSION_REPLICAS = 2


class PlanningDuty:
    """Watches members and proxies, plans epochs, and requests promotions from the platform.

    Attributes:
        platform: The platform, which promotes members.
        wait_reasons: For each group, why it was last found to be waiting.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (the parts of a control node)
        self,
        clock: Clock,
        tasks: Tasks,
        chain: Chain,
        lease_table: LeaseTable,
        roster: Roster,
        call: CallNode,
        platform: EpochPlatform,
        log: Any = None,  # noqa: ANN401 (a logger or None)
    ) -> None:
        """Uses the parts of a control node; `run` starts the work."""
        self.clock, self.tasks, self.chain, self.lease_table = clock, tasks, chain, lease_table
        self.platform, self.log = platform, log
        self.wait_reasons: dict[str, str] = {}
        self._call = call
        self._announcements = AnnouncementTable(clock, chain.node_name)
        self._duty_tasks = DutyTasks(clock, tasks, log)
        self._proxy_watch = ProxyWatch(clock, chain, lease_table, roster, self._duty_tasks, log)
        self._log_trackers: dict[str, LogTracker] = {}
        self._epoch_progress = EpochProgress(clock, tasks, lease_table)
        self._promotion_requester = PromotionRequester(
            clock, platform, self._announcements, chain.node_name, log
        )
        # For each group, its present situation and since when (clock microseconds).
        self._situation_since: dict[str, tuple[object, int]] = {}
        self._active_since: int | None = None

    @property
    def last_announcements(self) -> Mapping[str, ReceivedAnnouncement]:
        """The last announcement of each member to this node."""
        return self._announcements.received

    def announce(self, document: dict[str, Any]) -> None:
        """Stores a member's announcement."""
        self._announcements.add_announcement(document)

    async def handle_report_request(
        self, _channel: object, _body: dict[str, Any]
    ) -> dict[str, Any]:
        """Handles `duty.heard`: returns the announcements and leases of this node."""
        return {"doc": self._announcements.make_report(self.lease_table.lease_ends).to_document()}

    async def run(self) -> None:
        """Runs until it is cancelled; plans while this node is the active head."""
        self.tasks.spawn(self._request_reports())
        while True:
            await self.clock.sleep(_CHECK_INTERVAL_US)
            self._announcements.remove_old(self._planned_members())
            if self.chain.is_head and self.chain.is_active:
                self._check_all()
            else:
                self._reset()

    def _planned_members(self) -> set[str]:
        """Returns the members that are primary, sync replica or electable in an epoch."""
        planned: set[str] = set()
        for row in self.chain.control_state.doc["epochs"].values():
            planned.update((row["primary"], *row["hold"], *row["safe"]))
        return planned

    def _reset(self) -> None:
        self._active_since = None
        self._epoch_progress.reset()

    def _check_all(self) -> None:
        """Checks the proxies and every group once."""
        now = self.clock.now()
        if self._active_since is None:
            self._active_since = now
            self._situation_since.clear()
        configuration = self.chain.control_state.configuration
        if configuration is None:
            return
        replicas = min(configuration.bounds.keepers, _MAX_SESSION_REPLICAS)
        active_us = now - self._active_since
        self._proxy_watch.check(self._announcements.reports, active_us, replicas)
        members = self._announcements.merge_observations()
        for group in configuration.groups:
            if not self._duty_tasks.is_busy(group.name):
                self._plan_group(group, configuration, members, active_us)

    async def _request_reports(self) -> None:
        """Requests the other control nodes' reports regularly while this node is the head."""
        while True:
            view = self.chain.view
            if view and self.chain.is_head:
                for node in view.members:
                    if node != self.chain.node_name:
                        self.tasks.spawn(self._request_report(node))
            await self.clock.sleep(_REPORT_INTERVAL_US)

    async def _request_report(self, node: str) -> None:
        requested_at = self.clock.now()
        try:
            answer = await self._call(
                node,
                MessageKind.PLANNER_OBSERVATIONS,
                {"name": self.chain.node_name},
                _REPORT_TIMEOUT_US,
            )
            report = NodeReport.from_document(answer["doc"], requested_at)
        except Fault:
            return
        self._announcements.reports[node] = report

    def _plan_group(
        self,
        group: Group,
        configuration: Configuration,
        all_members: Mapping[str, MemberObservation],
        active_us: int,
    ) -> None:
        """Starts the next step of a group, if it needs one."""
        row = self.chain.control_state.doc["epochs"].get(group.name)
        epoch = EpochRecord.from_document(row) if row else None
        members = _group_members(group, all_members)
        self._update_log_tracker(group, configuration, members, epoch)
        if epoch is not None:
            key = (group.name, epoch.number)
            self._epoch_progress.watch_epoch(key, epoch, self.chain.control_state.seq)
            if self._start_in_force_record(key, epoch, row["settled"]):
                return
            is_new_head = active_us < configuration.bounds.lost_us
            if is_new_head and any(name not in members for name in epoch.locations):
                self.wait_reasons[group.name] = (
                    "not all members have announced themselves to this head yet"
                )
                return
        observed = self._observe(group, configuration, epoch, members)
        self._execute_step(group, configuration, observed, next_step(observed))

    def _start_in_force_record(self, key: EpochKey, epoch: EpochRecord, is_settled: bool) -> bool:
        """Starts to record that a serving epoch is in force, unless that is recorded.

        Returns:
            Whether it has started to.
        """
        if not self._epoch_progress.is_in_force(key) or is_settled or epoch.phase != SERVING:
            return False
        record = EpochInForceRecord(epoch.group, epoch.number)
        self._duty_tasks.start(epoch.group, self.chain.append_record, record.to_document())
        return True

    def _execute_step(
        self,
        group: Group,
        configuration: Configuration,
        observed: GroupObservation,
        step: Step,
    ) -> None:
        """Starts the step that the plan returned."""
        if isinstance(step, AppendEpoch):
            self._duty_tasks.start(group.name, self._append_epoch, step.epoch)
        elif isinstance(step, Promote):
            key = (group.name, observed.epoch.number if observed.epoch else 0)
            self._epoch_progress.targets[key] = step.member
            self._duty_tasks.start(
                group.name, self._promote, group, configuration, key, step.member
            )
        else:
            self._set_wait_reason(group.name, step)

    def _set_wait_reason(self, group: str, step: Wait) -> None:
        if self.wait_reasons.get(group) == step.reason:
            return
        if step.reason.startswith("no safe"):
            emit(self.log, Events.NO_SAFE_CANDIDATE, group=group, note=step.reason)
        self.wait_reasons[group] = step.reason

    def _observe(
        self,
        group: Group,
        configuration: Configuration,
        epoch: EpochRecord | None,
        members: Mapping[str, MemberObservation],
    ) -> GroupObservation:
        document = self.chain.control_state.doc
        key = (group.name, epoch.number if epoch else 0)
        past = document["past"].get(group.name)
        return GroupObservation(
            group=group,
            bounds=configuration.bounds,
            epoch=epoch,
            is_settled=bool(epoch and document["epochs"][group.name]["settled"]),
            last_number=epoch.number if epoch else (past[-1]["n"] if past else 0),
            members=members,
            proxies=[name for name, row in document["edges"].items() if row["state"] != "gone"],
            zones=document["halls"],
            is_in_force=self._epoch_progress.is_in_force(key),
            catch_up_position=self._epoch_progress.catch_up_positions.get(key),
            waited_us=self._waited_us(key, epoch, members),
            target=self._epoch_progress.targets.get(key),
        )

    def _waited_us(
        self, key: EpochKey, epoch: EpochRecord | None, members: Mapping[str, MemberObservation]
    ) -> int:
        """Returns for how long the group's situation has been the same, in microseconds."""
        group = key[0]
        primary = members.get(epoch.primary or "") if epoch else None
        is_leaving = primary is not None and (
            primary.draining
            or self.chain.control_state.doc["halls"].get(primary.zone, "open") != "open"
        )
        situation: object = (
            key,
            epoch.phase if epoch else "",
            is_leaving,
            self._epoch_progress.is_in_force(key),
        )
        if epoch and epoch.phase == SERVING:
            situation = (group, is_leaving)
        now = self.clock.now()
        if self._situation_since.get(group, (None, 0))[0] != situation:
            self._situation_since[group] = (situation, now)
        return now - self._situation_since[group][1]

    def _update_log_tracker(
        self,
        group: Group,
        configuration: Configuration,
        members: Mapping[str, MemberObservation],
        epoch: EpochRecord | None,
    ) -> None:
        """Updates the comparison of the members' logs with the primary's."""
        if epoch is not None:
            primary = members.get(epoch.primary or "")
        else:
            primary = next((member for member in members.values() if member.is_primary), None)
        tracker = self._log_trackers.setdefault(group.name, LogTracker(self.clock))
        number = epoch.number if epoch else 0
        tracker.update(members, primary, number, configuration.bounds.stall_us)
        if epoch is not None and primary is not None:
            announced_at = self.clock.now() - primary.age_us
            self._epoch_progress.note_primary_log((group.name, number), announced_at, primary.log)

    async def _append_epoch(self, planned: EpochRecord) -> None:
        view = self.chain.view
        if view is None:
            raise NotHead("no view yet")
        epoch = replace(planned, by=self.chain.node_name, view=view.number)
        await self.chain.append_record(epoch.to_document())
        emit(
            self.log,
            Events.GROUP_HALTED if epoch.phase == HALTED else Events.LEADERSHIP_CHANGED,
            group=epoch.group,
            n=epoch.number,
            primary=epoch.primary,
            hold=",".join(epoch.sync_replicas),
            safe=",".join(epoch.electable),
            cause=epoch.cause,
        )

    async def _promote(
        self, group: Group, configuration: Configuration, key: EpochKey, target: str
    ) -> None:
        """Has the platform promote a member, then appends the epoch that follows."""
        if not self.chain.is_active:
            return
        try:
            await self._promotion_requester.request(group.name, target, key[1])
        except Fault as fault:
            await self._after_failed_request(key, target, fault)
            return
        emit(self.log, Events.PRIMARY_PROMOTED, group=group.name, primary=target, epoch=key[1])
        epoch = self._epoch_if_current(key)
        if epoch is None:
            return
        members = _group_members(group, self._announcements.merge_observations())
        self._update_log_tracker(group, configuration, members, epoch)
        observed = self._observe(group, configuration, epoch, members)
        await self._append_epoch(epoch_after(observed, epoch, target))

    async def _after_failed_request(self, key: EpochKey, target: str, fault: Fault) -> None:
        """Handles a failed promotion request.

        A fenced request needs an epoch with a higher number. Any other request is repeated after a
        pause.
        """
        group, number = key
        emit(
            self.log,
            Events.PLATFORM_DECLINED,
            group=group,
            target=target,
            epoch=number,
            fault=fault.code,
            note=fault.note,
        )
        self.wait_reasons[group] = f"platform: {fault.code} {fault.note}"
        if fault.code != Fenced.code:
            await self.clock.sleep(_PROMOTION_RETRY_PAUSE_US)
            return
        epoch = self._epoch_if_current(key)
        if epoch is not None:
            cause = "promotion fenced: " + fault.note
            await self._append_epoch(replace(epoch, number=number + 1, cause=cause))

    def _epoch_if_current(self, key: EpochKey) -> EpochRecord | None:
        """Returns the epoch of `key`, or None if the group has a different epoch now."""
        row = self.chain.control_state.doc["epochs"].get(key[0])
        if not row or row["n"] != key[1]:
            return None
        return EpochRecord.from_document(row)


def _group_members(
    group: Group, members: Mapping[str, MemberObservation]
) -> dict[str, MemberObservation]:
    return {name: member for name, member in members.items() if member.group == group.name}

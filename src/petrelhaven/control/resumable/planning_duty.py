"""The planning duty: done by the head alone, fenced by the epoch's number and the view."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from petrelhaven.control.resumable.announcements import (
    AnnouncementTable,
    HeardAnnouncement,
    MemberObservation,
    NodeReport,
)
from petrelhaven.control.resumable.duty_tasks import DutyTasks
from petrelhaven.control.resumable.epoch_progress import EpochKey, EpochProgress
from petrelhaven.control.resumable.group_observation import (
    HALTED,
    SERVING,
    EnterEpoch,
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
_REPORT_US = 400_000
_PROMOTION_RETRY_US = 250_000
_MOST_SESSION_REPLICAS = 2


class PlanningDuty:
    """Watches members and proxies, decides epochs, asks the platform to promote.

    Attributes:
        platform: What promotes members.
        wait_reasons: For each group, why nothing more is done now.
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
        """Does nothing before `run`."""
        self.clock, self.tasks, self.chain, self.lease_table = clock, tasks, chain, lease_table
        self.platform, self.log = platform, log
        self.wait_reasons: dict[str, str] = {}
        self._call = call
        self._announcements = AnnouncementTable(clock, chain.node_name)
        self._running = DutyTasks(clock, tasks, log)
        self._proxy_watch = ProxyWatch(clock, chain, lease_table, roster, self._running, log)
        self._log_trackers: dict[str, LogTracker] = {}
        self._progress = EpochProgress(clock, tasks, lease_table)
        self._requester = PromotionRequester(
            clock, platform, self._announcements, chain.node_name, log
        )
        self._need_since: dict[str, tuple[object, int]] = {}
        self._acting_since: int | None = None

    @property
    def heard(self) -> Mapping[str, HeardAnnouncement]:
        """The last announcement of each member to this node."""
        return self._announcements.heard

    def announce(self, document: dict[str, Any]) -> None:
        """Takes a member's announcement."""
        self._announcements.take(document)

    async def answer_report(self, _channel: object, _body: dict[str, Any]) -> dict[str, Any]:
        """Answers `duty.heard`: what this node has heard of members and proxies."""
        return {"doc": self._announcements.report(self.lease_table.lease_ends).to_document()}

    async def run(self) -> None:
        """Plans for good while this node is the active head."""
        self.tasks.spawn(self._request_reports())
        while True:
            await self.clock.sleep(_CHECK_INTERVAL_US)
            self._announcements.forget_old(self._planned_members())
            if self.chain.is_head and self.chain.is_active:
                self._act()
            else:
                self._stand_down()

    def _planned_members(self) -> set[str]:
        """The members that have a part in an epoch."""
        planned: set[str] = set()
        for row in self.chain.control_state.doc["epochs"].values():
            planned.update((row["primary"], *row["hold"], *row["safe"]))
        return planned

    def _stand_down(self) -> None:
        self._acting_since = None
        self._progress.stand_down()

    def _act(self) -> None:
        now = self.clock.now()
        if self._acting_since is None:
            self._acting_since = now
            self._need_since.clear()
        configuration = self.chain.control_state.configuration
        if configuration is None:
            return
        replicas = min(configuration.bounds.keepers, _MOST_SESSION_REPLICAS)
        acting_us = now - self._acting_since
        self._proxy_watch.check(self._announcements.reports, acting_us, replicas)
        members = self._announcements.observations()
        for group in configuration.groups:
            if not self._running.is_busy(group.name):
                self._attend(group, configuration, members, acting_us)

    async def _request_reports(self) -> None:
        """While this node is the head, asks the other control nodes what they have heard."""
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
                node, MessageKind.PLANNER_OBSERVATIONS, {"name": self.chain.node_name}, _REPORT_US
            )
            report = NodeReport.from_document(answer["doc"], requested_at)
        except Fault:
            return
        self._announcements.reports[node] = report

    def _attend(
        self,
        group: Group,
        configuration: Configuration,
        all_members: Mapping[str, MemberObservation],
        acting_us: int,
    ) -> None:
        """Starts what a group needs now, if anything."""
        row = self.chain.control_state.doc["epochs"].get(group.name)
        epoch = EpochRecord.from_document(row) if row else None
        members = _members_of(group, all_members)
        self._track(group, configuration, members, epoch)
        if epoch is not None:
            key = (group.name, epoch.number)
            self._progress.watch(key, epoch, self.chain.control_state.seq)
            if self._settles(key, epoch, row["settled"]):
                return
            is_new_head = acting_us < configuration.bounds.lost_us
            if is_new_head and any(name not in members for name in epoch.places):
                self.wait_reasons[group.name] = "members are being heard again"
                return
        observed = self._observe(group, configuration, epoch, members)
        self._take(group, configuration, observed, next_step(observed))

    def _settles(self, key: EpochKey, epoch: EpochRecord, is_settled: bool) -> bool:
        """Records that an epoch that serves is in force everywhere, unless it is recorded."""
        if not self._progress.is_in_force(key) or is_settled or epoch.phase != SERVING:
            return False
        record = EpochInForceRecord(epoch.group, epoch.number)
        self._running.start(epoch.group, self.chain.append_record, record.to_document())
        return True

    def _take(
        self,
        group: Group,
        configuration: Configuration,
        observed: GroupObservation,
        step: Step,
    ) -> None:
        """Starts what the plan says is to be done."""
        if isinstance(step, EnterEpoch):
            self._running.start(group.name, self._enter_epoch, step.epoch)
        elif isinstance(step, Promote):
            key = (group.name, observed.epoch.number if observed.epoch else 0)
            self._progress.targets[key] = step.member
            self._running.start(group.name, self._promote, group, configuration, key, step.member)
        else:
            self._note_wait(group.name, step)

    def _note_wait(self, group: str, step: Wait) -> None:
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
            proxies=[n for n, row in document["edges"].items() if row["state"] != "gone"],
            zones=document["halls"],
            is_in_force=self._progress.is_in_force(key),
            caught_up_at=self._progress.caught_up_at.get(key),
            waited_us=self._waited_us(key, epoch, members),
            target=self._progress.targets.get(key),
        )

    def _waited_us(
        self, key: EpochKey, epoch: EpochRecord | None, members: Mapping[str, MemberObservation]
    ) -> int:
        """For how long the group has needed the same."""
        group = key[0]
        primary = members.get(epoch.primary or "") if epoch else None
        is_leaving = primary is not None and (
            primary.draining
            or self.chain.control_state.doc["halls"].get(primary.zone, "open") != "open"
        )
        need: object = (
            key,
            epoch.phase if epoch else "",
            is_leaving,
            self._progress.is_in_force(key),
        )
        if epoch and epoch.phase == SERVING:
            need = (group, is_leaving)
        now = self.clock.now()
        if self._need_since.get(group, (None, 0))[0] != need:
            self._need_since[group] = (need, now)
        return now - self._need_since[group][1]

    def _track(
        self,
        group: Group,
        configuration: Configuration,
        members: Mapping[str, MemberObservation],
        epoch: EpochRecord | None,
    ) -> None:
        """Compares the members' logs with that of the primary."""
        if epoch is not None:
            primary = members.get(epoch.primary or "")
        else:
            primary = next((member for member in members.values() if member.is_primary), None)
        tracker = self._log_trackers.setdefault(group.name, LogTracker(self.clock))
        number = epoch.number if epoch else 0
        tracker.update(members, primary, number, configuration.bounds.stall_us)
        if epoch is not None and primary is not None:
            announced_at = self.clock.now() - primary.age_us
            self._progress.note_primary_log((group.name, number), announced_at, primary.log)

    async def _enter_epoch(self, planned: EpochRecord) -> None:
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
            hold=",".join(epoch.awaited),
            safe=",".join(epoch.electable),
            cause=epoch.cause,
        )

    async def _promote(
        self, group: Group, configuration: Configuration, key: EpochKey, target: str
    ) -> None:
        """Has the platform promote a member, and enters the epoch that follows."""
        if not self.chain.is_active:
            return
        try:
            await self._requester.request(group.name, target, key[1])
        except Fault as fault:
            await self._after_failed_request(key, target, fault)
            return
        emit(self.log, Events.PRIMARY_PROMOTED, group=group.name, primary=target, epoch=key[1])
        epoch = self._epoch_if_current(key)
        if epoch is None:
            return
        members = _members_of(group, self._announcements.observations())
        self._track(group, configuration, members, epoch)
        observed = self._observe(group, configuration, epoch, members)
        await self._enter_epoch(epoch_after(observed, epoch, target))

    async def _after_failed_request(self, key: EpochKey, target: str, fault: Fault) -> None:
        """A fenced request needs an epoch with a higher number; others are repeated."""
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
            await self.clock.sleep(_PROMOTION_RETRY_US)
            return
        epoch = self._epoch_if_current(key)
        if epoch is not None:
            cause = "promotion fenced: " + fault.note
            await self._enter_epoch(replace(epoch, number=number + 1, cause=cause))

    def _epoch_if_current(self, key: EpochKey) -> EpochRecord | None:
        """The epoch of `key`, unless the group has another one by now."""
        row = self.chain.control_state.doc["epochs"].get(key[0])
        if not row or row["n"] != key[1]:
            return None
        return EpochRecord.from_document(row)


def _members_of(
    group: Group, members: Mapping[str, MemberObservation]
) -> dict[str, MemberObservation]:
    return {name: member for name, member in members.items() if member.group == group.name}

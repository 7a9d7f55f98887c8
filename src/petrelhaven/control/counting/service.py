"""Counts the operations of tenants at a control node, and follows counts as their successor."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from petrelhaven.control.consensus.peer_clocks import Expiry
from petrelhaven.control.counting.copies import CopyTracker, SentCopy
from petrelhaven.control.counting.fresh_start import FreshStart, choose_counter_mode
from petrelhaven.control.counting.quotas import QuotaTable
from petrelhaven.control.counting.relay import ReportRelay, ReportRow
from petrelhaven.control.state.counting_record import CountingRecord
from petrelhaven.limits.counter import TenantCounter
from petrelhaven.limits.counter_mode import CounterMode
from petrelhaven.limits.placement import assign_counting_node
from petrelhaven.limits.reports import AccountReport, Grant
from petrelhaven.limits.standby import STANDBY_LIFETIME_US, CounterCopy, Standby
from petrelhaven.runtime.errors import Fault, NotReady
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.quota_messages import (
    CopyList,
    CountRequest,
    GrantList,
    ReportList,
    copies_from_rows,
    copies_to_rows,
)

if TYPE_CHECKING:
    from petrelhaven.control.consensus.view import View
    from petrelhaven.control.counting.contracts import CountingHost
    from petrelhaven.transport.channel import Channel

__all__ = ["CountingService"]

_MAINTENANCE_INTERVAL_US = 250_000
_COUNT_TIMEOUT_US = 450_000
_GRANT_WAIT_S = 0.12
"""How long a report waits for the slowest counting node before it is answered without it."""
_COPY_TIMEOUT_US = 400_000
_RECORD_TIMEOUT_US = 2_000_000
_HANDOVER_WAIT_US = 300_000
"""How long a node waits in a new view for copies from the previous counting nodes."""
_SETTLE_MARGIN_US = 1_000_000


class _CountedTenant:
    """A tenant that this node counts.

    The mode of the counter ends at `mode_ends_at`, in clock microseconds.
    """

    __slots__ = ("counter", "copies", "_mode", "_mode_ends_at")

    def __init__(self, counter: TenantCounter, mode: CounterMode, mode_ends_at: int) -> None:
        self.counter, self._mode, self._mode_ends_at = counter, mode, mode_ends_at
        self.copies = CopyTracker()

    def mode(self, now: int) -> CounterMode:
        if now >= self._mode_ends_at:
            self._mode = CounterMode.REGULAR
        return self._mode

    def update_allowance(self, table: QuotaTable, tenant: str, now: int) -> None:
        """Applies the tenant's quota; without a quota the allowance stays unchanged."""
        quota = table.quotas.get(tenant)
        if quota is not None:
            self.counter.allowance = self.mode(now).allowance(table.policy, quota)

    def make_copy(self, tenant: str, now: int) -> tuple[CounterCopy, SentCopy]:
        mode_left_us = max(0, self._mode_ends_at - now)
        return self.copies.make_copy(tenant, self.counter, self.mode(now), mode_left_us, now)


class _StandbyTenant:
    """A tenant that this node would count next, with the copies received in one view."""

    __slots__ = ("standby", "view_number", "is_restarting")

    def __init__(self, window_us: int, view_number: int) -> None:
        self.standby = Standby(window_us)
        self.view_number = view_number


class CountingService:
    """Answers reports, sends copies to successors, and starts counts without state if necessary.

    State is kept for the current view and the one before. A node that missed a view discards all
    of it.
    """

    def __init__(self, node: CountingHost, draw_incarnation: Callable[[], int]) -> None:
        """Creates the service of the control node `node`.

        `draw_incarnation` draws a number that distinguishes this process from earlier ones of the
        same node.
        """
        self._node, self._clock = node, node.clock
        self._table = QuotaTable()
        self._relay = ReportRelay(node.clock, node.tasks, self._send_reports)
        self._view_number = 0
        self._view_adopted_at = 0
        self._counted: dict[str, _CountedTenant] = {}
        self._standby_tenants: dict[str, _StandbyTenant] = {}
        self._fresh_start: FreshStart | None = None
        self._may_recover_from_successors = False
        self._is_recording_start = False
        self._is_recording_settlement = self._is_running = False
        self._starts_first_seen: dict[tuple[str, int, int], int] = {}
        self._draw_incarnation = draw_incarnation
        self._incarnation = 0
        self._copy_number = 0

    def start(self) -> None:
        """Starts counting if the configuration has tenants with limits; idempotent."""
        self._table.apply_configuration(self._node.chain.control_state.configuration)
        if self._table.quotas and not self._is_running:
            self._is_running = True
            self._node.tasks.spawn_service(self.run)

    # Requests from proxies and other nodes

    async def handle_report(
        self, _channel: Channel | None, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Handles a proxy's `quota.report`."""
        request = ReportList.from_body(body)
        view = self._require_view()
        if not request.reports:
            return GrantList([]).to_body()
        answers = [
            self._relay.submit(
                assign_counting_node(report.tenant, view.chain).counting_node or self._node.name,
                (request.proxy, report),
            )
            for report in request.reports
        ]
        # a grant that arrives later is part of the next answer, since the totals only grow
        await asyncio.wait(answers, timeout=_GRANT_WAIT_S)
        grants = [answer.result() for answer in answers if answer.done()]
        return GrantList([grant for grant in grants if grant is not None]).to_body()

    async def handle_count(
        self, _channel: Channel | None, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Handles another node's `quota.count`; omits grants for reports that it can't count."""
        request = CountRequest.from_body(body)
        grants = self._count_reports(request.view_number, request.reports)
        return GrantList([grant for grant in grants if grant is not None]).to_body()

    async def handle_copy(self, _channel: Channel | None, body: Mapping[str, Any]) -> None:
        """Handles a counting node's `quota.copy`."""
        request = CopyList.from_body(body)
        self.apply_view()
        current_view = self._view_number
        if request.view_number not in (current_view, current_view - 1):
            raise NotReady("the copies are from another view")
        now = self._clock.now()
        expiry = Expiry.from_document(list(request.expiry))
        if expiry is None or not expiry.is_valid(self._node.chain.confirmation.started_at_us, now):
            raise NotReady("the copies have expired")
        expires_at = expiry.moment_us
        applied = [self._apply_copy(copy, request, expires_at, now) for copy in request.copies]
        if not all(applied):
            raise NotReady("a copy is outdated or an earlier one is missing")

    async def handle_fetch(
        self, _channel: Channel | None, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Handles `quota.fetch`; returns copies to a node that was restarted in their view."""
        self.apply_view()
        now = self._clock.now()
        found = {
            tenant: self._standby_tenants[tenant]
            for tenant in body["tenants"]
            if tenant in self._standby_tenants
            and self._standby_tenants[tenant].view_number == body["view"]
            and self._standby_tenants[tenant].standby.is_current(now)
        }
        copies = [
            followed.standby.make_full_copy(tenant, now) for tenant, followed in found.items()
        ]
        return {"view": body["view"], "rows": copies_to_rows(copies)}

    def _apply_copy(self, copy: CounterCopy, request: CopyList, expires_at: int, now: int) -> bool:
        followed = self._standby_tenants.get(copy.tenant)
        if followed is not None and followed.view_number > request.view_number:
            return False
        if followed is None or followed.view_number < request.view_number:
            followed = _StandbyTenant(self._table.policy.window_us, request.view_number)
            self._standby_tenants[copy.tenant] = followed
        return followed.standby.apply_copy(copy, request.life, request.number, expires_at, now)

    # Counting

    async def _send_reports(self, node: str, rows: list[ReportRow]) -> list[Grant | None]:
        view = self._require_view()
        if node == self._node.name:
            return self._count_reports(view.number, rows)
        request = CountRequest(view.number, rows)
        body = await self._node.call(
            node, MessageKind.QUOTA_COUNT, request.to_body(), _COUNT_TIMEOUT_US
        )
        grants = {
            (grant.tenant, grant.account): grant for grant in GrantList.from_body(body).grants
        }
        return [grants.get((report.tenant, report.account)) for _, report in rows]

    def _count_reports(self, view_number: int, rows: Sequence[ReportRow]) -> list[Grant | None]:
        """Counts reports and returns their grants.

        Raises:
            NotReady: This node is not counting in that view.
        """
        self.apply_view()
        if not self._node.chain.is_active or self._view_number != view_number:
            raise NotReady("this node is not counting in that view")
        now = self._clock.now()
        return [self._count_report(proxy, report, now) for proxy, report in rows]

    def _count_report(self, proxy: str, report: AccountReport, now: int) -> Grant | None:
        counted = self._counted.get(report.tenant)
        if counted is None or report.tenant not in self._table.quotas:
            return None
        counter = counted.counter
        counted.update_allowance(self._table, report.tenant, now)
        return counter.process_report(
            proxy, report, now, counted.copies.grant_headroom(counter, now)
        )

    # Views

    def _require_view(self) -> View:
        view = self._node.chain.view
        if view is None:
            raise NotReady("this node has no view yet")
        return view

    def apply_view(self) -> None:
        """Adapts the state to a new view.

        Tenants that another node counts now are handed over to it; outdated copies are discarded.
        """
        self._table.apply_configuration(self._node.chain.control_state.configuration)
        view = self._node.chain.view
        if view is None or view.number == self._view_number:
            return
        is_next_view = view.number == self._view_number + 1
        self._may_recover_from_successors = self._view_number == 0
        previous, self._counted = self._counted if is_next_view else {}, {}
        handed_over: dict[str, dict[str, _CountedTenant]] = {}
        for tenant, counted in previous.items():
            counting_node = assign_counting_node(tenant, view.chain).counting_node
            if counting_node == self._node.name:
                counted.copies = CopyTracker()
                self._counted[tenant] = counted
            elif counting_node is not None:
                counted.copies = CopyTracker()
                handed_over.setdefault(counting_node, {})[tenant] = counted
        self._standby_tenants = {
            tenant: followed
            for tenant, followed in self._standby_tenants.items()
            if followed.view_number in (view.number, view.number - 1)
        }
        for name, tenants in handed_over.items():
            self._node.tasks.spawn(self._send_copies(name, tenants, self._view_number))
        self._view_number, self._view_adopted_at = view.number, self._clock.now()
        self._fresh_start = None

    async def run(self) -> None:
        """Takes over counts and sends copies to successors until the node stops."""
        while True:
            await self._clock.sleep(_MAINTENANCE_INTERVAL_US)
            self.apply_view()
            self._settle_finished_starts()
            if not self._table.quotas or not self._node.chain.is_active:
                continue
            self._take_over_tenants()
            self._copy_to_successors()

    def _take_over_tenants(self) -> None:
        """Creates the missing counters of the tenants that this node counts."""
        now, view = self._clock.now(), self._require_view()
        missing = [
            tenant
            for tenant in self._table.quotas
            if tenant not in self._counted
            and assign_counting_node(tenant, view.chain).counting_node == self._node.name
        ]
        fresh = [tenant for tenant in missing if not self._resume_from_standby(tenant, now)]
        if len(fresh) < len(missing):
            self._log_taken_over(len(missing) - len(fresh), 0, CounterMode.REGULAR)
        if not fresh or now - self._view_adopted_at < _HANDOVER_WAIT_US:
            return
        start = self._fresh_start
        if start is None or start.mode_ends_at is None:
            if not self._is_recording_start:
                self._is_recording_start = True
                self._node.tasks.spawn(self._start_fresh(view, fresh))
            return
        for tenant in fresh:
            counter = TenantCounter(0, self._table.policy.window_us)
            self._counted[tenant] = _CountedTenant(counter, start.mode, start.mode_ends_at)
        self._log_taken_over(0, len(fresh), start.mode)

    def _log_taken_over(self, resumed: int, fresh: int, mode: CounterMode) -> None:
        emit(
            self._node.log,
            Events.COUNTS_TAKEN_OVER,
            view=self._view_number,
            known=resumed,
            fresh=fresh,
            regime=mode.value,
        )

    def _resume_from_standby(self, tenant: str, now: int) -> bool:
        """Continues the count of the previous view's counting node from its copy.

        Returns:
            False if there is no current copy.
        """
        followed = self._standby_tenants.get(tenant)
        if followed is None or followed.view_number != self._view_number - 1:
            return False
        if not followed.standby.is_current(now):
            return False
        del self._standby_tenants[tenant]
        self._count_from_standby(tenant, followed.standby, now)
        return True

    def _count_from_standby(self, tenant: str, standby: Standby, now: int) -> None:
        """Starts counting a tenant from the state that its counting node copied to a standby."""
        mode_ends_at = now + standby.mode_left_us
        self._counted[tenant] = _CountedTenant(
            standby.make_counter(now), standby.mode, mode_ends_at
        )

    async def _recover_from_successors(self, view: View, tenants: list[str]) -> None:
        """Fetches the counts that this node had in this view before its restart."""
        self._may_recover_from_successors = False
        by_successor: dict[str, list[str]] = {}
        for tenant in tenants:
            successor = assign_counting_node(tenant, view.chain).successor
            if successor is not None:
                by_successor.setdefault(successor, []).append(tenant)
        fetches = [self._fetch_from(name, view, names) for name, names in by_successor.items()]
        await asyncio.gather(*fetches)

    async def _fetch_from(self, name: str, view: View, tenants: list[str]) -> None:
        body = {"view": view.number, "tenants": tenants}
        try:
            answer = await self._node.call(name, MessageKind.QUOTA_FETCH, body, _COPY_TIMEOUT_US)
        except Fault:
            return
        now = self._clock.now()
        for copy in copies_from_rows(answer["rows"]):
            if self._view_number == view.number and copy.tenant not in self._counted:
                standby = Standby(self._table.policy.window_us)
                standby.apply_copy(copy, self._incarnation, 1, now, now)
                self._count_from_standby(copy.tenant, standby, now)

    async def _start_fresh(self, view: View, tenants: list[str]) -> None:
        """Records that this node starts counting without state, and decides what it may grant.

        Nothing is recorded if the successors have the counts of all of `tenants`.
        """
        view_number = view.number
        try:
            if self._may_recover_from_successors:
                await self._recover_from_successors(view, tenants)
            if all(tenant in self._counted for tenant in tenants):
                return
            # a retry must not treat its own record as an earlier start
            if self._fresh_start is None:
                starts = self._node.chain.control_state.counting_starts
                mode = choose_counter_mode(starts, self._node.name, view_number)
                self._fresh_start = FreshStart(view_number, mode)
            record = CountingRecord(self._node.name, view_number)
            await self._node.submit_record(record.to_document(), False, _RECORD_TIMEOUT_US)
            start = self._fresh_start
            if start is not None and start.view_number == view_number:
                mode_ends_at = self._clock.now() + self._table.policy.quarantine_us
                self._fresh_start = start._replace(mode_ends_at=mode_ends_at)
                if self._node.chain.is_active:
                    self._take_over_tenants()
        except Fault:
            pass
        finally:
            self._is_recording_start = False

    def _settle_finished_starts(self) -> None:
        """Records, if this node is the head, which fresh starts no longer affect any window."""
        if not self._node.chain.is_head or not self._node.chain.is_active:
            self._starts_first_seen.clear()
            return
        now = self._clock.now()
        settled_after_us = self._table.policy.quarantine_us + _SETTLE_MARGIN_US
        for name, start in self._node.chain.control_state.counting_starts.items():
            seen_at = self._starts_first_seen.setdefault((name, start.seq, start.view_number), now)
            if (
                start.is_settled
                or now - seen_at <= settled_after_us
                or self._is_recording_settlement
            ):
                continue
            self._is_recording_settlement = True
            self._node.tasks.spawn(
                self._record_settlement(CountingRecord(name, start.view_number, start.seq))
            )

    async def _record_settlement(self, record: CountingRecord) -> None:
        try:
            await self._node.submit_record(record.to_document(), False, _RECORD_TIMEOUT_US)
        except Fault:
            pass
        finally:
            self._is_recording_settlement = False

    # Copies

    def _copy_to_successors(self) -> None:
        now, view = self._clock.now(), self._require_view()
        due: dict[str, dict[str, _CountedTenant]] = {}
        for tenant, counted in self._counted.items():
            successor = assign_counting_node(tenant, view.chain).successor
            if successor is not None and counted.copies.is_due(counted.counter, now):
                due.setdefault(successor, {})[tenant] = counted
        for name, tenants in due.items():
            self._node.tasks.spawn(self._send_copies(name, tenants, view.number))

    async def _send_copies(
        self, name: str, tenants: Mapping[str, _CountedTenant], view_number: int
    ) -> None:
        clocks = self._node.chain.confirmation.peer_clocks
        if not clocks.has_recent_reading(name):
            return
        now = self._clock.now()
        expiry = clocks.expiry_at(name, STANDBY_LIFETIME_US)
        for tenant, counted in tenants.items():
            counted.update_allowance(self._table, tenant, now)
        prepared = {tenant: counted.make_copy(tenant, now) for tenant, counted in tenants.items()}
        copies = [copy for copy, _ in prepared.values()]
        self._incarnation = self._incarnation or self._draw_incarnation()
        self._copy_number += 1
        request = CopyList(
            view_number, self._incarnation, self._copy_number, expiry.to_document(), copies
        )
        arrived = False
        try:
            await self._node.call(name, MessageKind.QUOTA_COPY, request.to_body(), _COPY_TIMEOUT_US)
            arrived = True
        except Fault:
            pass
        finally:
            for tenant, (_, sent) in prepared.items():
                tracker = tenants[tenant].copies
                tracker.acknowledge(sent) if arrived else tracker.record_loss(sent)

    def status(self) -> dict[str, Any]:
        """Returns uses, outstanding permits, allowance, refusals and mode per counted tenant."""
        now = self._clock.now()
        return {
            tenant: {
                "used": counted.counter.used(now),
                "out": counted.counter.outstanding(),
                "allowance": counted.counter.allowance,
                "refused": counted.counter.refused,
                "regime": counted.mode(now).value,
            }
            for tenant, counted in sorted(self._counted.items())
        }

"""Counts tenants' operations at one control node, and follows those of which it is successor."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from petrelhaven.control.consensus.peer_clocks import Expiry
from petrelhaven.control.counting.copies import CopyTracker, SentCopy
from petrelhaven.control.counting.fresh_start import FreshStart, decide
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
    copies_from,
    copy_rows,
)

if TYPE_CHECKING:
    from petrelhaven.control.consensus.view import View
    from petrelhaven.control.counting.contracts import CountingNode
    from petrelhaven.transport.channel import Channel

__all__ = ["CountingService"]

_TICK_US = 250_000
_COUNT_LIMIT_US = 450_000
_ANSWER_S = 0.12
"""How long a proxy waits for the slowest of its tenants' counting nodes."""
_COPY_LIMIT_US = 400_000
_RECORD_LIMIT_US = 2_000_000
_HANDOVER_US = 300_000
"""How long a node that begins in a view waits for the counts of those who counted before."""
_SETTLE_MARGIN_US = 1_000_000


class _Counted:
    """A tenant that this node counts; its regime lasts until `until`, in clock microseconds."""

    __slots__ = ("counter", "copies", "_regime", "_until")

    def __init__(self, counter: TenantCounter, regime: CounterMode, until: int) -> None:
        self.counter, self._regime, self._until = counter, regime, until
        self.copies = CopyTracker()

    def regime(self, now: int) -> CounterMode:
        if now >= self._until:
            self._regime = CounterMode.REGULAR
        return self._regime

    def follow(self, table: QuotaTable, tenant: str, now: int) -> None:
        """Takes the limit in force; a tenant without one keeps the allowance that it had."""
        quota = table.quotas.get(tenant)
        if quota is not None:
            self.counter.allowance = self.regime(now).allowance(table.terms, quota)

    def make_copy(self, tenant: str, now: int) -> tuple[CounterCopy, SentCopy]:
        left_us = max(0, self._until - now)
        return self.copies.make(tenant, self.counter, self.regime(now), left_us, now)


class _Followed:
    """A tenant that this node is to count next, as its counting node of a view tells."""

    __slots__ = ("standby", "view_number", "is_restarting")

    def __init__(self, window_us: int, view_number: int) -> None:
        self.standby = Standby(window_us)
        self.view_number = view_number


class CountingService:
    """Answers reports, tells successors, and begins anew where nothing is known.

    Everything that is known belongs to one view and the one before: a node that missed a view
    forgets all of it.
    """

    def __init__(self, node: CountingNode, draw_life: Callable[[], int]) -> None:
        """Counts for `node`; `run` takes over and copies.

        `draw_life` draws a number that tells this process from the node's former ones.
        """
        self._node, self._clock = node, node.clock
        self._table = QuotaTable()
        self._relay = ReportRelay(node.clock, node.tasks, self._send_reports)
        self._view_number = 0
        self._view_since = 0
        self._counted: dict[str, _Counted] = {}
        self._followed: dict[str, _Followed] = {}
        self._fresh_start: FreshStart | None = None
        self._may_be_remembered = False
        self._is_entering = False
        self._is_settling = self._is_running = False
        self._starts_seen: dict[tuple[str, int, int], int] = {}
        self._draw_life = draw_life
        self._life = 0
        self._copy_number = 0

    def start(self) -> None:
        """Begins to count once the configuration has tenants with limits."""
        self._table.follow(self._node.chain.control_state.configuration)
        if self._table.quotas and not self._is_running:
            self._is_running = True
            self._node.tasks.spawn(self.run())

    # What others ask

    async def handle_report(
        self, _channel: Channel | None, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Answers a proxy's `quota.report`."""
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
        # what comes later comes with the next report: numbers of an account only grow
        await asyncio.wait(answers, timeout=_ANSWER_S)
        grants = [answer.result() for answer in answers if answer.done()]
        return GrantList([grant for grant in grants if grant is not None]).to_body()

    async def handle_count(
        self, _channel: Channel | None, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Answers another node's `quota.count`; reports that can't be counted have no grant."""
        request = CountRequest.from_body(body)
        grants = self._count_all(request.view_number, request.reports)
        return GrantList([grant for grant in grants if grant is not None]).to_body()

    async def handle_copy(self, _channel: Channel | None, body: Mapping[str, Any]) -> None:
        """Takes a counting node's `quota.copy`."""
        request = CopyList.from_body(body)
        self.apply_view()
        newest = self._view_number
        if request.view_number not in (newest, newest - 1):
            raise NotReady("copies of another view")
        now = self._clock.now()
        expiry = Expiry.read(list(request.expiry))
        if expiry is None or not expiry.stands(self._node.chain.confirmation.boot, now):
            raise NotReady("the copies are out of date")
        until = expiry.moment_us
        taken = [self._take_copy(copy, request, until, now) for copy in request.copies]
        if not all(taken):
            raise NotReady("a copy before is missing")

    async def handle_fetch(
        self, _channel: Channel | None, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Answers `quota.fetch`: the copies of this view, for a node that was restarted in it."""
        self.apply_view()
        now = self._clock.now()
        found = {
            tenant: self._followed[tenant]
            for tenant in body["tenants"]
            if tenant in self._followed
            and self._followed[tenant].view_number == body["view"]
            and self._followed[tenant].standby.is_current(now)
        }
        copies = [followed.standby.copy(tenant, now) for tenant, followed in found.items()]
        return {"view": body["view"], "rows": copy_rows(copies)}

    def _take_copy(self, copy: CounterCopy, request: CopyList, until: int, now: int) -> bool:
        followed = self._followed.get(copy.tenant)
        if followed is not None and followed.view_number > request.view_number:
            return False
        if followed is None or followed.view_number < request.view_number:
            followed = _Followed(self._table.terms.window_us, request.view_number)
            self._followed[copy.tenant] = followed
        return followed.standby.take(copy, request.life, request.number, until, now)

    # Counting

    async def _send_reports(self, node: str, rows: list[ReportRow]) -> list[Grant | None]:
        view = self._require_view()
        if node == self._node.name:
            return self._count_all(view.number, rows)
        request = CountRequest(view.number, rows)
        body = await self._node.call(
            node, MessageKind.QUOTA_COUNT, request.to_body(), _COUNT_LIMIT_US
        )
        grants = {
            (grant.tenant, grant.account): grant for grant in GrantList.from_body(body).grants
        }
        return [grants.get((report.tenant, report.account)) for _, report in rows]

    def _count_all(self, view_number: int, rows: Sequence[ReportRow]) -> list[Grant | None]:
        """Grants for reports; NotReady where this node does not count in that view."""
        self.apply_view()
        if not self._node.chain.active or self._view_number != view_number:
            raise NotReady("not counting in this view")
        now = self._clock.now()
        return [self._count(proxy, report, now) for proxy, report in rows]

    def _count(self, proxy: str, report: AccountReport, now: int) -> Grant | None:
        counted = self._counted.get(report.tenant)
        if counted is None or report.tenant not in self._table.quotas:
            return None
        counter = counted.counter
        counted.follow(self._table, report.tenant, now)
        return counter.report(proxy, report, now, counted.copies.most(counter, now))

    # Views

    def _require_view(self) -> View:
        view = self._node.chain.view
        if view is None:
            raise NotReady("no view yet")
        return view

    def apply_view(self) -> None:
        """Forgets what does not belong to this node any more."""
        self._table.follow(self._node.chain.control_state.configuration)
        view = self._node.chain.view
        if view is None or view.number == self._view_number:
            return
        is_next = view.number == self._view_number + 1
        self._may_be_remembered = self._view_number == 0
        before, self._counted = self._counted if is_next else {}, {}
        leaving: dict[str, dict[str, _Counted]] = {}
        for tenant, counted in before.items():
            counting = assign_counting_node(tenant, view.chain).counting_node
            if counting == self._node.name:
                counted.copies = CopyTracker()
                self._counted[tenant] = counted
            elif counting is not None:
                counted.copies = CopyTracker()
                leaving.setdefault(counting, {})[tenant] = counted
        self._followed = {
            tenant: followed
            for tenant, followed in self._followed.items()
            if followed.view_number in (view.number, view.number - 1)
        }
        for name, tenants in leaving.items():
            self._node.tasks.spawn(self._send_copies(name, tenants, self._view_number))
        self._view_number, self._view_since = view.number, self._clock.now()
        self._fresh_start = None

    async def run(self) -> None:
        """Takes over, begins anew and tells successors, for as long as the node runs."""
        while True:
            await self._clock.sleep(_TICK_US)
            self.apply_view()
            self._settle_starts()
            if not self._table.quotas or not self._node.chain.active:
                continue
            self._take_tenants()
            self._copy_to_successors()

    def _take_tenants(self) -> None:
        """Has a counter for each tenant that this node counts."""
        now, view = self._clock.now(), self._require_view()
        missing = [
            tenant
            for tenant in self._table.quotas
            if tenant not in self._counted
            and assign_counting_node(tenant, view.chain).counting_node == self._node.name
        ]
        fresh = [tenant for tenant in missing if not self._go_on(tenant, now)]
        if len(fresh) < len(missing):
            self._log_taken_over(len(missing) - len(fresh), 0, CounterMode.REGULAR)
        if not fresh or now - self._view_since < _HANDOVER_US:
            return
        start = self._fresh_start
        if start is None or start.until is None:
            if not self._is_entering:
                self._is_entering = True
                self._node.tasks.spawn(self._begin(view, fresh))
            return
        for tenant in fresh:
            counter = TenantCounter(0, self._table.terms.window_us)
            self._counted[tenant] = _Counted(counter, start.regime, start.until)
        self._log_taken_over(0, len(fresh), start.regime)

    def _log_taken_over(self, known: int, fresh: int, regime: CounterMode) -> None:
        emit(
            self._node.log,
            Events.COUNTS_TAKEN_OVER,
            view=self._view_number,
            known=known,
            fresh=fresh,
            regime=regime.value,
        )

    def _go_on(self, tenant: str, now: int) -> bool:
        """Goes on with the count of the former view's node, if that is known here."""
        followed = self._followed.get(tenant)
        if followed is None or followed.view_number != self._view_number - 1:
            return False
        if not followed.standby.is_current(now):
            return False
        del self._followed[tenant]
        self._adopt(tenant, followed.standby, now)
        return True

    def _adopt(self, tenant: str, standby: Standby, now: int) -> None:
        """Counts a tenant from where its counting node was."""
        until = now + standby.regime_left_us
        self._counted[tenant] = _Counted(standby.counter(now), standby.regime, until)

    async def _remember(self, view: View, tenants: list[str]) -> None:
        """Goes on with what the successors know of this process's life before, in this view."""
        self._may_be_remembered = False
        by_successor: dict[str, list[str]] = {}
        for tenant in tenants:
            successor = assign_counting_node(tenant, view.chain).successor
            if successor is not None:
                by_successor.setdefault(successor, []).append(tenant)
        asked = [self._fetch_from(name, view, names) for name, names in by_successor.items()]
        await asyncio.gather(*asked)

    async def _fetch_from(self, name: str, view: View, tenants: list[str]) -> None:
        body = {"view": view.number, "tenants": tenants}
        try:
            answer = await self._node.call(name, MessageKind.QUOTA_FETCH, body, _COPY_LIMIT_US)
        except Fault:
            return
        now = self._clock.now()
        for copy in copies_from(answer["rows"]):
            if self._view_number == view.number and copy.tenant not in self._counted:
                standby = Standby(self._table.terms.window_us)
                standby.take(copy, self._life, 1, now, now)
                self._adopt(copy.tenant, standby, now)

    async def _begin(self, view: View, tenants: list[str]) -> None:
        """Records that this node begins without a past, and decides what it may grant.

        Unless its successors remember all of `tenants`.
        """
        view_number = view.number
        try:
            if self._may_be_remembered:
                await self._remember(view, tenants)
            if all(tenant in self._counted for tenant in tenants):
                return
            if self._fresh_start is None:  # a second try must not take its own record for another's
                starts = self._node.chain.control_state.counting_starts
                regime = decide(starts, self._node.name, view_number)
                self._fresh_start = FreshStart(view_number, regime)
            record = CountingRecord(self._node.name, view_number)
            await self._node.enter(record.to_document(), False, _RECORD_LIMIT_US)
            start = self._fresh_start
            if start is not None and start.view_number == view_number:
                until = self._clock.now() + self._table.terms.quarantine_us
                self._fresh_start = start._replace(until=until)
                if self._node.chain.active:
                    self._take_tenants()
        except Fault:
            pass
        finally:
            self._is_entering = False

    def _settle_starts(self) -> None:
        """As the head, has beginnings that are over recorded so."""
        if not self._node.chain.head or not self._node.chain.active:
            self._starts_seen.clear()
            return
        now = self._clock.now()
        after_us = self._table.terms.quarantine_us + _SETTLE_MARGIN_US
        for name, start in self._node.chain.control_state.counting_starts.items():
            seen_at = self._starts_seen.setdefault((name, start.seq, start.view_number), now)
            if start.is_settled or now - seen_at <= after_us or self._is_settling:
                continue
            self._is_settling = True
            self._node.tasks.spawn(self._settle(CountingRecord(name, start.view_number, start.seq)))

    async def _settle(self, record: CountingRecord) -> None:
        try:
            await self._node.enter(record.to_document(), False, _RECORD_LIMIT_US)
        except Fault:
            pass
        finally:
            self._is_settling = False

    # Copies

    def _copy_to_successors(self) -> None:
        now, view = self._clock.now(), self._require_view()
        due: dict[str, dict[str, _Counted]] = {}
        for tenant, counted in self._counted.items():
            successor = assign_counting_node(tenant, view.chain).successor
            if successor is not None and counted.copies.is_due(counted.counter, now):
                due.setdefault(successor, {})[tenant] = counted
        for name, tenants in due.items():
            self._node.tasks.spawn(self._send_copies(name, tenants, view.number))

    async def _send_copies(
        self, name: str, tenants: Mapping[str, _Counted], view_number: int
    ) -> None:
        clocks = self._node.chain.confirmation.peer_clocks
        if not clocks.knows(name):
            return
        now = self._clock.now()
        expiry = clocks.expiry(name, STANDBY_LIFETIME_US)
        for tenant, counted in tenants.items():
            counted.follow(self._table, tenant, now)
        made = {tenant: counted.make_copy(tenant, now) for tenant, counted in tenants.items()}
        copies = [copy for copy, _ in made.values()]
        self._life = self._life or self._draw_life()
        self._copy_number += 1
        request = CopyList(view_number, self._life, self._copy_number, expiry.document(), copies)
        arrived = False
        try:
            await self._node.call(name, MessageKind.QUOTA_COPY, request.to_body(), _COPY_LIMIT_US)
            arrived = True
        except Fault:
            pass
        finally:
            for tenant, (_, sent) in made.items():
                trackers = tenants[tenant].copies
                trackers.acknowledge(sent) if arrived else trackers.lose(sent)

    def status(self) -> dict[str, Any]:
        """The tenants counted here: uses in the window, permits out, refusals, regime."""
        now = self._clock.now()
        return {
            tenant: {
                "used": counted.counter.used(now),
                "out": counted.counter.outstanding(),
                "allowance": counted.counter.allowance,
                "refused": counted.counter.refused,
                "regime": counted.regime(now).value,
            }
            for tenant, counted in sorted(self._counted.items())
        }

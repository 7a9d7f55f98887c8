"""Maintenance of the members of the view: admits new nodes and replaces lost ones."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence
from typing import TYPE_CHECKING

from petrelhaven.control.consensus.node_report import NodeReport
from petrelhaven.control.consensus.view_maintenance import Reports, ViewMaintenance
from petrelhaven.control.view_changes import ViewChangePlanner
from petrelhaven.membership.update import ALIVE, GONE
from petrelhaven.runtime.errors import DeadlineExceeded

if TYPE_CHECKING:
    from petrelhaven.control.consensus.node_services import NodeServices
    from petrelhaven.control.consensus.view import View
    from petrelhaven.membership.peer import Peer

__all__ = ["MemberMaintenance"]

_STABLE_CHECK_INTERVAL_US = 2_000_000
_URGENT_CHECKS_PER_INTERVAL = 4
_CHECK_JITTER_US = 50_000
_RECENT_REPORT_AGE_US = 3_000_000
_STARTUP_US = 1_500_000
_VIEW_DISTRIBUTION_US = 20_000


class MemberMaintenance(ViewMaintenance):
    """Maintains the chain and the members of the view, with reports from all known nodes.

    Checks more often while a change is pending.
    """

    def __init__(self, node: NodeServices, interval_us: int, max_members: int) -> None:
        """Checks about every `interval_us`, and keeps at most `max_members` voting members."""
        super().__init__(node, interval_us)
        self._planner = ViewChangePlanner(node, max_members)
        self._started_at = node.clock.now()
        self._check_requested = asyncio.Event()
        node.roster.on_change.append(self._on_peer_changed)
        node.chain.on_view.append(self._check_requested.set)
        node.chain.on_view.append(lambda: node.tasks.spawn(self._request_reports_after_view()))

    def addresses(self) -> Sequence[str]:
        """The link addresses of the seeds and of all known control nodes."""
        peers = self._node.roster.peers.values()
        known = (peer.addr for peer in peers if peer.role == "core" and peer.state != GONE)
        return sorted({*self._node.seeds, *known})

    def recent_reports(self) -> Reports:
        """The reports of the last few seconds, by node name."""
        now = self._node.clock.now()
        return {
            report.name: report
            for at, report in self._reports.values()
            if report and now - at < _RECENT_REPORT_AGE_US
        }

    def check_soon(self) -> None:
        """Ends the wait before the next check."""
        self._check_requested.set()

    async def wait_for_next_check(self) -> None:
        """Waits until the next check is due.

        The wait is short while a decision is pending, and long while every member is present.
        """
        interval_us = self._interval() + self._node.rng.randrange(_CHECK_JITTER_US)
        self._check_requested.clear()
        with contextlib.suppress(DeadlineExceeded):
            await self._node.clock.wait_for(self._check_requested.wait(), interval_us)

    def _interval(self) -> int:
        """The time until the next check, in microseconds."""
        view, reports = self._node.chain.view, self.recent_reports()
        if view is None or self.undecided or self._planner.can_admit_node(view, reports):
            return self._interval_us // _URGENT_CHECKS_PER_INTERVAL
        if self._is_stable(view, reports):
            return _STABLE_CHECK_INTERVAL_US
        return self._interval_us

    def _is_stable(self, view: View, reports: Reports) -> bool:
        """Whether every member is alive, in the chain, and has the disk that the view names."""
        return (
            view.every_member_in_chain
            and self._node.chain.is_active
            and all(self._node.roster.state(name) == ALIVE for name in view.members)
            and not self._planner.members_with_new_disk(view, reports)
        )

    def _on_peer_changed(self, peer: Peer, _former_state: str | None) -> None:
        """Checks the view at once after a peer joined or changed its state."""
        if peer.state == ALIVE:
            self._node.link.cancel_opening(peer.addr)
        self._check_requested.set()

    def is_present(self, name: str) -> bool:
        """Whether a node counts as present.

        Shortly after the start of this node, an unknown node counts as present, because it may be
        starting too.
        """
        starting = self._node.clock.now() - self._started_at < _STARTUP_US
        return super().is_present(name) or starting and self._node.roster.state(name) is None

    def on_report(self) -> None:
        """Shortens the wait after a new view if the reports show that earlier views expired."""
        chain, now = self._node.chain, self._node.clock.now()
        if chain.view is None or chain.active_at_us <= now:
            return
        reports: list[NodeReport] = [
            report for at, report in self._reports.values() if report and at >= chain.adopted_at_us
        ]
        chain.shorten_activation_wait([*reports, self._node.report()], now)

    async def _request_reports_after_view(self) -> None:
        """Requests reports once the other nodes may have received a new view.

        The reports can shorten the wait after the new view.
        """
        await self._node.clock.sleep(_VIEW_DISTRIBUTION_US)
        if self._node.chain.active_at_us > self._node.clock.now():
            for address in self.addresses():
                self._node.tasks.spawn(self.request_report(address))

    async def change_members(self, view: View, reports: Reports) -> None:
        """Proposes a view that admits a new node or replaces a lost member."""
        change = self._planner.next_view_change(view, reports)
        if change is not None and self._node.chain.is_active:
            await self.propose(view, change.chain, change.members, change.cause)

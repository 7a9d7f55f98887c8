"""Changes of the members: newcomers are taken in, and lost nodes replaced."""

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

_CALM_INTERVAL_US = 2_000_000
_BUSY_SHARE = 4
_CHECK_SPREAD_US = 50_000
_RECENT_REPORT_US = 3_000_000
_STARTING_US = 1_500_000
_VIEW_SPREAD_US = 20_000


class MemberMaintenance(ViewMaintenance):
    """Also asks nodes beside the seeds, and changes the members.

    It checks the more often the more there is to do.
    """

    def __init__(self, core: NodeServices, interval_us: int, most_members: int) -> None:
        """Checks about every `interval_us`; at most `most_members` nodes vote."""
        super().__init__(core, interval_us)
        self._changes = ViewChangePlanner(core, most_members)
        self._started_at = core.clock.now()
        self._woken = asyncio.Event()
        core.roster.on_change.append(self._peer_changed)
        core.chain.on_view.append(self._woken.set)
        core.chain.on_view.append(lambda: core.tasks.spawn(self._ask_who_moved()))

    def addresses(self) -> Sequence[str]:
        """The seeds, and every control node that is known by now."""
        peers = self._core.roster.peers.values()
        known = (peer.addr for peer in peers if peer.role == "core" and peer.state != GONE)
        return sorted({*self._core.seeds, *known})

    def recent_reports(self) -> Reports:
        """What nodes reported within the last seconds."""
        now = self._core.clock.now()
        return {
            report.name: report
            for at, report in self._reports.values()
            if report and now - at < _RECENT_REPORT_US
        }

    def check_soon(self) -> None:
        """Ends the wait between two checks."""
        self._woken.set()

    async def pause(self) -> None:
        """Waits between two checks.

        Briefly while there is something to decide, long while every member is there.
        """
        interval_us = self._interval() + self._core.rng.randrange(_CHECK_SPREAD_US)
        self._woken.clear()
        with contextlib.suppress(DeadlineExceeded):
            await self._core.clock.limit(self._woken.wait(), interval_us)

    def _interval(self) -> int:
        view, reports = self._core.chain.view, self.recent_reports()
        if view is None or self.undecided or self._changes.can_admit_node(view, reports):
            return self._interval_us // _BUSY_SHARE
        if self._every_member_is_there(view, reports):
            return _CALM_INTERVAL_US
        return self._interval_us

    def _every_member_is_there(self, view: View, reports: Reports) -> bool:
        return (
            view.every_member_in_chain
            and self._core.chain.is_active
            and all(self._core.roster.state(name) == ALIVE for name in view.members)
            and not self._changes.members_with_new_disk(view, reports)
        )

    def _peer_changed(self, peer: Peer, _former_state: str | None) -> None:
        """A peer is new here, or in another state than it was: the view is checked at once."""
        if peer.state == ALIVE:
            self._core.link.cancel_opening(peer.addr)
        self._woken.set()

    def is_present(self, name: str) -> bool:
        """Whether a node counts as being there.

        One not met since the start of this one may be starting too.
        """
        starting = self._core.clock.now() - self._started_at < _STARTING_US
        return super().is_present(name) or starting and self._core.roster.state(name) is None

    def report_received(self) -> None:
        """After a new view, reports may end the wait for the nodes of the former one."""
        chain, now = self._core.chain, self._core.clock.now()
        if chain.view is None or chain.active_at_us <= now:
            return
        reports: list[NodeReport] = [
            report for at, report in self._reports.values() if report and at >= chain.adopted_at_us
        ]
        chain.shorten_activation_wait([*reports, self._core.report()], now)

    async def _ask_who_moved(self) -> None:
        """Asks for what ends the wait after a new view, once the others may have received it."""
        await self._core.clock.sleep(_VIEW_SPREAD_US)
        if self._core.chain.active_at_us > self._core.clock.now():
            for address in self.addresses():
                self._core.tasks.spawn(self.request_report(address))

    async def change_members(self, view: View, reports: Reports) -> None:
        """Takes a newcomer in, or lets go of a lost node that one is to replace."""
        change = self._changes.next_view_change(view, reports)
        if change is not None and self._core.chain.is_active:
            await self.propose(view, change.chain, change.ids, change.cause)

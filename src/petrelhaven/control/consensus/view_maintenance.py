"""Keeps the view in step with the nodes that are there.

It decides the first view of all, and repairs the current one after losses.
"""

from __future__ import annotations

import contextlib
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from petrelhaven.control.consensus.node_report import NodeReport
from petrelhaven.control.consensus.register import NoMajorityPromised, Proposer
from petrelhaven.control.consensus.view import MemberDisks, View
from petrelhaven.membership.update import ALIVE, SUSPECT
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from petrelhaven.control.consensus.node_services import NodeServices
    from petrelhaven.transport.channel import Channel

__all__ = ["Reports", "ViewMaintenance"]

Reports = Mapping[str, NodeReport]
"""What control nodes reported of themselves, by name."""

_REPORT_TIMEOUT_US = 500_000
_LEARN_TIMEOUT_US = 500_000
_FIRST_VIEW_WAIT_US = 2_000_000
_CHECK_SPREAD_US = 50_000


class ViewMaintenance:
    """Asks the other control nodes for reports and proposes views.

    Only the first node of the view that is left proposes a repair, so that few proposals race.

    Attributes:
        may_found: Whether this node takes part in deciding the first view of all.
        undecided: Whether the last check ended before a view was agreed.
    """

    def __init__(self, core: NodeServices, interval_us: int) -> None:
        """Checks the view of `core` about every `interval_us`."""
        self._core, self._interval_us = core, interval_us
        self._proposer = Proposer(core.store, core.call)
        self._reports: dict[str, tuple[int, NodeReport | None]] = {}
        self._alone_since = core.clock.now()
        self.may_decide_first_view = True
        self.undecided = False

    # Reports

    def addresses(self) -> Sequence[str]:
        """The link addresses of the nodes to ask for reports."""
        return self._core.seeds

    def recent_reports(self) -> Reports:
        """What the nodes at the seeds reported last."""
        return {
            report.name: report
            for address, (_, report) in self._reports.items()
            if report and address in self._core.seeds
        }

    def report_received(self) -> None:
        """Called when a node has reported, or failed to."""

    def check_soon(self) -> None:
        """Has the next check made soon."""

    async def handle_report_request(
        self, _channel: Channel | None, _body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Answers another node's `view.ask`."""
        return self._core.report().to_body()

    async def request_report(self, address: str) -> None:
        """Asks the node at `address` for its report and adopts its view if that is newer."""
        asked_at = self._core.clock.now()
        report = await self._report_from(address)
        _, former = self._reports.get(address, (0, None))
        self._reports[address] = (asked_at, report)
        if report and (former is None or former.disk != report.disk):
            self.check_soon()
        self.report_received()
        if report and report.view:
            self._core.chain.adopt(report.view)

    async def _report_from(self, address: str) -> NodeReport | None:
        core = self._core
        try:
            if address == core.link.addr:
                return core.report()
            body = {"name": core.name}
            return NodeReport.from_body(
                await core.link.call(address, MessageKind.VIEW_READ, body, _REPORT_TIMEOUT_US)
            )
        except Fault:
            return await self._report_by_name(address)

    async def _report_by_name(self, address: str) -> NodeReport | None:
        """The report of the peer that has the address, by whatever way reaches it."""
        core, report = self._core, None
        for name, peer in list(core.roster.peers.items()):
            if peer.addr == address and peer.state == ALIVE:
                with contextlib.suppress(Fault):
                    body = {"name": core.name}
                    report = NodeReport.from_body(
                        await core.reach.call(name, MessageKind.VIEW_READ, body, _REPORT_TIMEOUT_US)
                    )
        return report

    # Checks

    async def run(self) -> None:
        """Checks the view again and again."""
        while True:
            await self.pause()
            for address in self.addresses():
                self._core.tasks.spawn(self.request_report(address))
            if not self._core.store.refuses:
                await self._check()

    async def pause(self) -> None:
        """Waits between two checks."""
        await self._core.clock.sleep(self._interval_us + self._core.rng.randrange(_CHECK_SPREAD_US))

    async def _check(self) -> None:
        self.undecided = True
        try:
            await self._maintain()
            self.undecided = False
        except NoMajorityPromised as race:
            if self._core.chain.view is None and race.accepted:
                await self._finish(race.accepted)
        except Fault:
            pass

    async def _maintain(self) -> None:
        """Finishes what was begun, decides the first view or repairs the current one."""
        core = self._core
        view = core.chain.view
        accepted = View.from_optional(core.store.vote["value"])
        if view is None:
            await (self._finish(accepted) if accepted else self._found())
        elif accepted and accepted.number > view.number and accepted.is_member(core.name):
            await self._finish(accepted)
        else:
            await self._repair(view, self.recent_reports())

    async def _finish(self, view: View) -> None:
        """Has a view decided that may have been accepted by some only."""
        ids = self._core.store.vote["ids"] or view.members
        with contextlib.suppress(Fault, NoMajorityPromised):
            self.distribute(await self._proposer.change(ids, lambda newest: newest or view))

    async def _found(self) -> None:
        """Decides the first view once every node of the list is there and none has ever had one."""
        core, reports = self._core, self.recent_reports()
        now = core.clock.now()
        blank = all(report.fresh and not report.view for report in reports.values())
        if not self.may_decide_first_view or len(reports) < len(core.seeds) or not blank:
            self._alone_since = now
            return
        if min(reports) != core.name and now - self._alone_since < _FIRST_VIEW_WAIT_US:
            return
        ids = {name: report.disk for name, report in sorted(reports.items())}
        first = View(1, tuple(sorted(ids)), ids, "first view", core.name, former_members=())
        emit(core.log, Events.VIEW_PROPOSED, n=first.number, cause=first.cause)
        self.distribute(await self._proposer.change(ids, lambda newest: newest or first))

    async def _repair(self, view: View, reports: Reports) -> None:
        """Leaves lost nodes out of the chain and lets members in again."""
        core = self._core
        remaining = [name for name in view.chain if self._may_remain(view, name, reports)]
        if not remaining or remaining[0] != core.name or not core.chain.is_complete:
            return
        joining = [
            name
            for name in sorted(reports)
            if name not in remaining and view.is_member(name) and self._is_usable(name)
        ]
        chain = (*remaining, *joining)
        ids = {**view.members, **{name: reports[name].disk for name in joining}}
        if chain == view.chain and ids == view.members:
            await self.change_members(view, reports)
        elif len(chain) >= view.quorum:
            lost = [name for name in view.chain if name not in remaining]
            await self.propose(view, chain, ids, _cause(lost, joining))

    def _may_remain(self, view: View, name: str, reports: Reports) -> bool:
        """Whether a node of the chain is there with the disk that the view names."""
        same_disk = name not in reports or reports[name].disk == view.members[name]
        return same_disk and self._is_usable(name)

    def _is_usable(self, name: str) -> bool:
        return self.is_present(name) and self._core.disk_watch.takes_writes(name)

    def is_present(self, name: str) -> bool:
        """Whether a node counts as being there."""
        return name == self._core.name or self._core.roster.state(name) in (ALIVE, SUSPECT)

    async def change_members(self, view: View, reports: Reports) -> None:
        """Called while the chain is as complete as its members allow: may propose other members."""

    # Decisions

    async def propose(self, view: View, chain: Sequence[str], ids: MemberDisks, cause: str) -> None:
        """Has a majority of the members of `view` decide the next one."""
        core = self._core
        before = core.chain.former_members()
        proposed = View(view.number + 1, tuple(chain), ids, cause, core.name, before)
        emit(core.log, Events.VIEW_PROPOSED, n=proposed.number, cause=cause)

        def next_view(newest: View | None) -> View:
            return proposed if newest is None or newest.number == view.number else newest

        self.distribute(await self._proposer.change(view.members, next_view))

    def distribute(self, view: View) -> None:
        """Adopts a decided view and sends it to its other members."""
        self._core.chain.adopt(view)
        for name in view.members:
            if name != self._core.name:
                self._core.tasks.spawn(self._send(name, view))

    async def _send(self, name: str, view: View) -> None:
        with contextlib.suppress(Fault):
            body = {"view": view.to_document()}
            await self._core.call(name, MessageKind.VIEW_LEARN, body, _LEARN_TIMEOUT_US)

    async def handle_view(self, _channel: Channel | None, body: Mapping[str, Any]) -> None:
        """Takes a decided view that another node sends."""
        self._core.chain.adopt(View.from_optional(body["view"]))


def _cause(lost: Sequence[str], joined: Sequence[str]) -> str:
    parts = []
    if lost:
        parts.append("lost " + ",".join(lost))
    if joined:
        parts.append("joined " + ",".join(joined))
    return "; ".join(parts)

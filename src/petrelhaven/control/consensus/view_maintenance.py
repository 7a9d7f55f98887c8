"""Maintenance of the view: decides the first view and repairs the current one after losses."""

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
"""Reports of control nodes by node name."""

_REPORT_TIMEOUT_US = 500_000
_VIEW_TIMEOUT_US = 500_000
_FIRST_VIEW_WAIT_US = 2_000_000
_CHECK_JITTER_US = 50_000


class ViewMaintenance:
    """Requests reports from the other control nodes and proposes views.

    Only the first remaining node of the chain proposes a repair, which keeps competing proposals
    rare.

    Attributes:
        may_decide_first_view: Whether this node may propose the first view of a new deployment.
        undecided: Whether the last check ended without agreement on a view.
    """

    def __init__(self, node: NodeServices, interval_us: int) -> None:
        """Checks the view of `node` about every `interval_us`."""
        self._node, self._interval_us = node, interval_us
        self._proposer = Proposer(node.store, node.call)
        self._reports: dict[str, tuple[int, NodeReport | None]] = {}
        self._all_seeds_fresh_since = node.clock.now()
        self.may_decide_first_view = True
        self.undecided = False

    # Reports

    def addresses(self) -> Sequence[str]:
        """The link addresses of the nodes to ask for reports."""
        return self._node.seeds

    def recent_reports(self) -> Reports:
        """The last reports of the nodes that count for a repair, by node name."""
        return self._seed_reports()

    def _seed_reports(self) -> Reports:
        """The last reports of the nodes at the seed addresses, by node name."""
        return {
            report.name: report
            for address, (_, report) in self._reports.items()
            if report and address in self._node.seeds
        }

    def on_report(self) -> None:
        """Called after each request for a report, including failed ones."""

    def check_soon(self) -> None:
        """Ends the wait before the next check."""

    async def handle_report_request(
        self, _channel: Channel | None, _body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Handles a `view.ask` from another node."""
        return self._node.report().to_body()

    async def request_report(self, address: str) -> None:
        """Requests the report of the node at `address`, and adopts its view if that is newer."""
        asked_at = self._node.clock.now()
        report = await self._report_from(address)
        _, previous = self._reports.get(address, (0, None))
        self._reports[address] = (asked_at, report)
        if report and (previous is None or previous.disk != report.disk):
            self.check_soon()
        self.on_report()
        if report and report.view:
            self._node.chain.adopt(report.view)

    async def _report_from(self, address: str) -> NodeReport | None:
        node = self._node
        try:
            if address == node.link.addr:
                return node.report()
            body = {"name": node.name}
            return NodeReport.from_body(
                await node.link.call(address, MessageKind.VIEW_READ, body, _REPORT_TIMEOUT_US)
            )
        except Fault:
            return await self._report_by_name(address)

    async def _report_by_name(self, address: str) -> NodeReport | None:
        """Requests the report by the name of the peer at `address`, which allows other routes."""
        node, report = self._node, None
        for name, peer in list(node.roster.peers.items()):
            if peer.addr == address and peer.state == ALIVE:
                with contextlib.suppress(Fault):
                    body = {"name": node.name}
                    report = NodeReport.from_body(
                        await node.node_caller.call(
                            name, MessageKind.VIEW_READ, body, _REPORT_TIMEOUT_US
                        )
                    )
        return report

    # Checks

    async def run(self) -> None:
        """Checks the view periodically."""
        while True:
            await self.wait_for_next_check()
            for address in self.addresses():
                self._node.tasks.spawn(self.request_report(address))
            if not self._node.store.refuses_writes:
                await self._check()

    async def wait_for_next_check(self) -> None:
        """Waits until the next check is due."""
        await self._node.clock.sleep(self._interval_us + self._node.rng.randrange(_CHECK_JITTER_US))

    async def _check(self) -> None:
        self.undecided = True
        try:
            await self._maintain()
            self.undecided = False
        except NoMajorityPromised as conflict:
            if self._node.chain.view is None and conflict.accepted:
                await self._finish_decision(conflict.accepted)
        except Fault:
            pass

    async def _maintain(self) -> None:
        """Finishes a pending decision, decides the first view, or repairs the current view."""
        node = self._node
        view = node.chain.view
        accepted = View.from_optional(node.store.vote["value"])
        if view is None:
            await (self._finish_decision(accepted) if accepted else self._decide_first_view())
        elif accepted and accepted.number > view.number and accepted.is_member(node.name):
            await self._finish_decision(accepted)
        else:
            await self._repair(view, self.recent_reports())

    async def _finish_decision(self, view: View) -> None:
        """Completes the decision on a view that possibly only some voters have accepted."""
        members = self._node.store.vote["ids"] or view.members
        with contextlib.suppress(Fault, NoMajorityPromised):
            self.distribute(
                await self._proposer.decide_view(members, lambda newest: newest or view)
            )

    async def _decide_first_view(self) -> None:
        """Decides the first view once every seed has reported that it never had a view.

        The seeds alone are its members, whichever other nodes have reported: views of different
        members could be decided side by side. The node with the lowest name proposes it; the others
        propose it after a delay.
        """
        node, reports = self._node, self._seed_reports()
        now = node.clock.now()
        all_fresh = all(report.fresh and not report.view for report in reports.values())
        if not self.may_decide_first_view or len(reports) < len(node.seeds) or not all_fresh:
            self._all_seeds_fresh_since = now
            return
        if min(reports) != node.name and now - self._all_seeds_fresh_since < _FIRST_VIEW_WAIT_US:
            return
        members = {name: report.disk for name, report in sorted(reports.items())}
        first = View(1, tuple(sorted(members)), members, "first view", node.name, former_members=())
        emit(node.log, Events.VIEW_PROPOSED, n=first.number, cause=first.cause)
        self.distribute(await self._proposer.decide_view(members, lambda newest: newest or first))

    async def _repair(self, view: View, reports: Reports) -> None:
        """Removes lost nodes from the chain and adds members that can be in the chain again."""
        node = self._node
        remaining = [name for name in view.chain if self._may_remain(view, name, reports)]
        if not remaining or remaining[0] != node.name or not node.chain.is_complete:
            return
        joining = [
            name
            for name in sorted(reports)
            if name not in remaining and view.is_member(name) and self._is_usable(name)
        ]
        chain = (*remaining, *joining)
        members = {**view.members, **{name: reports[name].disk for name in joining}}
        if chain == view.chain and members == view.members:
            await self.change_members(view, reports)
        elif len(chain) >= view.quorum:
            lost = [name for name in view.chain if name not in remaining]
            await self.propose(view, chain, members, _cause(lost, joining))

    def _may_remain(self, view: View, name: str, reports: Reports) -> bool:
        """Whether a node of the chain is usable and has the disk that the view names."""
        same_disk = name not in reports or reports[name].disk == view.members[name]
        return same_disk and self._is_usable(name)

    def _is_usable(self, name: str) -> bool:
        """Whether a node is present and its disk takes writes."""
        return self.is_present(name) and self._node.disk_watch.takes_writes(name)

    def is_present(self, name: str) -> bool:
        """Whether a node counts as present: it is this node, alive, or only suspected."""
        return name == self._node.name or self._node.roster.state(name) in (ALIVE, SUSPECT)

    async def change_members(self, view: View, reports: Reports) -> None:
        """Called when the chain needs no repair. A subclass may propose other members."""

    # Decisions

    async def propose(
        self, view: View, chain: Sequence[str], members: MemberDisks, cause: str
    ) -> None:
        """Proposes the view after `view` to the members of `view`, and distributes the decision."""
        node = self._node
        former_members = node.chain.former_members()
        proposed = View(view.number + 1, tuple(chain), members, cause, node.name, former_members)
        emit(node.log, Events.VIEW_PROPOSED, n=proposed.number, cause=cause)

        def next_view(newest: View | None) -> View:
            return proposed if newest is None or newest.number == view.number else newest

        self.distribute(await self._proposer.decide_view(view.members, next_view))

    def distribute(self, view: View) -> None:
        """Adopts a decided view and sends it to the other members."""
        self._node.chain.adopt(view)
        for name in view.members:
            if name != self._node.name:
                self._node.tasks.spawn(self._send_view(name, view))

    async def _send_view(self, name: str, view: View) -> None:
        with contextlib.suppress(Fault):
            body = {"view": view.to_document()}
            await self._node.call(name, MessageKind.VIEW_LEARN, body, _VIEW_TIMEOUT_US)

    async def handle_view(self, _channel: Channel | None, body: Mapping[str, Any]) -> None:
        """Handles a decided view that another node sent."""
        self._node.chain.adopt(View.from_optional(body["view"]))


def _cause(lost: Sequence[str], joined: Sequence[str]) -> str:
    """The cause of a repair, for operators."""
    parts = []
    if lost:
        parts.append("lost " + ",".join(lost))
    if joined:
        parts.append("joined " + ",".join(joined))
    return "; ".join(parts)

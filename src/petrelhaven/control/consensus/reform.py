"""Reform: forms a new chain after a majority of the disks was lost. Only an operator orders it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from petrelhaven.control.consensus.node_report import NodeReport
from petrelhaven.control.consensus.view import MemberDisks, View
from petrelhaven.runtime.errors import Conflict, Fault, Malformed, NotReady
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    import logbook

    from petrelhaven.control.consensus.node_services import NodeServices

__all__ = ["Reform"]

_RECORD_NUMBER_GAP = 1_000_000
_VIEW_AND_LEADERSHIP_GAP = 1_000
"""How far the numbers of records, and those of views and leaderships, are raised.

The gap exceeds all numbers that may have been assigned but are no longer known.
"""

_REPORT_ATTEMPTS = 5
_REPORT_TIMEOUT_US = 800_000
_REPORT_RETRY_DELAY_US = 100_000


@dataclass(frozen=True, slots=True)
class _Source:
    """A control state and the name of the node that stores it."""

    snapshot: dict[str, Any]
    node: str


class Reform:
    """Forms a new chain with the newest control state of this node and the live proxies.

    Raises the numbers of records, views and leaderships above all that were assigned before.
    """

    def __init__(self, node: NodeServices, log: logbook.Logger | None = None) -> None:
        """Makes `node` the head of the new chain."""
        self._node, self._log = node, log

    async def run(self, lost: Sequence[str], by: str = "") -> dict[str, Any]:
        """Forms a chain without the lost disks.

        Args:
            lost: The members whose disks are lost.
            by: The operator who ordered the reform.

        Returns:
            The outcome as a document.

        Raises:
            Malformed: `lost` is empty, or contains duplicates, this node or a non-member.
            Conflict: A majority of the disks remains, or a disk named as lost is in use.
            NotReady: This node has no view, or a node in `lost` does not answer.
        """
        node = self._node
        view = node.chain.view or View.from_optional(node.store.vote["value"])
        if view is None:
            raise NotReady("this control node has no view to reform")
        self._check_order(lost, view.members)
        reports = await self._reports_of_others(view.members)
        _check_disks_lost(lost, view.members, reports)
        source = await self._newest_source()
        number = _highest_view_number(view, reports) + _VIEW_AND_LEADERSHIP_GAP
        _raise_numbers(source.snapshot)
        reformed = self._reformed_view(number, view.members, lost, reports, by)
        seq = source.snapshot["seq"]
        lost_names = ",".join(lost)
        fields = {"n": number, "seq": seq, "src": source.node, "lost": lost_names, "by": by}
        emit(self._log, Events.CHAIN_REFORMED, **fields)
        node.store.reset(source.snapshot, number)
        node.views.distribute(reformed)
        return _outcome(reformed, source)

    def _check_order(self, lost: Sequence[str], members: MemberDisks) -> None:
        unknown = [name for name in lost if name not in members]
        if unknown or not lost or self._node.name in lost or len(set(lost)) != len(lost):
            raise Malformed(
                "lost: must name other control nodes of the view, each once",
                details={"faults": [["lost", f"no core {name}"] for name in unknown]},
            )
        if len(members) - len(lost) > len(members) // 2:
            raise Conflict(
                "a majority of the disks remains; the chain repairs itself",
                details={"ids": sorted(members)},
            )

    async def _reports_of_others(self, members: MemberDisks) -> dict[str, NodeReport | None]:
        """The reports of the other members; None for each member that does not answer."""
        others = [name for name in sorted(members) if name != self._node.name]
        return {name: await self._request_report(name) for name in others}

    async def _request_report(self, name: str) -> NodeReport | None:
        """Requests the report of one member, with retries; None if it does not answer."""
        node = self._node
        for _ in range(_REPORT_ATTEMPTS):
            try:
                body = await node.call(
                    name, MessageKind.VIEW_READ, {"name": node.name}, _REPORT_TIMEOUT_US
                )
                return NodeReport.from_body(body)
            except Fault:
                await node.clock.sleep(_REPORT_RETRY_DELAY_US)
        return None

    async def _newest_source(self) -> _Source:
        """The newest control state among those of this node and of live proxies."""
        node = self._node
        newest = _Source(node.chain.control_state.snapshot(), node.name)
        for name, snapshot in sorted((await node.snapshots()).items()):
            if snapshot["seq"] > newest.snapshot["seq"]:
                newest = _Source(snapshot, name)
        return newest

    def _reformed_view(
        self,
        number: int,
        members: MemberDisks,
        lost: Sequence[str],
        reports: dict[str, NodeReport | None],
        by: str,
    ) -> View:
        """The new view, with all nodes that answer and the new disks of the nodes in `lost`."""
        present = {name: report for name, report in reports.items() if report}
        others = [name for name in sorted(members) if name in present]
        disks = {
            name: present[name].disk if name in lost else disk for name, disk in members.items()
        }
        cause = "formed anew without " + ",".join(lost)
        return View(number, (self._node.name, *others), disks, cause, by or self._node.name)


def _check_disks_lost(
    lost: Sequence[str], members: MemberDisks, reports: dict[str, NodeReport | None]
) -> None:
    """Checks that every node in `lost` answers with another disk than the view names."""
    for name in lost:
        report = reports[name]
        if report is None:
            raise NotReady(f"{name} does not answer; start it with an empty data folder first")
        if report.disk == members[name]:
            raise Conflict(
                f"{name} still has the disk that the view names, so the disk is not lost"
            )


def _highest_view_number(view: View, reports: dict[str, NodeReport | None]) -> int:
    """The highest view number in `view` and the reports."""
    known = [report.view.number for report in reports.values() if report and report.view]
    return max([view.number, *known])


def _raise_numbers(snapshot: dict[str, Any]) -> None:
    """Raises the numbers of records and leaderships above all that may have been assigned."""
    snapshot["seq"] += _RECORD_NUMBER_GAP
    leaderships = snapshot["offices" if "offices" in snapshot else "epochs"]
    for group, leadership in leaderships.items():
        leadership["n"] += _VIEW_AND_LEADERSHIP_GAP
        leadership["cause"] = f"control was formed anew; before: {leadership['cause']}"
        past = snapshot["past"].setdefault(group, [])
        latest = past[-1] if past else leadership
        raised = {"n": leadership["n"], "cause": leadership["cause"], "seq": snapshot["seq"]}
        past.append({**latest, **raised})


def _outcome(view: View, source: _Source) -> dict[str, Any]:
    """The document that describes the outcome to the operator."""
    configuration = source.snapshot["manifest"]
    return {
        "view": view.number,
        "chain": list(view.chain),
        "change": source.snapshot["seq"],
        "from": source.node,
        "manifest": configuration["version"] if configuration else 0,
    }

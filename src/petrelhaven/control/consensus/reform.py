"""Reform: the chain is formed anew after most disks were lost, at the operator's order only."""

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

_RECORD_GAP = 1_000_000
_NUMBER_GAP = 1_000
"""How far the numbers of records, and of views and leaderships, are raised above all known ones."""

_REPORT_TRIES = 5
_REPORT_TIMEOUT_US = 800_000
_REPORT_PAUSE_US = 100_000


@dataclass(frozen=True, slots=True)
class _Source:
    """A control state and the node that holds it."""

    snapshot: dict[str, Any]
    node: str


class Reform:
    """Takes the newest control state that any living node holds.

    Every number is raised above all handed out before.
    """

    def __init__(self, core: NodeServices, log: logbook.Logger | None = None) -> None:
        """Has `core` lead the chain that is formed."""
        self._core, self._log = core, log

    async def run(self, lost: Sequence[str], by: str = "") -> dict[str, Any]:
        """Forms the chain without the disks of `lost`; returns what was formed, as a document.

        Raises:
            Malformed: `lost` does not name other members of the view, each once.
            Conflict: a majority of the disks is left, or one that is said to be lost answers.
            NotReady: no view is known here, or a node of `lost` does not answer yet.
        """
        core = self._core
        view = core.chain.view or View.from_optional(core.store.vote["value"])
        if view is None:
            raise NotReady("this core knows no view to form anew")
        self._check_order(lost, view.members)
        reports = await self._reports(view.members)
        _check_lost(lost, view.members, reports)
        source = await self._newest_source()
        number = _highest_view(view, reports) + _NUMBER_GAP
        _raise_numbers(source.snapshot)
        reformed = self._view(number, view.members, lost, reports, by)
        seq = source.snapshot["seq"]
        lost_names = ",".join(lost)
        fields = {"n": number, "seq": seq, "src": source.node, "lost": lost_names, "by": by}
        emit(self._log, Events.CHAIN_REFORMED, **fields)
        core.store.reset(source.snapshot, number)
        core.views.distribute(reformed)
        return _outcome(reformed, source)

    def _check_order(self, lost: Sequence[str], ids: MemberDisks) -> None:
        unknown = [name for name in lost if name not in ids]
        if unknown or not lost or self._core.name in lost or len(set(lost)) != len(lost):
            raise Malformed(
                "lost: must name other cores of the view, each once",
                details={"faults": [["lost", f"no core {name}"] for name in unknown]},
            )
        if len(ids) - len(lost) > len(ids) // 2:
            raise Conflict(
                "a majority of the disks is left; the chain mends itself",
                details={"ids": sorted(ids)},
            )

    async def _reports(self, ids: MemberDisks) -> dict[str, NodeReport | None]:
        """What the other members report; None for each that does not answer."""
        others = [name for name in sorted(ids) if name != self._core.name]
        return {name: await self._report(name) for name in others}

    async def _report(self, name: str) -> NodeReport | None:
        core = self._core
        for _ in range(_REPORT_TRIES):
            try:
                body = await core.call(
                    name, MessageKind.VIEW_READ, {"name": core.name}, _REPORT_TIMEOUT_US
                )
                return NodeReport.from_body(body)
            except Fault:
                await core.clock.sleep(_REPORT_PAUSE_US)
        return None

    async def _newest_source(self) -> _Source:
        """The newest control state among this node's and those of living proxies."""
        core = self._core
        newest = _Source(core.chain.control_state.snapshot(), core.name)
        for name, snapshot in sorted((await core.snapshots()).items()):
            if snapshot["seq"] > newest.snapshot["seq"]:
                newest = _Source(snapshot, name)
        return newest

    def _view(
        self,
        number: int,
        ids: MemberDisks,
        lost: Sequence[str],
        reports: dict[str, NodeReport | None],
        by: str,
    ) -> View:
        """The view of every node that answers, with the new disks of those that lost theirs."""
        present = {name: report for name, report in reports.items() if report}
        others = [name for name in sorted(ids) if name in present]
        disks = {name: present[name].disk if name in lost else disk for name, disk in ids.items()}
        cause = "formed anew without " + ",".join(lost)
        return View(number, (self._core.name, *others), disks, cause, by or self._core.name)


def _check_lost(
    lost: Sequence[str], ids: MemberDisks, reports: dict[str, NodeReport | None]
) -> None:
    """Every node of `lost` must answer with another disk than the view names."""
    for name in lost:
        report = reports[name]
        if report is None:
            raise NotReady(f"{name} does not answer; start it over an empty folder first")
        if report.disk == ids[name]:
            raise Conflict(f"{name} answers with the disk that the view names; it is not lost")


def _highest_view(view: View, reports: dict[str, NodeReport | None]) -> int:
    known = [report.view.number for report in reports.values() if report and report.view]
    return max([view.number, *known])


def _raise_numbers(snapshot: dict[str, Any]) -> None:
    """Raises the numbers of records and leaderships above all that may have been handed out."""
    snapshot["seq"] += _RECORD_GAP
    leaderships = snapshot["offices" if "offices" in snapshot else "epochs"]
    for group, leadership in leaderships.items():
        leadership["n"] += _NUMBER_GAP
        leadership["cause"] = f"control was formed anew; before: {leadership['cause']}"
        past = snapshot["past"].setdefault(group, [])
        latest = past[-1] if past else leadership
        raised = {"n": leadership["n"], "cause": leadership["cause"], "seq": snapshot["seq"]}
        past.append({**latest, **raised})


def _outcome(view: View, source: _Source) -> dict[str, Any]:
    configuration = source.snapshot["manifest"]
    return {
        "view": view.number,
        "chain": list(view.chain),
        "change": source.snapshot["seq"],
        "from": source.node,
        "manifest": configuration["version"] if configuration else 0,
    }

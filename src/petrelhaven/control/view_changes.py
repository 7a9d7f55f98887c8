"""Which cores the view should count: newcomers to take in, lost ones to let go of."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.control.consensus.node_services import NodeServices
    from petrelhaven.control.consensus.view import View
    from petrelhaven.control.consensus.view_maintenance import Reports

__all__ = ["ViewChange", "ViewChangePlanner"]

_LOST_AFTER_US = 1_000_000


@dataclass(frozen=True, slots=True)
class ViewChange:
    """A next view: its chain, the disks of the cores that count in it, and why."""

    chain: list[str]
    ids: dict[str, str]
    cause: str


class ViewChangePlanner:
    """Compares a view with what this core knows of the others.

    At most `most_members` control nodes are members, which follows from what may be lost at once.
    """

    def __init__(self, core: NodeServices, most_members: int) -> None:
        """Uses the roster, the clock and the disk watch of `core`."""
        self._core, self._most_members = core, most_members
        self._born = core.clock.now()

    def admissible_nodes(self, view: View, reports: Reports) -> list[str]:
        """Cores beside those of the view that could be taken in."""
        return [
            name
            for name in sorted(reports)
            if name not in view.members
            and self._core.roster.state(name) == "alive"
            and self._core.disk_watch.takes_writes(name)
        ]

    def members_with_new_disk(self, view: View, reports: Reports) -> list[str]:
        """Cores of the view that came back with another disk than they had in it."""
        return [
            name
            for name, disk in view.members.items()
            if name in reports and reports[name].disk != disk
        ]

    def can_admit_node(self, view: View, reports: Reports) -> bool:
        """Whether a core waits to be taken in, and one is missing in the view."""
        missing = len(view.members) < self._most_members or not view.every_member_in_chain
        return missing and bool(self.admissible_nodes(view, reports))

    def next_view_change(self, view: View, reports: Reports) -> ViewChange | None:
        """One change at a time: takes a newcomer in, in the place of a lost core if need be.

        Both happen in one view, so that a loss right after it finds the newcomer counted. The
        register decides it only by nodes that are members before and after.
        """
        newcomers = self.admissible_nodes(view, reports)
        if not newcomers:
            return None
        chain, ids, newcomer = list(view.chain), dict(view.members), newcomers[0]
        if len(ids) < self._most_members:
            ids[newcomer] = reports[newcomer].disk
            return ViewChange([*chain, newcomer], ids, f"took in {newcomer}")
        lost = [name for name in ids if name not in chain and self._is_lost(name)]
        if not lost or len(chain) <= (len(ids) - 1) // 2:
            return None
        del ids[lost[0]]
        ids[newcomer] = reports[newcomer].disk
        return ViewChange([*chain, newcomer], ids, f"{newcomer} replaces {lost[0]}")

    def _is_lost(self, name: str) -> bool:
        """Whether a core out of the chain may be let go of: it left, or is gone for a while.

        That is taken from this core's own roster, so the time runs on where the head changes.
        """
        roster = self._core.roster
        gone_for = roster.gone_for(name)
        if gone_for is not None:
            return roster.departed(name) or gone_for > _LOST_AFTER_US
        return roster.state(name) is None and self._core.clock.now() - self._born > _LOST_AFTER_US

"""Plans changes to the members of the view: admits new control nodes and replaces lost ones."""

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
    """A planned view.

    Attributes:
        chain: Names of the nodes in the chain, from head to tail.
        members: Disk identity by member name.
        cause: Why the view is proposed.
    """

    chain: list[str]
    members: dict[str, str]
    cause: str


class ViewChangePlanner:
    """Compares a view with the roster and the reports of this control node.

    The maximum number of members follows from how many of them may be lost at the same time.
    """

    def __init__(self, node: NodeServices, max_members: int) -> None:
        """Uses the roster, the clock and the disk watch of `node`."""
        self._node, self._max_members = node, max_members
        self._started_at = node.clock.now()

    def admissible_nodes(self, view: View, reports: Reports) -> list[str]:
        """The control nodes outside the view that can be admitted."""
        return [
            name
            for name in sorted(reports)
            if name not in view.members
            and self._node.roster.state(name) == "alive"
            and self._node.disk_watch.takes_writes(name)
        ]

    def members_with_new_disk(self, view: View, reports: Reports) -> list[str]:
        """The members that report another disk than the view names."""
        return [
            name
            for name, disk in view.members.items()
            if name in reports and reports[name].disk != disk
        ]

    def can_admit_node(self, view: View, reports: Reports) -> bool:
        """Whether a node can be admitted: the view or the chain lacks a member."""
        incomplete = len(view.members) < self._max_members or not view.every_member_in_chain
        return incomplete and bool(self.admissible_nodes(view, reports))

    def next_view_change(self, view: View, reports: Reports) -> ViewChange | None:
        """Returns the next change, which admits one node and, if necessary, removes a lost member.

        Both happen in one view, so that the new node already counts if another node is lost
        immediately afterwards. The register decides such a view only by the votes of nodes that are
        members both before and after.
        """
        admissible = self.admissible_nodes(view, reports)
        if not admissible:
            return None
        chain, members, admitted = list(view.chain), dict(view.members), admissible[0]
        if len(members) < self._max_members:
            members[admitted] = reports[admitted].disk
            return ViewChange([*chain, admitted], members, f"took in {admitted}")
        lost = [name for name in members if name not in chain and self._is_lost(name)]
        if not lost or len(chain) <= (len(members) - 1) // 2:
            return None
        del members[lost[0]]
        members[admitted] = reports[admitted].disk
        return ViewChange([*chain, admitted], members, f"{admitted} replaces {lost[0]}")

    def _is_lost(self, name: str) -> bool:
        """Whether a member outside the chain left in order or has been gone for some time.

        Each node measures the time with its own roster, so a change of the head does not restart
        it.
        """
        roster = self._node.roster
        gone_duration_us = roster.gone_duration_us(name)
        if gone_duration_us is not None:
            return roster.has_departed(name) or gone_duration_us > _LOST_AFTER_US
        return (
            roster.state(name) is None
            and self._node.clock.now() - self._started_at > _LOST_AFTER_US
        )

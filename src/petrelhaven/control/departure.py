"""Orderly departure: a control node hands over its place in the view before it stops.

While another node can be admitted, a departing node remains a voting member until the view no
longer names its disk. If two nodes stop at the same time, the one closer to the tail departs first.
The other waits until every member is in the chain again, because no majority of the disks might
remain if both departed at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.membership.update import ALIVE
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.consensus.node_services import NodeServices
    from petrelhaven.control.consensus.view import View

__all__ = ["Departure"]

_CHECK_INTERVAL_US = 100_000
_DEPARTURE_TIMEOUT_US = 3_000_000
_REPLACEMENT_TIMEOUT_US = 5_000_000
_STABILITY_TIMEOUT_US = 4_200_000
_STABLE_US_PER_POSITION = 500_000


class Departure:
    """The departure of one control node. Times are in clock microseconds."""

    def __init__(self, node: NodeServices) -> None:
        """Uses the view, the roster and the prober of `node`."""
        self._node = node
        self._clock = node.clock

    async def run(self) -> None:
        """Departs; returns once the other nodes don't need this one, or after a timeout."""
        node = self._node
        emit(node.log, Events.NODE_LEAVING, name=node.name)
        started_at = self._clock.now()
        replaceable = bool(self._admissible_nodes())
        if replaceable:
            await self._wait_until_stable(started_at + _STABILITY_TIMEOUT_US)
        deadline = started_at + (_REPLACEMENT_TIMEOUT_US if replaceable else _DEPARTURE_TIMEOUT_US)
        while self._clock.now() < deadline:
            node.prober.leave()
            if self._may_stop(replaceable):
                break
            await self._clock.sleep(_CHECK_INTERVAL_US)
        emit(node.log, Events.NODE_ENDED, name=node.name)

    def _admissible_nodes(self) -> list[str]:
        """Live control nodes that are not members of the view."""
        view = self._node.chain.view
        if view is None:
            return []
        roster = self._node.roster
        return [
            name
            for name in roster.living_peers("core")
            if not view.is_member(name) and roster.state(name) == ALIVE
        ]

    async def _wait_until_stable(self, deadline: int) -> None:
        """Waits until all members have been present long enough, or until `deadline`."""
        present_since = None
        while self._clock.now() < deadline:
            view = self._node.chain.view
            if view is None or not view.has_in_chain(self._node.name):
                return
            if not self._every_member_is_present(view):
                present_since = None
            elif present_since is None:
                present_since = self._clock.now()
            elif self._clock.now() - present_since >= self._required_stable_us(view):
                return
            await self._clock.sleep(_CHECK_INTERVAL_US)

    def _required_stable_us(self, view: View) -> int:
        """How long all members must be present: shorter for nodes closer to the tail."""
        return (len(view.chain) - view.chain.index(self._node.name)) * _STABLE_US_PER_POSITION

    def _every_member_is_present(self, view: View) -> bool:
        """Whether every member of the view is alive and in the chain."""
        roster = self._node.roster
        return view.every_member_in_chain and all(
            roster.state(name) == ALIVE for name in view.members
        )

    def _may_stop(self, replaceable: bool) -> bool:
        """Whether the other nodes need neither the records nor the vote of this node."""
        view = self._node.chain.view
        if view is None or not view.is_member(self._node.name):
            return True
        if replaceable and self._admissible_nodes():
            return False
        return not view.has_in_chain(self._node.name) or len(view.chain) <= view.quorum

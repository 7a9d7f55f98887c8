"""Orderly departure: a control node that is to stop hands its place to a successor before it ends.

While another node waits for a place, a leaver keeps its vote until the members of the view no
longer name its disk. Of two that are to stop at once, the one nearer to the tail goes first, and
the other waits until every member is in the chain again: with both gone at once no majority of the
disks might be left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.membership.update import ALIVE
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.consensus.node_services import NodeServices
    from petrelhaven.control.consensus.view import View

__all__ = ["Departure"]

_CHECK_US = 100_000
_LEAVE_US = 3_000_000
_REPLACED_US = 5_000_000
_WAIT_TURN_US = 4_200_000
_STABLE_US = 500_000


class Departure:
    """The departure of one control node from the fleet. Times are in clock microseconds."""

    def __init__(self, core: NodeServices) -> None:
        """Uses the view, the roster and the prober of `core`."""
        self._core = core
        self._clock = core.clock

    async def run(self) -> None:
        """Leaves; returns once the others go on without this node, or after some seconds."""
        core = self._core
        emit(core.log, Events.NODE_LEAVING, name=core.name)
        began = self._clock.now()
        replaced = bool(self._newcomers())
        if replaced:
            await self._wait_for_turn(began + _WAIT_TURN_US)
        end = began + (_REPLACED_US if replaced else _LEAVE_US)
        while self._clock.now() < end:
            core.prober.leave()
            if self._is_free(replaced):
                break
            await self._clock.sleep(_CHECK_US)
        emit(core.log, Events.NODE_ENDED, name=core.name)

    def _newcomers(self) -> list[str]:
        """Living control nodes that are no members of the view yet."""
        view = self._core.chain.view
        if view is None:
            return []
        roster = self._core.roster
        return [
            name
            for name in roster.living("core")
            if not view.is_member(name) and roster.state(name) == ALIVE
        ]

    async def _wait_for_turn(self, end: int) -> None:
        """Waits until every member was in the chain for as long as this node's place asks for."""
        complete_since = None
        while self._clock.now() < end:
            view = self._core.chain.view
            if view is None or not view.has_in_chain(self._core.name):
                return
            if not self._every_member_is_there(view):
                complete_since = None
            elif complete_since is None:
                complete_since = self._clock.now()
            elif self._clock.now() - complete_since >= self._stable_us(view):
                return
            await self._clock.sleep(_CHECK_US)

    def _stable_us(self, view: View) -> int:
        """The nearer to the tail, the shorter."""
        return (len(view.chain) - view.chain.index(self._core.name)) * _STABLE_US

    def _every_member_is_there(self, view: View) -> bool:
        """Whether every member of the view is in the chain and alive."""
        roster = self._core.roster
        return view.every_member_in_chain and all(
            roster.state(name) == ALIVE for name in view.members
        )

    def _is_free(self, replaced: bool) -> bool:
        """Whether the others need neither this core's copy nor its vote."""
        view = self._core.chain.view
        if view is None or not view.is_member(self._core.name):
            return True
        if replaced and self._newcomers():
            return False
        return not view.has_in_chain(self._core.name) or len(view.chain) <= view.quorum

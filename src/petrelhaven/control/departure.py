"""Leaving in order: a core that is to stop hands its place to a successor before it goes.

While a core waits for a place, a leaver keeps its vote until the members of the view no longer name its disk. Of two
that are told to stop at once, the one nearer to the tail goes first, and the other waits until the chain is whole
again: with both gone at once no majority of the disks might be left.
"""

from typing import Any

from petrelhaven.runtime.events import Events, emit

__all__ = ["Departure"]

_CHECK_US = 100_000
_LEAVE_US = 3_000_000
_REPLACED_US = 5_000_000
_TURN_US = 4_200_000
_WHOLE_US = 500_000


class Departure:
    """The way of one core out of the fleet. Times are in clock microseconds."""

    def __init__(self, core: Any) -> None:  # noqa: ANN401 (a core of either path)
        """Uses the view, the roster and the prober of `core`."""
        self._core = core
        self._clock = core.clock

    async def run(self) -> None:
        """Leaves; returns once the others go on without this core, or once its time is over."""
        core = self._core
        emit(core.log, Events.NODE_LEAVING, name=core.name)
        began = self._clock.now()
        replaced = bool(self._newcomers())
        if replaced:
            await self._own_turn(began + _TURN_US)
        end = began + (_REPLACED_US if replaced else _LEAVE_US)
        while self._clock.now() < end:
            core.prober.leave()
            if self._is_free(replaced):
                break
            await self._clock.sleep(_CHECK_US)
        emit(core.log, Events.NODE_ENDED, name=core.name)

    def _newcomers(self) -> list[str]:
        """Living cores that have no place among the members of the view yet."""
        view = self._core.chain.view
        if view is None:
            return []
        roster = self._core.roster
        return [
            name
            for name in roster.living("core")
            if not view.is_member(name) and roster.state(name) == "alive"
        ]

    async def _own_turn(self, end: int) -> None:
        """Waits until the chain has been whole for as long as this core's place in it asks for."""
        whole_since = None
        while self._clock.now() < end:
            view = self._core.chain.view
            if not view.contains(self._core.name):
                return
            if not self._is_whole():
                whole_since = None
            elif whole_since is None:
                whole_since = self._clock.now()
            elif self._clock.now() - whole_since >= self._wait_us():
                return
            await self._clock.sleep(_CHECK_US)

    def _wait_us(self) -> int:
        chain = self._core.chain.view.chain
        return (len(chain) - chain.index(self._core.name)) * _WHOLE_US

    def _is_whole(self) -> bool:
        """Whether every member of the view is in the chain and alive."""
        view, roster = self._core.chain.view, self._core.roster
        return view.every_member_in_chain and all(
            roster.state(name) == "alive" for name in view.ids
        )

    def _is_free(self, replaced: bool) -> bool:
        """Whether the others need neither this core's copy nor its vote."""
        view = self._core.chain.view
        if view is None or not view.is_member(self._core.name):
            return True
        if replaced and self._newcomers():
            return False
        return not view.contains(self._core.name) or len(view.chain) <= view.quorum

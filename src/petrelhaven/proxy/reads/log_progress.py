"""What a proxy knows of one member's log, and those who wait for it to rise."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from petrelhaven.runtime.errors import Fault

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.position import LogPosition
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks

__all__ = ["LogProgress"]

_PERIOD_US = 8_000
_DOUBLINGS_MOST = 5
_NOTHING_KNOWN = -1


class LogProgress:
    """Asks STATUS only while somebody waits; one question in flight a member.

    `log` is the newest known position, under `term`; `asked` counts questions. Positions are whole
    numbers on the kept path and (term, number) on the held path.
    """

    def __init__(
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        ask: Callable[[], Awaitable[tuple[int, int]]] | None,
        gap_us: int = _PERIOD_US,
    ) -> None:
        """Asks by `ask`, which answers (position, term), every `gap_us`; never if it is None."""
        self.clock, self.tasks, self._ask, self.gap_us = clock, tasks, ask, gap_us
        self.log: LogPosition = _NOTHING_KNOWN
        self.term = 0
        self.asked = 0
        self._waiting: list[tuple[LogPosition, asyncio.Future]] = []
        self._polling = False

    @property
    def busy(self) -> bool:
        """Whether somebody waits already, so that a new position is about to be known."""
        return self._polling

    def turn(self, term: int) -> None:
        """Positions of a former term say nothing any more."""
        if term != self.term:
            self.log, self.term = _NOTHING_KNOWN, term

    def note(self, log: LogPosition, term: int) -> None:
        """Takes a position that the member reported under `term`."""
        if term != self.term:
            return
        self.log = log
        waiting, self._waiting = self._waiting, []
        for position, risen in waiting:
            if risen.done():
                continue
            if log >= position:
                risen.set_result(log)
            else:
                self._waiting.append((position, risen))

    def wait(self, position: LogPosition) -> asyncio.Future:
        """A future that is done once another statement shows that the log holds `position`.

        Nothing is asked for it.
        """
        risen = asyncio.get_running_loop().create_future()
        if self.log >= position:
            risen.set_result(self.log)
        else:
            self._forget_done()
            self._waiting.append((position, risen))
        return risen

    def reach(self, position: LogPosition) -> asyncio.Future:
        """A future that is done once the member's log holds `position`."""
        risen = asyncio.get_running_loop().create_future()
        if self.log >= position:
            risen.set_result(self.log)
            return risen
        self._waiting.append((position, risen))
        if not self._polling:
            self._polling = True
            self.tasks.spawn(self._poll())
        return risen

    def _forget_done(self) -> None:
        self._waiting = [(position, risen) for position, risen in self._waiting if not risen.done()]

    async def _poll(self) -> None:
        """Asks until nobody waits; at a pause that doubles while the member does not answer."""
        doublings = 0
        try:
            while True:
                self._forget_done()
                if not self._waiting:
                    return
                try:
                    self.asked += 1
                    self.note(*await self._ask())
                    doublings = 0
                except Fault:
                    doublings = min(doublings + 1, _DOUBLINGS_MOST)
                await self.clock.sleep(self.gap_us << doublings)
        finally:
            self._polling = False

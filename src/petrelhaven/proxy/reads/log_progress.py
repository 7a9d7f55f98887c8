"""What a proxy knows of one member's log, and the reads that wait for it to rise."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from petrelhaven.runtime.errors import Fault

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.position import LogPosition
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks

__all__ = ["PositionRequest", "LogProgress"]

PositionRequest = Callable[[], Awaitable[tuple[int, int]]]
"""Asks a member for (position, term)."""

_PERIOD_US = 8_000
_DOUBLINGS_MOST = 5
_NOTHING_KNOWN = -1


class LogProgress:
    """Asks STATUS only while a read waits, one question at a time for a member.

    Attributes:
        log: The newest known position.
        term: The term under which `position` was reported.
        asked: How many questions were asked.
        gap_us: The pause between two questions, in microseconds.
    """

    def __init__(
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        ask: PositionRequest | None,
        poll_interval_us: int = _PERIOD_US,
    ) -> None:
        """Knows no position yet.

        Args:
            clock: Monotonic time.
            tasks: Where questions are asked.
            ask: Asks the member for (position, term); None if nothing is ever asked.
            gap_us: The pause between two questions, in microseconds.
        """
        self.clock, self.tasks, self._ask, self.poll_interval_us = (
            clock,
            tasks,
            ask,
            poll_interval_us,
        )
        self.position: LogPosition = _NOTHING_KNOWN
        self.term = 0
        self.status_requests = 0
        self._waiting: list[tuple[LogPosition, asyncio.Future[LogPosition]]] = []
        self._polling = False

    @property
    def is_polling(self) -> bool:
        """Whether the member is being asked, so that a new position is about to be known."""
        return self._polling

    def set_term(self, term: int) -> None:
        """Enters a term; positions of another one mean nothing any more."""
        if term != self.term:
            self.position, self.term = _NOTHING_KNOWN, term

    def note_position(self, log: LogPosition, term: int) -> None:
        """Takes a position that the member reported under `term`."""
        if term != self.term:
            return
        self.position = log
        waiting, self._waiting = self._waiting, []
        for position, risen in waiting:
            if risen.done():
                continue
            if log >= position:
                risen.set_result(log)
            else:
                self._waiting.append((position, risen))

    def wait_until_reached(self, position: LogPosition) -> asyncio.Future[LogPosition]:
        """A future that is done once another statement shows that the log holds `position`.

        Nothing is asked for it.
        """
        risen: asyncio.Future[LogPosition] = asyncio.get_running_loop().create_future()
        if self.position >= position:
            risen.set_result(self.position)
        else:
            self._forget_done()
            self._waiting.append((position, risen))
        return risen

    def poll_until_reached(self, position: LogPosition) -> asyncio.Future[LogPosition]:
        """A future that is done once the member's log holds `position`."""
        risen: asyncio.Future[LogPosition] = asyncio.get_running_loop().create_future()
        if self.position >= position:
            risen.set_result(self.position)
            return risen
        self._waiting.append((position, risen))
        if not self._polling and self._ask is not None:
            self._polling = True
            self.tasks.spawn(self._poll(self._ask))
        return risen

    def _forget_done(self) -> None:
        self._waiting = [(position, risen) for position, risen in self._waiting if not risen.done()]

    async def _poll(self, ask: PositionRequest) -> None:
        """Asks until no read waits, at a pause that doubles while the member does not answer."""
        doublings = 0
        try:
            while True:
                self._forget_done()
                if not self._waiting:
                    return
                try:
                    self.status_requests += 1
                    self.note_position(*await ask())
                    doublings = 0
                except Fault:
                    doublings = min(doublings + 1, _DOUBLINGS_MOST)
                await self.clock.sleep(self.poll_interval_us << doublings)
        finally:
            self._polling = False

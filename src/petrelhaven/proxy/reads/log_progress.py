"""Tracks the log position that a member last reported, and the reads that wait for a later one."""

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
"""Requests (position, term) from a member."""

_POLL_INTERVAL_US = 8_000
_MAX_PAUSE_DOUBLINGS = 5
_NO_POSITION = -1


class LogProgress:
    """The reported log position of one member.

    STATUS is requested only while a read waits, and with one request at a time.

    Attributes:
        position: The newest reported position.
        term: The term under which `position` was reported.
        status_requests: How many STATUS requests were sent.
        poll_interval_us: The pause between two requests, in microseconds.
    """

    def __init__(
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        request_position: PositionRequest | None,
        poll_interval_us: int = _POLL_INTERVAL_US,
    ) -> None:
        """Starts without a reported position.

        Args:
            clock: Monotonic time.
            tasks: Runs the requests.
            request_position: Requests (position, term) from the member; None if it is never polled.
            poll_interval_us: The pause between two requests, in microseconds.
        """
        self.clock, self.tasks, self._request_position, self.poll_interval_us = (
            clock,
            tasks,
            request_position,
            poll_interval_us,
        )
        self.position: LogPosition = _NO_POSITION
        self.term = 0
        self.status_requests = 0
        self._waiting_reads: list[tuple[LogPosition, asyncio.Future[LogPosition]]] = []
        self._polling = False

    @property
    def is_polling(self) -> bool:
        """Whether the member is being polled, so that a newer position will arrive soon."""
        return self._polling

    def set_term(self, term: int) -> None:
        """Sets the current term and discards a position that was reported in another term."""
        if term != self.term:
            self.position, self.term = _NO_POSITION, term

    def note_position(self, reported: LogPosition, term: int) -> None:
        """Records a position that the member reported in `term`; completes the reads it serves.

        A position of another term is ignored.
        """
        if term != self.term:
            return
        self.position = reported
        waiting, self._waiting_reads = self._waiting_reads, []
        for position, reached in waiting:
            if reached.done():
                continue
            if reported >= position:
                reached.set_result(reported)
            else:
                self._waiting_reads.append((position, reached))

    def wait_until_reached(self, position: LogPosition) -> asyncio.Future[LogPosition]:
        """Returns a future that completes when the reported log reaches `position`.

        It sends no request: positions arrive with the replies to other statements.
        """
        reached: asyncio.Future[LogPosition] = asyncio.get_running_loop().create_future()
        if self.position >= position:
            reached.set_result(self.position)
        else:
            self._remove_done_reads()
            self._waiting_reads.append((position, reached))
        return reached

    def poll_until_reached(self, position: LogPosition) -> asyncio.Future[LogPosition]:
        """Polls the member until its log reaches `position`; returns a future of that."""
        reached: asyncio.Future[LogPosition] = asyncio.get_running_loop().create_future()
        if self.position >= position:
            reached.set_result(self.position)
            return reached
        self._waiting_reads.append((position, reached))
        if not self._polling and self._request_position is not None:
            self._polling = True
            self.tasks.spawn(self._poll(self._request_position))
        return reached

    def _remove_done_reads(self) -> None:
        self._waiting_reads = [
            (position, reached) for position, reached in self._waiting_reads if not reached.done()
        ]

    async def _poll(self, request_position: PositionRequest) -> None:
        """Polls until no read waits; the pause doubles each time the member does not answer."""
        doublings = 0
        try:
            while True:
                self._remove_done_reads()
                if not self._waiting_reads:
                    return
                try:
                    self.status_requests += 1
                    self.note_position(*await request_position())
                    doublings = 0
                except Fault:
                    doublings = min(doublings + 1, _MAX_PAUSE_DOUBLINGS)
                await self.clock.sleep(self.poll_interval_us << doublings)
        finally:
            self._polling = False

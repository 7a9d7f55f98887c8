"""A monotonic clock in integer microseconds, with timers and timeouts."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from petrelhaven.runtime.errors import DeadlineExceeded

__all__ = ["Clock"]

_Result = TypeVar("_Result")


def _resolve(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


class Clock:
    """The monotonic clock of this process.

    The simulator replaces it with a clock of each node's own.
    """

    __slots__ = ()

    def now(self) -> int:
        """Returns the monotonic time in microseconds."""
        return time.monotonic_ns() // 1000

    def call_later(self, us: int, callback: Callable[[], object]) -> asyncio.TimerHandle:
        """Schedules `callback` to run after `us` microseconds; the returned handle cancels it."""
        return asyncio.get_running_loop().call_later(max(us, 0) / 1e6, callback)

    async def sleep(self, us: int) -> None:
        """Sleeps for `us` microseconds."""
        expired = asyncio.get_running_loop().create_future()
        timer = self.call_later(us, lambda: _resolve(expired))
        try:
            await expired
        finally:
            timer.cancel()

    async def wait_for(
        self, awaited: Awaitable[_Result], us: int, keep_running: bool = False
    ) -> _Result:
        """Waits at most `us` microseconds for `awaited` and returns its result.

        Args:
            awaited: The awaitable to run.
            us: The timeout in microseconds.
            keep_running: Whether `awaited` continues after the timeout; otherwise it is cancelled.

        Raises:
            DeadlineExceeded: `awaited` did not finish in time.
        """
        task = asyncio.ensure_future(awaited)
        expired = asyncio.get_running_loop().create_future()
        timer = self.call_later(us, lambda: _resolve(expired))
        try:
            await asyncio.wait([task, expired], return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            raise DeadlineExceeded("time limit exceeded")
        finally:
            timer.cancel()
            if task.done():
                task.cancelled() or task.exception()
            elif not keep_running:
                task.cancel()

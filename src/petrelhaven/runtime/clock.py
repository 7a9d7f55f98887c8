"""Monotonic time in whole microseconds: the present, timers, and limits on how long to wait."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from petrelhaven.runtime.errors import DeadlineExceeded

__all__ = ["Clock"]

_Result = TypeVar("_Result")


def _finish(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


class Clock:
    """Monotonic microseconds of this process. The simulator gives each node its own."""

    __slots__ = ()

    def now(self) -> int:
        """Monotonic microseconds."""
        return time.monotonic_ns() // 1000

    def call_later(self, us: int, call: Callable[[], object]) -> asyncio.TimerHandle:
        """Calls `call` after `us`; the handle returned can be cancelled."""
        return asyncio.get_running_loop().call_later(max(us, 0) / 1e6, call)

    async def sleep(self, us: int) -> None:
        """Waits for `us`."""
        over = asyncio.get_running_loop().create_future()
        timer = self.call_later(us, lambda: _finish(over))
        try:
            await over
        finally:
            timer.cancel()

    async def wait_for(
        self, awaited: Awaitable[_Result], us: int, keep_running: bool = False
    ) -> _Result:
        """Returns the outcome of `awaited`, which has `us` microseconds.

        Args:
            awaited: what to wait for.
            us: how long to wait, in microseconds.
            keep_running: whether `awaited` goes on after that; otherwise it is cancelled.

        Raises:
            DeadlineExceeded: the outcome was not there in time.
        """
        outcome = asyncio.ensure_future(awaited)
        over = asyncio.get_running_loop().create_future()
        timer = self.call_later(us, lambda: _finish(over))
        try:
            await asyncio.wait([outcome, over], return_when=asyncio.FIRST_COMPLETED)
            if outcome.done():
                return outcome.result()
            raise DeadlineExceeded("horizon passed")
        finally:
            timer.cancel()
            if outcome.done():
                outcome.cancelled() or outcome.exception()
            elif not keep_running:
                outcome.cancel()

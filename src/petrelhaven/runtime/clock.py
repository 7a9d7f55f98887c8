"""Time and tasks: whole microseconds of monotonic time, timers, limits, the tasks of a node."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import TYPE_CHECKING, Any, TypeVar

from petrelhaven.runtime.errors import DeadlineExceeded, Fault
from petrelhaven.runtime.events import emit

if TYPE_CHECKING:
    import logbook

__all__ = ["Clock", "BackgroundTasks"]

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

    def later(self, us: int, call: Callable[[], object]) -> asyncio.TimerHandle:
        """Calls `call` after `us`; the handle returned can be cancelled."""
        return asyncio.get_running_loop().call_later(max(us, 0) / 1e6, call)

    async def sleep(self, us: int) -> None:
        """Waits for `us`."""
        over = asyncio.get_running_loop().create_future()
        timer = self.later(us, lambda: _finish(over))
        try:
            await over
        finally:
            timer.cancel()

    async def limit(self, awaited: Awaitable[_Result], us: int, keep: bool = False) -> _Result:
        """The outcome of `awaited` within `us`; with `keep`, it goes on after that.

        Raises:
            Late: it was not there in time.
        """
        outcome = asyncio.ensure_future(awaited)
        over = asyncio.get_running_loop().create_future()
        timer = self.later(us, lambda: _finish(over))
        try:
            await asyncio.wait([outcome, over], return_when=asyncio.FIRST_COMPLETED)
            if outcome.done():
                return outcome.result()
            raise DeadlineExceeded("horizon passed")
        finally:
            timer.cancel()
            if outcome.done():
                outcome.cancelled() or outcome.exception()
            elif not keep:
                outcome.cancel()


class BackgroundTasks:
    """The tasks of one node; closing it ends them all."""

    __slots__ = ("_tasks", "_log", "shut")

    def __init__(self, log: logbook.Logger | None = None) -> None:
        """Has no tasks yet; faults of tasks that no other code expects go to `log`."""
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._log = log
        self.shut = False

    def spawn(self, work: Coroutine[Any, Any, _Result]) -> asyncio.Task[_Result] | None:
        """Runs `work` as a task of this node; None, and it is not run, once the node has ended."""
        if self.shut:
            work.close()
            return None
        task = asyncio.ensure_future(work)
        self._tasks[task] = None
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if task.cancelled():
            return
        fault = task.exception()
        if fault is None or isinstance(fault, Fault):
            return
        frame = fault.__traceback__
        while frame is not None and frame.tb_next is not None:
            frame = frame.tb_next
        where = "?"
        if frame is not None:
            file = os.path.basename(frame.tb_frame.f_code.co_filename)
            where = f"{file}:{frame.tb_lineno}"
        emit(self._log, 903, what=repr(fault), at=where)

    async def close(self) -> None:
        """Cancels every task and waits for their end."""
        self.kill()
        this = asyncio.current_task()
        others = [task for task in self._tasks if task is not this]
        if others:
            await asyncio.gather(*others, return_exceptions=True)

    def kill(self) -> None:
        """Cancels every task without waiting."""
        self.shut = True
        this = asyncio.current_task() if asyncio.get_event_loop().is_running() else None
        for task in list(self._tasks):
            if task is not this:
                task.cancel()

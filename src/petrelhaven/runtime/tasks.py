"""The background tasks of a node, which are cancelled when the node stops."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, TypeVar

from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    import logbook

__all__ = ["BackgroundTasks"]

_Result = TypeVar("_Result")

_RESTART_DELAY_S = 0.25


def _origin(error: BaseException) -> str:
    """Returns the file name and line number that raised `error`."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    if traceback is None:
        return "?"
    file = os.path.basename(traceback.tb_frame.f_code.co_filename)
    return f"{file}:{traceback.tb_lineno}"


class BackgroundTasks:
    """The background tasks of one node; closing the group cancels them all.

    This is not `asyncio.TaskGroup`, for three reasons. An error in one task must not cancel the
    others, since the node continues to serve. The tasks outlive the block that starts them: they
    run until the node stops. A typed `Fault` is an expected end of a task and isn't logged, while
    any other exception is logged with the line that raised it.

    Attributes:
        closed: Whether the group was closed and accepts no more tasks.
    """

    __slots__ = ("_tasks", "_log", "closed")

    def __init__(self, log: logbook.Logger | None = None) -> None:
        """Creates an empty group; unexpected exceptions of tasks are written to `log`."""
        # A dictionary instead of a set, so that tasks are cancelled in the order they were started.
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._log = log
        self.closed = False

    def spawn(self, work: Coroutine[Any, Any, _Result]) -> asyncio.Task[_Result] | None:
        """Starts `work` as a task; once the group is closed, returns None and doesn't run it."""
        if self.closed:
            work.close()
            return None
        task = asyncio.ensure_future(work)
        self._tasks[task] = None
        task.add_done_callback(self._on_task_done)
        return task

    def spawn_service(
        self, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> asyncio.Task[None] | None:
        """Starts a task that the node can't work without, and runs it again if it fails.

        Args:
            run: Returns the coroutine to run; called again after each failure. A coroutine that
                returns has done its work.

        Returns:
            The task, which cancelling ends for good; None once the group is closed.
        """
        return self.spawn(self._run_service(run))

    async def _run_service(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while True:
            try:
                await run()
            except Exception as error:
                self._log_failure(error)
            else:
                return
            await asyncio.sleep(_RESTART_DELAY_S)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log_failure(error)

    def _log_failure(self, error: BaseException) -> None:
        if isinstance(error, Fault):
            return
        emit(self._log, Events.TASK_FAILED, what=repr(error), at=_origin(error))

    async def close(self) -> None:
        """Cancels every task except the calling one and waits until they have finished."""
        self.kill()
        current = asyncio.current_task()
        others = [task for task in self._tasks if task is not current]
        if others:
            await asyncio.gather(*others, return_exceptions=True)

    def kill(self) -> None:
        """Cancels every task except the calling one, without waiting for them."""
        self.closed = True
        current = asyncio.current_task() if asyncio.get_event_loop().is_running() else None
        for task in list(self._tasks):
            if task is not current:
                task.cancel()

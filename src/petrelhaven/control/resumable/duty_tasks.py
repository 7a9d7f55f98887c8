"""The tasks of the planning duty: at most one at a time for each group or proxy."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Hashable
from typing import TYPE_CHECKING, Any

from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.failover.interfaces import Tasks
    from petrelhaven.runtime.clock import Clock

__all__ = ["DutyTasks"]

_PAUSE_AFTER_FAULT_US = 100_000


class DutyTasks:
    """Runs at most one task for each subject, which is a group or a proxy; logs faults."""

    def __init__(self, clock: Clock, tasks: Tasks, log: Any) -> None:  # noqa: ANN401 (a logger)
        """Starts without tasks."""
        self._clock, self._tasks, self._log = clock, tasks, log
        self._running: dict[Hashable, asyncio.Task[None]] = {}

    def is_busy(self, subject: Hashable) -> bool:
        """Returns whether a task for the subject is running."""
        return subject in self._running

    def start(
        self, subject: Hashable, work: Callable[..., Awaitable[object]], *arguments: object
    ) -> None:
        """Starts the task for the subject, which must not be busy."""

        async def run() -> None:
            try:
                await work(*arguments)
            except Fault as fault:
                what = str(subject)
                emit(
                    self._log, Events.RECORD_DECLINED, what=what, fault=fault.code, note=fault.note
                )
                await self._clock.sleep(_PAUSE_AFTER_FAULT_US)
            finally:
                self._running.pop(subject, None)

        self._running[subject] = self._tasks.spawn(run())

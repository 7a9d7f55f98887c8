"""The tasks of the planning duty: at most one for each subject."""

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

_FAULT_PAUSE_US = 100_000


class DutyTasks:
    """Runs work on groups and proxies; a fault is logged, and the subject is free again."""

    def __init__(self, clock: Clock, tasks: Tasks, log: Any) -> None:  # noqa: ANN401 (a logger)
        """Has no tasks yet."""
        self._clock, self._tasks, self._log = clock, tasks, log
        self._running: dict[Hashable, asyncio.Task[None]] = {}

    def is_busy(self, subject: Hashable) -> bool:
        """Whether a task works on the subject."""
        return subject in self._running

    def start(
        self, subject: Hashable, work: Callable[..., Awaitable[object]], *arguments: object
    ) -> None:
        """Starts the one task that works on the subject."""

        async def run() -> None:
            try:
                await work(*arguments)
            except Fault as fault:
                what = str(subject)
                emit(
                    self._log, Events.RECORD_DECLINED, what=what, fault=fault.code, note=fault.note
                )
                await self._clock.sleep(_FAULT_PAUSE_US)
            finally:
                self._running.pop(subject, None)

        self._running[subject] = self._tasks.spawn(run())

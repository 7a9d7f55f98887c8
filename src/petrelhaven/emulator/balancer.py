"""A stand-in load balancer: routes new connections by readiness and stops machines with notice."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import TYPE_CHECKING, Any

from petrelhaven.runtime.errors import Fault, NotReady

if TYPE_CHECKING:
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks

__all__ = ["LoadBalancer"]

_INTERVAL_US = 200_000


class LoadBalancer:
    """Routes by readiness; warns a node, then kills it at its deadline.

    Attributes:
        open: the nodes that were ready when they were last asked.
        stopped: for each stopped node its name, its notice in microseconds, and whether it had
            left by then.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (what the platform does to a node is given)
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        names: Callable[[], Iterable[str]],
        ready: Callable[[str], Awaitable[bool]],
        warn: Callable[[str], Coroutine[Any, Any, object]] | None,
        kill: Callable[[str], Awaitable[object]] | None,
        interval_us: int = _INTERVAL_US,
    ) -> None:
        """Balances among the nodes that `names` gives.

        Args:
            clock: times the questions.
            tasks: runs the warnings.
            names: the nodes there are.
            ready: asks a node whether it is ready.
            warn: tells a node to leave and returns once it has; None if none is ever stopped.
            kill: takes a node's machine; None like `warn`.
            interval_us: between two questions for readiness.
        """
        self.clock, self.tasks, self.names = clock, tasks, names
        self.interval_us = interval_us
        self._ready, self._warn, self._kill = ready, warn, kill
        self.open: list[str] = []
        self.stopped: list[tuple[str, int, bool]] = []
        self._picks = 0

    async def run(self) -> None:
        """Asks every node for its readiness, again and again."""
        while True:
            names = list(self.names())
            answers = await asyncio.gather(*[self._is_ready(name) for name in names])
            self.open = [name for name, ready in zip(names, answers, strict=True) if ready]
            await self.clock.sleep(self.interval_us)

    async def _is_ready(self, name: str) -> bool:
        try:
            return await self._ready(name)
        except Fault:
            return False

    def pick(self) -> str:
        """The node that gets the next new connection.

        Raises:
            NotReady: no node is ready.
        """
        if not self.open:
            raise NotReady("no node is ready")
        self._picks += 1
        return self.open[self._picks % len(self.open)]

    async def stop(self, name: str, notice_us: int) -> bool:
        """Warns `name` and kills it after `notice_us`; answers whether it had left by then."""
        assert self._warn is not None and self._kill is not None
        self.open = [other for other in self.open if other != name]
        warning = self.tasks.spawn(self._warn(name))
        assert warning is not None
        try:
            await self.clock.wait_for(warning, notice_us, keep_running=True)
            left = True
        except Fault:
            left = False
        await self._kill(name)
        self.stopped.append((name, notice_us, left))
        return left

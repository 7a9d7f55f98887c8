"""The platform's other half: sends new connections to ready nodes, and stops machines after a warning."""

import asyncio

from petrelhaven.runtime.errors import Fault, NotReady

__all__ = ["LoadBalancer"]


class LoadBalancer:
    """Routes by readiness; warns a node, then kills it at its deadline whether or not it has finished.

    `ready(name)` asks a node, `warn(name)` tells it to leave and returns once it has, `kill(name)` takes its machine.
    """

    def __init__(self, clock, tasks, names, ready, warn, kill, gap_us=200_000):
        self.clock, self.tasks, self.names, self.gap_us = clock, tasks, names, gap_us
        self._ready, self._warn, self._kill = ready, warn, kill
        self.open = []
        self._turn = 0
        self.stopped = []

    async def run(self):
        """Asks every node for its readiness, again and again."""
        while True:
            ns = list(self.names())
            got = await asyncio.gather(*[self._look(n) for n in ns])
            self.open = [n for n, ok in zip(ns, got) if ok]
            await self.clock.sleep(self.gap_us)

    async def _look(self, n):
        try:
            return await self._ready(n)
        except Fault:
            return False

    def pick(self):
        """The node that gets the next new connection."""
        if not self.open:
            raise NotReady("no node is ready")
        self._turn += 1
        return self.open[self._turn % len(self.open)]

    async def stop(self, name, us):
        """Warns `name` and kills it after `us`; answers whether it had left by then."""
        self.open = [n for n in self.open if n != name]
        t = self.tasks.spawn(self._warn(name))
        try:
            await self.clock.limit(t, us, keep=True)
            left = True
        except Fault:
            left = False
        await self._kill(name)
        self.stopped.append((name, us, left))
        return left

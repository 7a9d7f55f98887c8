"""A stand-in platform: failover calls from one node at a time, fenced by epoch."""

import asyncio

from petrelhaven.runtime.errors import Fault, Fenced, NotReady

__all__ = ["PlatformLogic"]


class PlatformLogic:
    """Promotes one member and lets the others follow it."""

    def __init__(self, clock, tell, members, took_us=300_000):
        self.clock, self._tell, self.members, self.took_us = clock, tell, members, took_us
        self.last = {}
        self.primary = {}
        self._by = {}
        self.calls = []
        self.decline = False
        self.slow_us = 0
        self.unanswered = 0

    async def promote(self, group, member, epoch, by):
        """Makes `member` the primary of `group`; with `unanswered`, it takes effect and nobody is told."""
        r = await self._promote(group, member, epoch, by)
        if self.unanswered:
            self.unanswered -= 1
            await self.clock.sleep(3_600_000_000)
        return r

    async def _promote(self, group, member, epoch, by):
        if self.decline:
            raise NotReady("the platform declines for now")
        if self.slow_us:
            await self.clock.sleep(self.slow_us)
        n, m = self.last.get(group, (0, None))
        if epoch < n or epoch == n and m != member:
            raise Fenced(f"epoch {n} was promoted already, {m}")
        if self._by.get(group):
            raise NotReady(f"a call from {self._by[group]} is being served")
        self._by[group] = by
        try:
            self.calls.append((group, member, epoch, by))
            self.last[group] = (epoch, member)
            await self.clock.sleep(self.took_us)
            await self._tell(member, "promote", {"epoch": epoch})
            self.primary[group] = (member, epoch)
            await asyncio.wait(
                [
                    asyncio.ensure_future(self._follow(n, member, epoch))
                    for n in self.members(group)
                    if n != member
                ],
                timeout=0.1,
            )
            return {"primary": member, "epoch": epoch}
        finally:
            self._by.pop(group, None)

    async def _follow(self, member, source, epoch):
        try:
            await self._tell(member, "follow", {"source": source, "epoch": epoch})
        except Fault:
            pass

    async def tend(self):
        """Keeps telling members that came back whom to follow."""
        while True:
            await self.clock.sleep(300_000)
            for g, (p, n) in list(self.primary.items()):
                for m in self.members(g):
                    if m != p:
                        await self._follow(m, p, n)

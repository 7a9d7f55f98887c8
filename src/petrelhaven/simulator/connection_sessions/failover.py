"""The simulated platform's failover call, fenced, slow or down at will, its answers lost at will."""

from petrelhaven.runtime.errors import Fenced, Unreachable

__all__ = ["FailoverService"]


class FailoverService:
    """Some hundred ms after the call the named member leads, if it still runs."""

    def __init__(self, machine, groups, took_us=300_000):
        self.machine, self.groups, self.took_us = machine, groups, took_us
        self.slow_us, self.unanswered, self.down = 0, 0, False
        self.calls = 0
        self.on_call = []
        self._fences = {}

    async def promote(self, group, member, fence, holder):
        """One call, as it arrives."""
        self.calls += 1
        if self.slow_us:
            await self.machine.clock.sleep(self.slow_us)
        if self.down:
            raise Unreachable("down")
        if fence < self._fences.get(group, 0):
            raise Fenced("a higher fence was seen")
        self._fences[group] = fence
        g = self.groups[group]
        m = g.find(member)
        if m is None or not m.running:
            raise Fenced("not running")
        for f in self.on_call:
            f(m)
        if g.leader is not m:
            self.machine.clock.call_later(self.took_us, lambda: g.lead(m))
        if self.unanswered > 0:
            self.unanswered -= 1
            await self.machine.clock.sleep(3_600_000_000)
        return {}

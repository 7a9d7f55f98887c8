"""A simulated member's beats to the cores."""

from petrelhaven.runtime.errors import Fault, Late, Unsent

__all__ = ["Beats"]


class Beats:
    """Tells one core after the other until one acknowledges; a change of role or state is told at once."""

    def __init__(self, net, member, cores, beat_us):
        self.net, self.member, self.cores, self.beat_us = net, member, cores, beat_us
        self.acknowledged = set()
        self._at = next((i for i, c in enumerate(cores) if c.hall == member.box.hall), 0)

    async def run(self):
        """Beats for as long as the machine runs."""
        m, clock = self.member, self.member.box.clock
        while True:
            m.beat_now.clear()
            if not m.dark:
                await self._say()
            try:
                await clock.limit(m.beat_now.wait(), self.beat_us)
            except Late:
                pass

    async def _say(self):
        m = self.member
        m.count += 1
        d = {
            "member": m.name,
            "group": m.group.name,
            "hall": m.box.hall,
            "addr": f"sim:{m.box.name}",
            "role": m.role,
            "state": m.state,
            "slots": m.slots,
            "count": m.count,
        }
        if await self.tell(lambda n: n.announce(d)):
            self.acknowledged.add(d["state"])

    async def tell(self, fn):
        """Has one core do `fn`; whether one acknowledged it."""
        for i in range(len(self.cores)):
            c = self.cores[(self._at + i) % len(self.cores)]

            async def there(c=c):
                if c.node is None:
                    raise Unsent(c.name)
                return await fn(c.node)

            try:
                await self.net.trip(self.member.box, c, there, 1_000_000, fresh=True)
            except Fault:
                continue
            if not self.member.dark:
                self._at = (self._at + i) % len(self.cores)
                return True
        return False

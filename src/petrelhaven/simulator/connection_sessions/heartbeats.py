"""A simulated member's beats to the cores."""

from petrelhaven.runtime.errors import DeadlineExceeded, Fault, NotSent

__all__ = ["Heartbeats"]


class Heartbeats:
    """Tells one core after the other until one acknowledges; a change of role or state is told at once."""

    def __init__(self, net, member, cores, heartbeat_us):
        self.net, self.member, self.cores, self.heartbeat_us = net, member, cores, heartbeat_us
        self.acknowledged = set()
        self.signed_off = False
        self._at = next((i for i, c in enumerate(cores) if c.zone == member.machine.zone), 0)

    async def run(self):
        """Beats for as long as the machine runs."""
        m, clock = self.member, self.member.machine.clock
        while True:
            m.heartbeat_now.clear()
            if not m.unresponsive and not self.signed_off:
                await self._announce()
            try:
                await clock.wait_for(m.heartbeat_now.wait(), self.heartbeat_us)
            except DeadlineExceeded:
                pass

    async def _announce(self):
        m = self.member
        m.count += 1
        d = {
            "member": m.name,
            "group": m.group.name,
            "hall": m.machine.zone,
            "addr": f"sim:{m.machine.name}",
            "role": m.role,
            "state": m.state,
            "slots": m.slots,
            "count": m.count,
        }
        if await self.call_any(lambda n: n.announce(d)):
            self.acknowledged.add(d["state"])

    async def call_any(self, fn):
        """Has one core do `fn`; whether one acknowledged it."""
        for i in range(len(self.cores)):
            c = self.cores[(self._at + i) % len(self.cores)]

            async def there(c=c):
                if c.node is None:
                    raise NotSent(c.name)
                return await fn(c.node)

            try:
                await self.net.trip(self.member.machine, c, there, 1_000_000, fresh=True)
            except Fault:
                continue
            if not self.member.unresponsive:
                self._at = (self._at + i) % len(self.cores)
                return True
        return False

"""The wire to simulated members."""

from petrelhaven.runtime.errors import Busy, Gone, Late, Unreached, Unsent
from petrelhaven.simulator.connection_sessions.member_connection import SimulatedStrand

__all__ = ["SimulatedWire"]


class SimulatedWire:
    """Opens connections from one machine to members."""

    def __init__(self, net, box):
        self.net, self.box, self.clock = net, box, box.clock

    async def open(self, addr, group, member, us):
        """A connection to `member`.

        Unsent (`mute` if nothing came back), Gone if another answers there, Busy if it is full.
        """
        to = self.net.boxes[addr.split(":")[1]]
        end = self.clock.now() + us
        for a, b in ((self.box, to), (to, self.box)):
            await self.clock.sleep(int(self.net.delay(a, b) * 1e6))
            if (
                self.net.is_cut(a.name, b.name)
                or to.name in self.net.silent
                or to.node is not None
                and to.node.dark
            ):
                await self.clock.sleep(max(1000, end - self.clock.now()))
                raise Unsent("mute")
            if to.node is None:
                raise Unsent("refused")
        c = SimulatedStrand(self.net, self.box, to)
        try:
            r = await self.clock.limit(c.connect(group, member), max(1000, end - self.clock.now()))
        except Late:
            c.close()
            raise Unsent("mute") from None
        except Unreached:
            raise Busy("reset") from None
        if r.ok:
            return c
        c.close()
        if r.code == "misdirected":
            raise Gone(r.text)
        raise Busy(r.code)

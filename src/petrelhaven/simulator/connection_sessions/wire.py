"""The wire to simulated members."""

from petrelhaven.runtime.errors import Busy, DeadlineExceeded, MemberReplaced, NotSent, Unreachable
from petrelhaven.simulator.connection_sessions.member_connection import SimulatedMemberConnection

__all__ = ["SimulatedWire"]


class SimulatedWire:
    """Opens connections from one machine to members."""

    def __init__(self, net, machine):
        self.net, self.machine, self.clock = net, machine, machine.clock

    async def open(self, addr, group, member, us, tenant=""):
        """A connection to `member`.

        Unsent (`mute` if nothing came back), Gone if another answers there, Busy if it is full.
        """
        to = self.net.machines[addr.split(":")[1]]
        end = self.clock.now() + us
        for a, b in ((self.machine, to), (to, self.machine)):
            await self.clock.sleep(int(self.net.delay(a, b) * 1e6))
            if (
                self.net.is_cut(a.name, b.name)
                or to.name in self.net.silent
                or to.node is not None
                and to.node.unresponsive
            ):
                await self.clock.sleep(max(1000, end - self.clock.now()))
                raise NotSent("mute")
            if to.node is None:
                raise NotSent("refused")
        c = SimulatedMemberConnection(self.net, self.machine, to)
        try:
            r = await self.clock.wait_for(
                c.connect(group, member, tenant), max(1000, end - self.clock.now())
            )
        except DeadlineExceeded:
            c.close()
            raise NotSent("mute") from None
        except Unreachable:
            raise Busy("reset") from None
        if r.ok:
            return c
        c.close()
        if r.code == "misdirected":
            raise MemberReplaced(r.text)
        raise Busy(r.code)

"""A node's end of a simulated connection to a member."""

import asyncio
import collections

from petrelhaven.proxy.pool.member_connection import MemberConnection
from petrelhaven.runtime.errors import Busy, MemberDeclined, Unreachable
from petrelhaven.simulator.connection_sessions.line import Line
from petrelhaven.simulator.connection_sessions.order import Order

__all__ = ["SimulatedMemberConnection"]


class SimulatedMemberConnection(MemberConnection):
    """Speaks the members' statements over a simulated line; replies come in the order asked."""

    def __init__(self, net, node, member):
        super().__init__()
        self._wait = collections.deque()
        self._line = Line(net, node, member, self)

    def _order(self, order, kind):
        f = asyncio.get_running_loop().create_future()
        if self.lost:
            f.set_exception(Unreachable("connection lost"))
            return f
        self._wait.append((f, kind))
        self._line.push(order)
        return f

    @property
    def pending_replies(self):
        """How many statements still wait for their reply."""
        return len(self._wait)

    def connect(self, group, member, tenant=""):
        """Introduces this connection, which is for statements of `tenant`."""
        return self._order(Order("-", "connect", (group, member, tenant)), "connect")

    def send_statement(self, a, after=None, alias=None):
        """A future of the Reply to a client's statement."""
        args, text = ((), a.text) if alias is None else ((alias,), a.data)
        return self._order(Order(a.number, a.verb, args, text, after), "ask")

    def send_session_statement(self, verb, args=(), num="-"):
        """A future of the Reply to a statement said again under its client's number, or of the system's own."""
        return self._order(Order(num, verb, args), "plain")

    def send_command(self, verb, *args):
        """A future of the status row that a statement of the system's own brings."""
        return self._order(Order("-", verb, args), "row")

    def hear(self, r):
        """A reply arrived."""
        if self.lost:
            return
        if not self._wait:
            return self.close()
        f, kind = self._wait.popleft()
        if not f.done():
            if kind != "row":
                f.set_result(r)
            elif not r.ok:
                f.set_exception(Busy("busy") if r.code == "busy" else MemberDeclined(r.code))
            else:
                f.set_result(r.rows[0])
        if kind == "connect" and not r.ok:
            self.close()

    def close(self):
        """Closes the connection; whatever waits on it fails."""
        if self.lost:
            return
        self.lost = True
        self._line.hang_up()
        w, self._wait = self._wait, collections.deque()
        for f, _ in w:
            if not f.done():
                f.set_exception(Unreachable("connection lost"))
                f.exception()
        if self.on_lost is not None:
            self.on_lost(self)

"""A simulated connection between a node and a member: one pipe each way, in order, held while the way is cut."""

from petrelhaven.simulator.net import _Pipe

__all__ = ["Line"]

_DROPPED_AFTER_S = 3.0
_SILENT_S = 20


class Line:
    """Carries orders there and replies back."""

    def __init__(self, net, node, member, member_connection):
        self.net, self.node, self.member, self.member_connection = (
            net,
            node,
            member,
            member_connection,
        )
        self._there, self._back = _Pipe(net, node, member), _Pipe(net, member, node)
        self._life = member.life
        self.connection = member.node.accept(self)
        self._key = next(net.num)
        node.pipes[self._key] = member.pipes[self._key] = self

    @property
    def is_cut(self):
        """Whether either way is cut now."""
        a, b = self.node.name, self.member.name
        return self.net.is_cut(a, b) or self.net.is_cut(b, a)

    def push(self, order):
        """Sends an order."""
        order.sent, order.node = self.net.loop.time(), self.node.name
        self._there.send(lambda: self.connection.take(order))

    def reply(self, r):
        """Sends a reply."""
        self._back.send(lambda: self.member_connection.hear(r))

    def reset(self):
        """The member ends the connection."""
        self._forget()
        self._back.send(self.member_connection.close)

    def hang_up(self):
        """The node ends the connection; a member that does not hear it drops it by itself."""
        if self._forget():
            self._there.send(lambda: self.connection.take(None))
            self._drop_soon()

    def _drop_soon(self):
        self.net.loop.call_later(
            _DROPPED_AFTER_S, lambda: self.member.do(self._life, self.connection.end)
        )

    def _forget(self):
        self.member.pipes.pop(self._key, None)
        return self.node.pipes.pop(self._key, None) is not None

    def cut(self, silent):
        """One of the machines is gone."""
        self._forget()
        if self.node.up:
            if silent:
                self.net.loop.call_later(_SILENT_S, self.member_connection.close)
            else:
                self._back.send(self.member_connection.close)
        else:
            if not silent:
                self._there.send(lambda: self.connection.take(None))
            self._drop_soon()

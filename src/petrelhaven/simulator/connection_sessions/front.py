"""A client's simulated connection to an edge, and the edge's end of it."""

import asyncio
import collections

from petrelhaven.proxy.session.statement import Reply
from petrelhaven.runtime.errors import Busy, Denied, Fault, NoRoute, NotSent, Unreachable
from petrelhaven.simulator.net import _Pipe

__all__ = ["Front"]


class Front:
    """Statements are served one after the other, like those of a real connection."""

    def __init__(self, net, client, edge):
        self.net, self.client, self.edge, self.proxy = net, client, edge, edge.node
        self._there, self._back = _Pipe(net, client, edge), _Pipe(net, edge, client)
        self.lost = False
        self._wait = collections.deque()
        self._session, self._gone, self._on = None, False, False
        self._asked = collections.deque()
        self._key = next(net.num)
        client.pipes[self._key] = edge.pipes[self._key] = self

    @classmethod
    async def open(cls, net, client, edge, host, us, key=""):
        """A session at `edge`; Unsent or Late otherwise."""
        if not edge.up or edge.node is None or net.is_cut(client.name, edge.name):
            raise NotSent(edge.name)
        c = cls(net, client, edge)
        try:
            r = await client.clock.wait_for(c.ask((host, key)), us)
        except Fault:
            c.close()
            raise
        if not r.ok:
            c.close()
            raise Denied(edge.name) if r.code == "denied" else NotSent(r.code)
        return c

    def ask(self, a):
        """A future of the Reply to a statement (or to a host's name and a key)."""
        f = asyncio.get_running_loop().create_future()
        if self.lost:
            f.set_exception(Unreachable("connection lost"))
            return f
        self._wait.append(f)
        self._there.send(lambda: self._take(a))
        return f

    def close(self):
        """The client leaves."""
        if not self.lost:
            self._lose()
            self._forget()
            self._there.send(lambda: self.edge.clock.call_later(0, self._end))

    def cut(self, silent):
        """One of the machines is gone."""
        self._forget()
        if not self.edge.up:
            if not silent:
                self._back.send(self._lose)
            else:
                self.net.loop.call_later(5, self._lose)

    def _forget(self):
        self.client.pipes.pop(self._key, None)
        self.edge.pipes.pop(self._key, None)

    def _lose(self):
        self.lost = True
        w, self._wait = self._wait, collections.deque()
        for f in w:
            if not f.done():
                f.set_exception(Unreachable("connection lost"))
                f.exception()

    def _end(self):
        self._gone = True
        if self._session is not None:
            self.proxy.close(self._session)

    def _take(self, a):
        if self._session is None:
            try:
                if not self.proxy.ready:
                    return self._reply(Reply(code="busy"))
                self._session = self.proxy.open(*a)
                return self._reply(Reply())
            except NoRoute:
                return self._reply(Reply(code="unknown"))
            except Denied:
                return self._reply(Reply(code="denied"))
            except Busy:
                return self._reply(Reply(code="busy"))
        self._asked.append(a)
        if not self._on:
            self._on = True
            self.edge.tasks.spawn(self._serve())

    def _reply(self, r):
        self._back.send(lambda: self._hear(r))

    def _hear(self, r):
        if not self.lost and self._wait:
            f = self._wait.popleft()
            f.done() or f.set_result(r)

    async def _serve(self):
        try:
            while self._asked:
                a = self._asked.popleft()
                if a.verb == "execute" and a.name in self._session.prepared:
                    a.prepared_text = self._session.prepared[a.name]
                    a.writes = a.prepared_text.startswith("put")
                r = await self.proxy.serve_statement(self._session, a)
                if self._gone:
                    return
                self._reply(r)
        finally:
            self._on = False

"""Modelled connections between nodes in virtual time, with delays, cuts and resets, for tests of calls."""

import asyncio
import collections

from virtual_io import LoopClock

from petrelhaven.runtime.errors import Fault, Malformed, NotSent
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all
from petrelhaven.transport.channel import Channel
from petrelhaven.transport.link import SharedConnections

WAY_S = 0.005  # one-way delay


class Node(SharedConnections):
    """A node that makes real calls over real channels, on modelled connections."""

    def __init__(self, net, name):
        super().__init__()
        self.net, self.name, self.addr = net, name, name
        self.clock, self.tasks, self.log = LoopClock(), BackgroundTasks(), None
        self.handlers, self.frozen = {}, []
        net.nodes[name] = self

    def on(self, kind, handler):
        self.handlers[kind] = handler

    async def open(self, address):
        await asyncio.sleep(WAY_S)
        if self.net.refuses(self.name, address):
            raise NotSent(address)
        return Connection(self.net, self, self.net.nodes[address]).ends[self.name]


class Way:
    """One direction of a connection; delivers messages in order and delays them while it is cut."""

    def __init__(self, connection, src, dst):
        self.connection, self.src, self.dst = connection, src, dst
        self.delayed = collections.deque()
        self.seen = []

    def send(self, raw):
        asyncio.get_running_loop().call_later(WAY_S, self._arrive, raw)

    def _arrive(self, raw):
        if self.delayed or self.connection.net.is_cut(self.src, self.dst):
            self.delayed.append(raw)
        else:
            self.bring(raw)

    def bring(self, raw):
        """Delivers one message to the other end; repeated calls deliver it again."""
        if raw is None:
            self.connection.ends[self.dst].handle_connection_loss()
        elif not self.connection.ends[self.dst].gone.done():
            self.seen.append(raw)
            try:
                self.connection.ends[self.dst].feed(raw)
            except Malformed:
                self.connection.net.closed.append(self.connection)
                self.connection.ends[self.dst].close()
            except Fault:
                pass

    def heal(self):
        while self.delayed:
            self.bring(self.delayed.popleft())


class Connection:
    """Both ends of one connection."""

    def __init__(self, net, a, b):
        self.net = net
        self.ways = {a.name: Way(self, a.name, b.name), b.name: Way(self, b.name, a.name)}
        self.ends = {
            n.name: Channel(
                n,
                self.ways[n.name].send,
                lambda n=n: self.ways[n.name].send(None),
                lambda n=n: self.reset(n.name),
            )
            for n in (a, b)
        }
        net.connections.append(self)

    def reset(self, name):
        """Resets the connection from one end; its delayed messages are lost."""
        self.ways[name].delayed.clear()
        self.ways[name].send(None)

    def break_off(self):
        """Breaks the connection: both ends are notified, and delayed messages are lost."""
        for name, way in self.ways.items():
            way.delayed.clear()
            self.ends[name].handle_connection_loss()


class Net:
    """The network: all nodes, connections and cuts."""

    def __init__(self):
        self.nodes, self.connections, self.cuts, self.closed = {}, [], set(), []
        self.refused_links = set()

    def is_cut(self, src, dst):
        return (src, dst) in self.cuts

    def refuses(self, src, dst):
        return (src, dst) in self.refused_links or self.is_cut(src, dst) or self.is_cut(dst, src)

    def cut(self, src, dst):
        self.cuts.add((src, dst))

    def heal(self, src, dst):
        self.cuts.discard((src, dst))
        for connection in self.connections:
            if src in connection.ways and connection.ways[src].dst == dst:
                connection.ways[src].heal()


def virtual(fn):
    """Runs `fn(net)` in virtual time and returns its result."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)

    async def go():
        return await fn(Net())

    try:
        return loop.run_until_complete(go())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)

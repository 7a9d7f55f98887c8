"""The simulated machines and what lies between them: delays, cuts, losses, freezes, torn disks."""

import asyncio
import collections
import errno
import itertools

from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import Fault, Malformed, NotSent, Unreachable
from petrelhaven.runtime.events import Events
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.link import Channel, Link, SharedConnections
from petrelhaven.transport.messages import DATAGRAM, pack

__all__ = ["SimulatedMachine", "Net", "SimDisk", "SimLink"]

_FINDINGS = tuple(f"E{event.number} " for event in (Events.TASK_FAILED, Events.HANDLER_FAILED))


class _Handle:
    __slots__ = ("h", "off")

    def __init__(self):
        self.h, self.off = None, False

    def cancel(self):
        """Forgets the tick."""
        self.off = True
        if self.h:
            self.h.cancel()


class SimClock(Clock):
    """A machine's own clock: it may run fast or slow, and stops with the machine."""

    __slots__ = ("machine", "rate", "base")

    def __init__(self, machine, rate, base):
        self.machine, self.rate, self.base = machine, rate, base

    def now(self):
        return self.base + int(self.machine.net.loop.time() * 1e6 * self.rate)

    def call_later(self, us, fn):
        k = _Handle()
        life = self.machine.life

        def fire():
            if k.off or self.machine.life != life or not self.machine.up:
                return
            if self.machine.frozen:
                self.machine.thaws.append(fire)
            else:
                fn()

        k.h = self.machine.net.loop.call_later(max(us, 0) / 1e6 / self.rate, fire)
        return k


class SimLog:
    """Keeps events; a task or a handler that fails in any node is a finding of the run."""

    def __init__(self, net, name):
        self._net, self._name = net, name

    def log(self, level, text):
        """Keeps one event."""
        self._net.log.append((round(self._net.loop.time(), 4), self._name, text))
        if text.startswith(_FINDINGS):
            self._net.findings.append((round(self._net.loop.time(), 4), "code", self._name, text))


class SimDisk:
    """A disk that survives its machine; it can tear the next write, refuse writes, stand still, rot, or be lost."""

    def __init__(self, machine):
        self._machine = machine
        self.files = {}
        self.tear = False
        self.full = False
        self.slow_us = 0
        self.synced = 0

    def read(self, name):
        """All bytes of `name`."""
        return bytes(self.files.get(name, b""))

    def write(self, name, off, data):
        """Writes and syncs; or refuses after a part of it, or tears and takes the machine down.

        A slow or stalled disk holds up the whole machine, as a process that waits for its disk does.
        """
        if self.slow_us:
            self._machine.stall(self.slow_us)
        f = self.files.setdefault(name, bytearray())
        if len(f) < off + len(data):
            f.extend(bytes(off + len(data) - len(f)))
        if self.full:
            cut = self._machine.net.rng.randrange(0, len(data))
            f[off : off + cut] = data[:cut]
            raise OSError(errno.ENOSPC, "no space left on the simulated disk")
        self.synced += 1
        if self.tear and len(data) < 60_000:
            self.tear = False
            cut = self._machine.net.rng.randrange(0, len(data))
            f[off : off + cut] = data[:cut]
            self._machine.kill()
            raise asyncio.CancelledError
        f[off : off + len(data)] = data

    def remove(self, name):
        """Removes a file."""
        self.files.pop(name, None)

    def lose(self):
        """Another, empty disk."""
        self.files = {}


class SimulatedMachine:
    """One machine."""

    def __init__(self, net, name, zone, rate=1.0):
        self.net, self.name, self.zone = net, name, zone
        self.up, self.frozen, self.life = False, False, 0
        self.stalled = False
        self.thaws = []
        self.clock = SimClock(self, rate, net.rng.randrange(1, 1 << 40))
        self.disk = SimDisk(self)
        self.tasks = None
        self.link = None
        self.node = None
        self.log = SimLog(net, name)
        self.pipes = {}
        net.machines[name] = self

    def boot(self):
        """Power on with nothing but the disk."""
        self.up, self.frozen, self.thaws = True, False, []
        self.stalled = False
        self.life += 1
        self.tasks = BackgroundTasks(self.log)
        self.link = SimLink(self)
        return self

    def kill(self, silent=False):
        """Power off. Unless `silent`, peers see their connections close."""
        if not self.up:
            return
        self.up = False
        self.life += 1
        self.thaws = []
        self.tasks.kill()
        for p in list(self.pipes.values()):
            p.cut(silent)
        self.pipes = {}
        self.node = None
        for f in self.net.on_kill:
            f(self, silent)

    def freeze(self, us):
        """Stops everything on the machine for a while."""
        if not self.up or self.frozen:
            return
        self.frozen = True
        life = self.life
        self.net.loop.call_later(us / 1e6, lambda: self._thaw(life))

    def stall(self, us):
        """Stops the machine while its process waits for the disk; what it says next goes out afterwards."""
        if self.up and not self.frozen:
            self.stalled = True
            self.freeze(us)

    def _thaw(self, life):
        if self.life == life and self.up:
            self.frozen = self.stalled = False
            fs, self.thaws = self.thaws, []
            for f in fs:
                f()

    def do(self, life, fn):
        """Runs `fn` on this machine, now or when it thaws, if it still lives."""
        if not self.up or self.life != life:
            return False
        if self.frozen:
            self.thaws.append(lambda: self.do(life, fn))
        else:
            fn()
        return True


class _Pipe:
    """One direction of a simulated connection: in order, held while the way is cut."""

    def __init__(self, net, src, dst):
        self.net, self.src, self.dst = net, src, dst
        self.q = collections.deque()
        self.life = dst.life
        self.last = 0.0
        self.dead = False

    def send(self, fn):
        """Brings `fn` to the other side."""
        if self.dead:
            return
        if self.src.stalled:
            self.src.thaws.append(lambda: self.send(fn))
            return
        t = self.net.loop.time()
        self.last = max(self.last, t + self.net.delay(self.src, self.dst))
        self.q.append((t, fn))
        self.net.loop.call_at(self.last, self._pump)

    def _pump(self):
        if not self.q or self.dead:
            return
        if self.net.is_cut(self.src.name, self.dst.name):
            if self.net.loop.time() - self.q[0][0] < 8:
                self.net.loop.call_later(0.05, self._pump)
            return
        _, fn = self.q.popleft()
        self.dst.do(self.life, fn)
        if self.q and self.q[0][0] < self.net.loop.time() - 0.05:
            self._pump()


class _End:
    """Both channels of a simulated connection."""

    def __init__(self, net, a, b):
        self.net, self.a, self.b = net, a, b
        self.ab, self.ba = _Pipe(net, a, b), _Pipe(net, b, a)
        self.ca = Channel(
            a.link,
            lambda raw: self.ab.send(lambda: self._feed(self.cb, raw)),
            lambda: self.shut(a),
            lambda: self.reset(a),
        )
        self.cb = Channel(
            b.link,
            lambda raw: self.ba.send(lambda: self._feed(self.ca, raw)),
            lambda: self.shut(b),
            lambda: self.reset(b),
        )
        self.key = next(net.num)
        a.pipes[self.key] = self
        b.pipes[self.key] = self

    @staticmethod
    def _feed(ch, raw):
        if not ch.gone.done():
            try:
                ch.feed(raw)
            except Fault as e:
                ch._link.garbage += 1
                if isinstance(e, Malformed):
                    ch.close()

    def shut(self, who):
        """One side closes."""
        self.a.pipes.pop(self.key, None)
        self.b.pipes.pop(self.key, None)
        o, p, c = (self.b, self.ab, self.cb) if who is self.a else (self.a, self.ba, self.ca)
        p.send(c.handle_connection_loss)

    def reset(self, who):
        """One side closes by a reset: what a cut holds up of its bytes is lost."""
        way = self.ab if who is self.a else self.ba
        if self.net.is_cut(way.src.name, way.dst.name):
            way.q.clear()
        self.shut(who)

    def cut(self, silent):
        """A machine is gone."""
        for machine, ch, p in ((self.a, self.ca, self.ba), (self.b, self.cb, self.ab)):
            machine.pipes.pop(self.key, None)
            if machine.up and not silent:
                p.send(ch.handle_connection_loss)
            elif machine.up:
                self.net.loop.call_later(20, lambda ch=ch: ch.handle_connection_loss())


class SimLink(SharedConnections):
    """The links of a simulated machine; the same surface as the real ones."""

    def __init__(self, machine):
        super().__init__()
        self._machine = machine
        self.clock, self.tasks, self.log = machine.clock, machine.tasks, machine.log
        self.handlers = {}
        self.garbage = 0
        self.addr = f"sim:{machine.name}"

    def on(self, kind, fn):
        """Answers calls of `kind`."""
        self.handlers[kind] = fn

    def _machine_of(self, addr):
        return self._machine.net.machines[addr.split(":")[1]]

    def send_datagram(self, addr, kind, body):
        """One datagram: it may be lost, late or doubled."""
        if self._machine.up:
            net, to = self._machine.net, self._machine_of(addr)
            raw = pack(kind, DATAGRAM, 0, body)
            for _ in range(2 if net.rng.random() < net.double else 1):
                if net.rng.random() >= net.loss:
                    life = to.life
                    net.loop.call_later(net.delay(self._machine, to), self._land, to, life, raw)

    def _land(self, to, life, raw):
        if not self._machine.net.is_cut(self._machine.name, to.name):
            to.do(life, lambda: to.link.receive_datagram(raw))

    receive_datagram = Link.receive_datagram

    async def open(self, addr):
        """A connection, unless the other machine is off or the way is cut."""
        net, to = self._machine.net, self._machine_of(addr)
        for way in ((self._machine, to), (to, self._machine)):
            await self.clock.sleep(int(net.delay(*way) * 1e6))
            if net.refuses(way[0].name, way[1].name):
                raise NotSent(addr)
            if (
                net.is_cut(way[0].name, way[1].name)
                or to.frozen
                or (not to.up and to.name in net.silent)
            ):
                await self.clock.sleep(1_000_000)
                raise NotSent(addr)
            if not to.up or to.node is None:
                raise NotSent(addr)
        return _End(net, self._machine, to).ca


class Net:
    """All machines and the ways between them."""

    def __init__(self, loop, rng, apart_us=12_000):
        self.loop, self.rng = loop, rng
        self.machines = {}
        self.cuts = collections.Counter()
        self.refusals = collections.Counter()
        self.silent = set()
        self.loss, self.double = 0.0, 0.0
        self.apart = apart_us / 2e6
        self.num = itertools.count()
        self.log = []
        self.findings = []
        self.on_kill = []

    def delay(self, a, b):
        """One way, in seconds."""
        d = 0.0003 if a.zone == b.zone else self.apart
        return d * (0.9 + 0.2 * self.rng.random()) + 0.0001

    def is_cut(self, a, b):
        """Whether messages from `a` to `b` are stopped."""
        return self.cuts[(a, b)] > 0

    def cut(self, a, b, us, both=True):
        """Cuts the ways from every box in `a` to every box in `b` for a while."""
        ways = [(x, y) for x in a for y in b if x != y] + (
            [(y, x) for x in a for y in b if x != y] if both else []
        )
        for w in ways:
            self.cuts[w] += 1

        def heal():
            for w in ways:
                self.cuts[w] -= 1

        self.loop.call_later(us / 1e6, heal)

    def refuses(self, a, b):
        """Whether a cut from `a` to `b` answers new connections with a refusal in place of silence."""
        return self.refusals[(a, b)] > 0

    def refuse(self, a, b, us):
        """Cuts the ways between `a` and `b` for a while and refuses connections meanwhile."""
        self.cut(a, b, us)
        ways = [w for x in a for y in b if x != y for w in ((x, y), (y, x))]
        for w in ways:
            self.refusals[w] += 1

        def heal():
            for w in ways:
                self.refusals[w] -= 1

        self.loop.call_later(us / 1e6, heal)

    async def trip(self, src, dst, fn, us, fresh=False):
        """Goes from `src` to `dst`, awaits `fn()` there and comes back; Late, Unsent or Unreached otherwise.

        With `fresh` the exchange needs a new connection, which an unreachable machine does not take.
        """
        f = self.loop.create_future()
        if (
            not dst.up
            and dst.name in self.silent
            or fresh
            and (self.is_cut(src.name, dst.name) or self.is_cut(dst.name, src.name))
        ):
            await src.clock.sleep(min(us, 1_000_000))
            raise NotSent(dst.name)
        if not dst.up:
            await src.clock.sleep(int(self.delay(src, dst) * 2e6))
            raise NotSent(dst.name)
        go, back = _Pipe(self, src, dst), _Pipe(self, dst, src)

        def done(r, e):
            if not f.done():
                f.set_result(r) if e is None else f.set_exception(e)

        async def there():
            try:
                r, e = await fn(), None
            except Fault as x:
                r, e = None, x
            back.send(lambda: done(r, e))

        go.send(lambda: dst.tasks.spawn(there()))

        def gone(machine, silent):
            if machine is dst and not silent:
                back.send(lambda: done(None, Unreachable(dst.name)))

        self.on_kill.append(gone)
        try:
            return await src.clock.wait_for(f, us)
        finally:
            self.on_kill.remove(gone)

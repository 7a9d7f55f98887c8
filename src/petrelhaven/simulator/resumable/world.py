"""A whole fleet in virtual time: the shipped planes, stand-in members, a platform and visitors."""

import asyncio
import json
import random

from petrelhaven.control.base_node import ControlNodeIdentity, NodeResources
from petrelhaven.control.resumable.node import ResumableControlNode
from petrelhaven.emulator.balancer import LoadBalancer
from petrelhaven.emulator.platform import PlatformLogic
from petrelhaven.emulator.store import Declined, Store, Unanswered
from petrelhaven.proxy.resumable.member_protocol import raise_first
from petrelhaven.proxy.resumable.node import ResumableProxy
from petrelhaven.runtime.errors import Fault, MemberDeclined, NotSent, Unreachable
from petrelhaven.simulator.load_client import LoadClient
from petrelhaven.simulator.net import Net, SimulatedMachine
from petrelhaven.simulator.resumable.history_check import check

__all__ = ["SIZES", "World", "configuration"]

SIZES = {
    "nordvik": {
        "edges": 6,
        "groups": 3,
        "cap": 40,
        "apart_us": 12_000,
        "lag_us": 60_000,
        "took_us": 330_000,
        "halls": ["north", "middle", "south"],
    },
    "archivo": {
        "edges": 7,
        "groups": 3,
        "cap": 20,
        "apart_us": 8_000,
        "lag_us": 8_000,
        "took_us": 1_000_000,
        "halls": ["lima", "cusco", "arequipa"],
    },
    "small": {
        "edges": 3,
        "groups": 1,
        "cap": 20,
        "apart_us": 8_000,
        "lag_us": 30_000,
        "took_us": 300_000,
        "halls": ["a", "b", "c"],
    },
}


def configuration(size, version=1, **bounds):
    """A manifest for a fleet of that size."""
    z = SIZES[size]
    gs = [f"g{i + 1}" for i in range(z["groups"])]
    return json.dumps(
        {
            "name": size,
            "version": version,
            "halls": z["halls"],
            "groups": [{"name": g, "members": 3, "cap": z["cap"], "least": 1} for g in gs],
            "routes": [{"name": g, "group": g, "reads": "strong"} for g in gs]
            + [{"name": g + "-browse", "group": g, "reads": "browsing"} for g in gs],
            "bounds": bounds,
        },
        indent=1,
    )


class _Conn:
    __slots__ = ("wire", "machine", "num", "tag", "lost")

    def __init__(self, wire, machine, num):
        self.wire, self.machine, self.num, self.tag, self.lost = wire, machine, num, None, False

    async def run(self, ops, us):
        """Runs a batch at the member."""
        try:
            return raise_first(
                await self.wire.trip(self.machine, lambda m: m.run(self.num, ops), us)
            )
        except Fault as e:
            if not isinstance(e, MemberDeclined):
                self.lost = True
            raise

    def close(self):
        """Closes the connection."""
        self.lost = True
        self.wire.shut(self.machine, self.num)


class SimWire:
    """The wire to members over simulated ways."""

    def __init__(self, net, machine):
        self.net, self.machine = net, machine

    async def trip(self, dst, fn, us):
        """One exchange with a member."""

        async def there():
            m = dst.node
            if m.silent:
                await dst.clock.sleep(3_600_000_000)
            try:
                return fn(m)
            except Declined as e:
                raise MemberDeclined(e.document["fault"], details=e.document) from None
            except Unanswered:
                await dst.clock.sleep(3_600_000_000)

        return await self.net.trip(self.machine, dst, there, us)

    def _find(self, addr):
        return self.net.machines[addr.split(":")[1]]

    async def open(self, addr, us=1_000_000):
        """A new connection."""
        b = self._find(addr)
        owner = f"{self.machine.name}/{self.machine.life}"
        made = []

        def opened(m):
            made.append(m.open(owner))
            if made[0] is None:
                m.conns.pop(made[1], None)
            return made[-1]

        try:
            return _Conn(self, b, await self.trip(b, opened, us))
        except BaseException:
            if made:
                self.shut(b, made[0])
            else:
                made.append(None)
            raise

    def shut(self, b, num):
        """Closes at the member too."""
        life = b.life
        self.net.loop.call_later(
            self.net.delay(self.machine, b), lambda: b.do(life, lambda: b.node.conns.pop(num, None))
        )

    async def status(self, addr, us):
        """STATUS."""
        return await self.trip(self._find(addr), lambda m: m.status(), us)


class World:
    """One simulated fleet."""

    def __init__(self, seed, size="small", lag_us=None, vary=None, **bounds):
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.size, self.z = size, SIZES[size]
        self.net = Net(self.loop, self.rng, self.z["apart_us"])
        self.net.on_kill.append(self._dead)
        self.lag_us = self.z["lag_us"] if lag_us is None else lag_us
        self.vary, self.bounds = vary, bounds
        self.hist, self.clients = [], []
        hs = self.z["halls"]
        self.cores = [
            SimulatedMachine(self.net, f"c{i + 1}", hs[i], self._rate()) for i in range(3)
        ]
        self.edges = [
            SimulatedMachine(self.net, f"e{i + 1}", hs[i % 3], self._rate())
            for i in range(self.z["edges"])
        ]
        self.members = {}
        for g in range(self.z["groups"]):
            for i in range(3):
                self.members[f"g{g + 1}m{i + 1}"] = SimulatedMachine(
                    self.net, f"g{g + 1}m{i + 1}", hs[(g + i) % 3]
                )
        self.plat = SimulatedMachine(self.net, "platform", "out")
        self.out = SimulatedMachine(self.net, "visitors", "out")
        self.seeds = [f"sim:{c.name}" for c in self.cores]
        self.seen = {}

    def _rate(self):
        return 1.0 + self.rng.uniform(-0.01, 0.01)

    def _dead(self, machine, silent):
        if machine in self.edges:
            self.loop.call_later(
                5 if silent else 0.01, self._forget, f"{machine.name}/{machine.life - 1}"
            )

    def _forget(self, owner):
        for m in self.members.values():
            if m.node:
                m.node.lose(owner)

    def boot_core(self, b):
        """Powers a core on."""
        b.boot()
        try:
            b.node = ResumableControlNode(
                ControlNodeIdentity(b.name, b.zone, self.seeds),
                NodeResources(
                    b.clock, b.tasks, b.link, b.disk, random.Random(self.rng.random()), b.log
                ),
                _SimPlatform(self, b),
            )
        except asyncio.CancelledError:
            if b.up:
                raise
            return
        b.node.start()

    def boot_edge(self, b):
        """Powers an edge on."""
        b.boot()
        b.node = ResumableProxy(
            b.name,
            b.zone,
            self.seeds,
            b.clock,
            b.tasks,
            b.link,
            random.Random(self.rng.random()),
            SimWire(self.net, b),
            f"sim:{b.name}",
            b.log,
            self.vary,
        )
        b.node.start()

    def boot_member(self, n, keep=None):
        """Powers a member on; with `keep`, over the log it had."""
        b = self.members[n]
        b.boot()
        g, first = n[:2], n.endswith("m1")
        if keep is not None:
            b.node = keep
            keep.boot_up()
            keep.silent = keep.stall = False
        else:
            b.node = Store(
                b.clock,
                n,
                g,
                b.zone,
                "primary" if first and b.life == 1 else "replica",
                self.z["cap"],
                random.Random(self.rng.random()),
                2_000_000,
            )
            b.node.source = f"{g}m1"
            if b.life == 1:
                b.node.born -= 3_000_000
            if self.head_epochs():
                b.node.source, b.node.born = self.head_epochs()[g]["primary"], b.clock.now()
        b.tasks.spawn(self._announce(b))
        b.tasks.spawn(self._pull(b))

    def add_member(self, n, zone):
        """A machine under a new name, with an empty store."""
        self.members[n] = SimulatedMachine(self.net, n, zone)
        self.boot_member(n)

    async def _announce(self, b):
        heartbeat = 0
        while True:
            heartbeat += 1
            if not b.node.silent:
                d = b.node.announcement(f"sim:{b.name}", heartbeat)
                for c in self.cores:
                    b.tasks.spawn(self._say(b, c, d))
            await b.clock.sleep(200_000)

    async def _say(self, b, c, d):
        async def there():
            if c.node:
                c.node.announce(d)

        try:
            await self.net.trip(b, c, there, 500_000)
        except Fault:
            pass

    async def _pull(self, b):
        m = b.node
        while b.node is m:
            src = self.members.get(m.source) if m.role == "replica" and m.source else None
            if src is None or src is b or m.stall or m.silent:
                await b.clock.sleep(20_000)
                continue

            async def there(src=src):
                if src.node is not None and src.node.silent:
                    await src.clock.sleep(3_600_000_000)
                if src.node is None:
                    raise Unreachable("off")
                try:
                    return json.loads(json.dumps(src.node.feed(m.log, m.last_term())))
                except Declined:
                    raise Unreachable("no primary") from None

            try:
                d = await self.net.trip(b, src, there, 500_000)
                if d["entries"] or d["term"] != m.term:
                    await b.clock.sleep(self.lag_us)
                    if (
                        m.role == "replica"
                        and not m.stall
                        and src is not None
                        and m.source == src.name
                    ):
                        m.absorb(d)
                else:
                    await b.clock.sleep(5_000)
            except Fault:
                await b.clock.sleep(50_000)

    async def _tell(self, member, verb, kw):
        b = self.members[member]

        async def there():
            try:
                getattr(b.node, verb)(**kw)
            except Declined as e:
                raise MemberDeclined(e.document["fault"]) from None

        await self.net.trip(self.plat, b, there, 1_000_000)

    async def start(self):
        """Powers everything on and applies the first manifest."""
        self.plat.boot()
        self.plat.node = PlatformLogic(
            self.plat.clock,
            self._tell,
            lambda g: [n for n in self.members if n.startswith(g)],
            self.z["took_us"],
        )
        self.plat.tasks.spawn(self.plat.node.tend())
        self.out.boot()
        self.out.node = True
        self.load_balancer = LoadBalancer(
            self.plat.clock,
            self.plat.tasks,
            lambda: [b.name for b in self.edges],
            self._ready,
            self._warn,
            self._take,
        )
        self.plat.tasks.spawn(self.load_balancer.run())
        for b in self.cores:
            self.boot_core(b)
        for n in self.members:
            self.boot_member(n)
        for b in self.edges:
            self.boot_edge(b)
        await self.until(lambda: any(c.node.ready for c in self.cores), 15, "cores ready")
        await self.apply(configuration(self.size, 1, **self.bounds))
        await self.until(lambda: all(e.node.ready for e in self.edges), 15, "edges ready")
        await self.until(
            lambda: (
                all(
                    e["phase"] == "serve" and e["settled"] and len(e["safe"]) == 2
                    for e in self.head_epochs().values()
                )
                and len(self.head_epochs()) == self.z["groups"]
            ),
            15,
            "epochs settled",
        )
        self.loop.create_task(self._watch())

    async def _ready(self, name):
        b = self.net.machines[name]

        async def there():
            if b.node is None:
                raise NotSent(name)
            return b.node.ready

        return await self.net.trip(self.plat, b, there, 500_000)

    async def _warn(self, name):
        b = self.net.machines[name]
        if b.node is not None:
            t = b.tasks.spawn(b.node.drain())
            await asyncio.wait([t])

    async def _take(self, name):
        self.net.machines[name].kill()

    def route(self):
        """The edge that the platform sends the next new connection to, or None."""
        try:
            return self.net.machines[self.load_balancer.pick()]
        except Fault:
            return None

    def head_epochs(self):
        """Epochs as the core with the newest state holds them."""
        cs = [c.node for c in self.cores if c.node]
        return (
            max(cs, key=lambda n: n.store.control_state.seq).store.control_state.doc["epochs"]
            if cs
            else {}
        )

    async def until(self, fn, secs, what):
        """Waits in virtual time for a condition."""
        end = self.loop.time() + secs
        while not fn():
            if self.loop.time() > end:
                raise AssertionError(f"not within {secs} s: {what}")
            await asyncio.sleep(0.02)
        return self.loop.time()

    async def ask(self, machine, fn, us=20_000_000):
        """An operator's or visitor's exchange with a node."""

        async def there():
            if machine.node is None:
                raise NotSent(machine.name)
            return await fn(machine.node)

        return await self.net.trip(self.out, machine, there, us, fresh=True)

    async def apply(self, text, by=0):
        """Applies a manifest through some core that answers."""
        last = None
        for i in range(40):
            c = self.cores[(by + i) % 3]
            try:
                r = await self.ask(c, lambda n: n.apply(text))
                return r
            except Fault as e:
                if e.status == 409 and i:
                    return {"note": e.code}
                if e.status in (409, 422):
                    raise
                last = e
                await asyncio.sleep(0.3)
        raise last

    async def zone(self, zone, state, by=0):
        """Empties or restores a hall through some core that answers."""
        for i in range(40):
            try:
                return await self.ask(
                    self.cores[(by + i) % 3], lambda n: n.set_zone_state(zone, state)
                )
            except Fault as e:
                if e.status in (409, 422):
                    return {"note": e.code}
                await asyncio.sleep(0.3)
        raise AssertionError("hall change not taken")

    async def _watch(self):
        while True:
            for b in self.cores + self.edges:
                if b.node is None:
                    continue
                r = b.node.store.control_state if b in self.cores else b.node.control.control_state
                v = r.doc["manifest"]["version"] if r.doc["manifest"] else 0
                k = (b.name, b.life)
                if v < self.seen.get(k, 0):
                    self.net.findings.append((self.loop.time(), "manifest slid back", b.name, v))
                self.seen[k] = max(v, self.seen.get(k, 0))
            for n, b in self.members.items():
                if b.node and b.node.most_conns > b.node.cap:
                    self.net.findings.append((self.loop.time(), "cap passed", n, b.node.most_conns))
                    b.node.most_conns = 0
                if b.node and b.node.flood > 25:
                    self.net.findings.append(
                        (self.loop.time(), "flooded while cold", n, b.node.flood)
                    )
                    b.node.flood = 0
            await asyncio.sleep(0.1)

    def start_clients(self, count, **kw):
        """Starts visitors."""
        for i in range(count):
            v = LoadClient(self, len(self.clients), random.Random(self.rng.random()), **kw)
            self.clients.append(v)
            self.out.tasks.spawn(v.run())

    async def calm(self):
        """Stops the visitors and waits until each knows its last outcome."""
        for v in self.clients:
            v.stop = True
        await self.until(lambda: all(v.done for v in self.clients), 90, "visitors end")

    def truth(self):
        """The data of every group's current primary."""
        out = {}
        for g, e in self.head_epochs().items():
            b = self.members[e["primary"]]
            out.update({f"{g}:{k}": v for k, v in b.node.data.items()} if b.node else {})
        return out

    def verdict(self):
        """Everything that must never happen and did."""
        return self.net.findings + check(self.hist, self.truth())


class _SimPlatform:
    def __init__(self, w, machine):
        self._w, self._machine = w, machine

    async def promote(self, group, member, epoch, by):
        """One failover call."""
        p = self._w.plat

        async def there():
            return await p.node.promote(group, member, epoch, by)

        return await self._w.net.trip(self._machine, p, there, 5_000_000)

"""A whole fleet of the path where sessions live with their connection, in virtual time."""

import asyncio
import json
import random

from petrelhaven.control.base_node import ControlNodeIdentity, NodeResources
from petrelhaven.control.node import ControlNode
from petrelhaven.proxy.core_connection import CoreConnection
from petrelhaven.proxy.node import ProxyNode
from petrelhaven.runtime.errors import Fault, NotSent
from petrelhaven.simulator.connection_sessions.caller import FailoverCaller
from petrelhaven.simulator.connection_sessions.client import Client
from petrelhaven.simulator.connection_sessions.failover import FailoverService
from petrelhaven.simulator.connection_sessions.group import DatabaseGroup
from petrelhaven.simulator.connection_sessions.heartbeats import Heartbeats
from petrelhaven.simulator.connection_sessions.history import History
from petrelhaven.simulator.connection_sessions.judge import judge
from petrelhaven.simulator.connection_sessions.member import DatabaseMember
from petrelhaven.simulator.connection_sessions.tenancy import Tenancy
from petrelhaven.simulator.connection_sessions.tenant_client import TenantClient
from petrelhaven.simulator.connection_sessions.tenant_judge import judge_tenants
from petrelhaven.simulator.connection_sessions.wire import SimulatedWire
from petrelhaven.simulator.net import Net, SimulatedMachine

__all__ = ["SimulatedFleet"]

_ZONES = ("a", "b", "c")
_BOUND_US = 3_500_000
_APPLY_S = 5.0
_SEEDS = 3


class SimulatedFleet:
    """Cores (three, or five where two may be lost), edges, groups of three members, a platform and clients.

    `history` keeps what the clients saw. The settings of every machine name the first three cores as seeds.
    """

    stale_us = 1_500_000
    heartbeat_us = 1_200_000
    settle_s = 15.0
    """Within how long of the last fault's end every group is served again."""

    def __init__(
        self,
        seed,
        edges=4,
        groups=1,
        lag_us=30_000,
        cap=None,
        took_us=None,
        losses=1,
        tenants=0,
    ):
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        cap = cap or self.rng.choice((10, 20, 40))
        self.took_us = took_us or self.rng.choice((50_000, 300_000, 800_000))
        self.net = Net(self.loop, self.rng, 8_000)
        self.history = History()
        self.clients = []
        self.losses = losses
        self.tenancy = Tenancy(random.Random(seed * 7919 + 3), tenants) if tenants else None
        if self.tenancy is not None:
            # 15 s for the sites' windows of 5 s; nothing is granted for a window after two kills
            # of all control nodes, whose permits may all have been used
            self.settle_s = 10.0 + self.tenancy.window_s
        self.cores = [
            SimulatedMachine(self.net, f"c{i + 1}", _ZONES[i % 3], self._rate())
            for i in range(2 * losses + 1)
        ]
        self.edges = [
            SimulatedMachine(self.net, f"e{i + 1}", _ZONES[i % 3], self._rate())
            for i in range(edges)
        ]
        self.groups = {
            f"g{i + 1}": DatabaseGroup(f"g{i + 1}", self.net, self.history, 1, lag_us, cap)
            for i in range(groups)
        }
        self.members = []
        for i, g in enumerate(self.groups):
            self.members += [
                SimulatedMachine(self.net, f"{g}-{j + 1}", _ZONES[(i + j) % 3]) for j in range(3)
            ]
        self.platform, self.out = (
            SimulatedMachine(self.net, "platform", "out"),
            SimulatedMachine(self.net, "clients", "out"),
        )
        self.seeds = [f"sim:{c.name}" for c in self.cores[:_SEEDS]]
        self.version, self.taken = 0, []
        self.zones_taken = {}
        self._seen = {}
        self._lives = {}

    def _rate(self):
        return 1.0 + self.rng.uniform(-0.01, 0.01)

    def configuration(self, version, timeout_us=2_000_000):
        """The text of a manifest."""
        routes = []
        for g in self.groups:
            for host, reads, us in ((g, "strong", 0), (g + "-browse", "browsing", self.stale_us)):
                routes.append(
                    {
                        "name": host,
                        "group": g,
                        "host": host,
                        "prefix": "/",
                        "reads": reads,
                        "timeout_us": timeout_us,
                        "aim_us": 400_000,
                        "stale_us": us,
                    }
                )
        tenants, bounds = {}, {}
        if self.tenancy is not None:
            tenants = self.tenancy.fields(version, self.loop.time())
            bounds = self.tenancy.bounds()
            routes += [self._public_route(route) for route in routes if route["reads"] == "strong"]
        return json.dumps(
            {
                "name": "fleet",
                "version": version,
                "halls": list(_ZONES),
                "groups": [
                    {"name": g, "cap": x.cap, "sync": x.sync} for g, x in self.groups.items()
                ],
                "routes": routes,
                "bounds": {"keepers": 0, "idle_txn_us": 3_000_000, **bounds},
                **tenants,
            }
        )

    @staticmethod
    def _public_route(route):
        """The same as a route, without a key."""
        name = route["host"] + "-public"
        return {**route, "name": name, "host": name, "public": True}

    def seeds_for(self, b):
        """The seeds that the settings of machine `b` name."""
        return list(self.seeds)

    def may_decide_first_view(self, b):
        """Whether the settings of core `b` say that the whole system starts for the first time."""
        return True

    def wall_clock(self, b):
        """The wall clock of a core; nothing asks for it while embargoes are off."""

    def boot_core(self, b):
        """Powers a core on."""
        b.boot()
        try:
            b.node = ControlNode(
                ControlNodeIdentity(b.name, b.zone, self.seeds_for(b)),
                NodeResources(
                    b.clock, b.tasks, b.link, b.disk, random.Random(self.rng.random()), b.log
                ),
                FailoverCaller(self.net, b, self.platform),
                SimulatedWire(self.net, b),
                self.heartbeat_us,
                may_decide_first_view=self.may_decide_first_view(b),
                losses=self.losses,
                wall_clock=self.wall_clock(b),
            )
        except asyncio.CancelledError:
            if b.up:
                raise
            return
        b.node.start()

    def boot_edge(self, b):
        """Powers an edge on."""
        b.boot()
        rng = random.Random(self.rng.random())

        def near(zone):
            return 0 if zone == b.zone else 1

        core_connection = CoreConnection(
            b.clock, b.tasks, b.link, rng, b.name, self.seeds_for(b), near, b.log
        )
        b.node = ProxyNode(
            b.name,
            b.zone,
            b.clock,
            b.tasks,
            rng,
            core_connection,
            SimulatedWire(self.net, b),
            near,
            _BOUND_US,
            _BOUND_US,
            b.log,
        )
        b.node.start()

    def boot_member(self, b, member=None):
        """Powers a member on: `member` over the log that it had, or a new one."""
        b.boot()
        g = self.groups[b.name.split("-")[0]]
        if member is None:
            n = self._lives[b.name] = self._lives.get(b.name, 0) + 1
            member = DatabaseMember(g, f"{b.name}.{n}", b)
            g.members = [m for m in g.members if m.machine is not b] + [member]
        b.node = member
        member.start()
        member.heartbeats = Heartbeats(self.net, member, self.cores, self.heartbeat_us)
        b.tasks.spawn(member.heartbeats.run())
        return member

    def replace_member(self, old):
        """A new member at the address of one that has ended, with its log; it leads if nobody else was promoted."""
        g, b = old.group, old.machine
        m = self.boot_member(b)
        m.take_log(old)
        if g.leader is old:
            g.leader = m
        m.follow()
        m.heartbeat_now.set()
        return m

    async def start(self):
        """Powers everything on and applies the first manifest."""
        self.platform.boot()
        self.platform.node = FailoverService(self.platform, self.groups, self.took_us)
        self.out.boot()
        self.out.node = True
        for b in self.cores:
            self.boot_core(b)
        for b in self.members:
            m = self.boot_member(b)
            if m.group.leader is None:
                m.group.leader = m
        for g in self.groups.values():
            g.tick()
        for b in self.edges:
            self.boot_edge(b)
        await self.until(lambda: any(c.node.ready for c in self.cores), 15, "cores ready")
        await self.apply(1)
        await self.until(lambda: all(e.node.ready for e in self.edges), 15, "edges ready")
        await self.until(
            lambda: all(
                b.primary and len(b.members) == 3
                for e in self.edges
                for b in e.node.groups.values()
            ),
            15,
            "offices held",
        )
        self.loop.create_task(self._watch())

    async def until(self, fn, secs, what):
        """Waits in virtual time for a condition."""
        end = self.loop.time() + secs
        while not fn():
            if self.loop.time() > end:
                raise AssertionError(f"not within {secs} s: {what}")
            await asyncio.sleep(0.02)

    async def _order(self, fn, by):
        """An operator's order, sent again until it is answered clearly; its answer, or the fault that is one."""
        for i in range(60):
            c = self.cores[(by + i) % len(self.cores)]

            async def there(c=c):
                if c.node is None:
                    raise NotSent(c.name)
                return await fn(c.node)

            try:
                return await self.net.trip(self.out, c, there, 4_500_000, fresh=True)
            except Fault as e:
                if e.status in (409, 422) and e.code != "racing":
                    return e
                await asyncio.sleep(0.3)
        return None

    async def apply(self, version, by=0, **kw):
        """Applies a manifest; every clear answer but 422 acknowledges it."""
        r = await self._order(lambda n: n.apply(self.configuration(version, **kw)), by)
        if r is not None:
            self.taken.append((self.loop.time(), version))
            if self.tenancy is not None:
                self.tenancy.acknowledged(version, self.loop.time())
        return r

    async def zone(self, zone, state, by=0):
        """Empties or restores a hall."""
        sent = self.loop.time()
        self.zones_taken.pop(zone, None)
        if state == "open":
            self.history.evacuations = [
                (h, t, sent if h == zone and u is None else u)
                for h, t, u in self.history.evacuations
            ]
        r = await self._order(lambda n: n.set_zone_state(zone, state), by)
        if r is not None:
            self.zones_taken[zone] = state
            if state == "emptied":
                self.history.evacuations.append((zone, self.loop.time(), None))
        return r

    def cut(self, a, b, us, both=True):
        """Cuts ways for a while."""
        self.net.cut(a, b, us, both)
        now = self.loop.time()
        cores = {c.name for c in self.cores}
        for x in a:
            for y in b:
                if x in cores and y in cores:
                    self.history.trouble(now, now + us / 1e6, "core")
                else:
                    self.history.trouble(now, now + us / 1e6, x, y)

    def find(self, kind, value):
        """A finding of the run that no statement shows."""
        self.net.findings.append((round(self.loop.time(), 3), kind, value))

    async def _watch(self):
        while True:
            now = self.loop.time()
            due = max((v for t, v in self.taken if t < now - _APPLY_S), default=0)
            for b in self.cores + self.edges:
                if (
                    b.node is None
                    or b in self.cores
                    and b.node.chain.committed_seq < b.node.store.control_state.seq
                ):
                    continue
                d = (
                    b.node.store.control_state
                    if b in self.cores
                    else b.node.core_connection.control_state
                ).doc
                v = d["manifest"]["version"] if d["manifest"] else 0
                k = b.name, b.life
                if v < self._seen.get(k, 0):
                    self.find("manifest went back", f"{b.name} {v}")
                self._seen[k] = max(v, self._seen.get(k, 0))
                if b in self.edges and v < due and self.history.in_touch(b.name, now, _APPLY_S):
                    self.find("acknowledged manifest not in force", f"{b.name} {v} {due}")
            await asyncio.sleep(0.1)

    def start_clients(self, count, **kw):
        """Starts clients, every third of them on a browsing route."""
        for _ in range(count):
            i = len(self.clients)
            made = Client if self.tenancy is None else TenantClient
            c = made(self, i, random.Random(self.rng.random()), browsing=i % 3 == 2, **kw)
            self.clients.append(c)
            self.out.tasks.spawn(c.run())

    async def calm(self):
        """Stops the clients."""
        for c in self.clients:
            c.stop = True
        await self.until(lambda: all(c.done for c in self.clients), 60, "clients end")

    async def check_commits(self):
        """Acknowledged control state that no core gives back any more."""
        d = None
        for i in range(60):
            c = self.cores[i % len(self.cores)]

            async def there(c=c):
                if c.node is None:
                    raise NotSent(c.name)
                return json.loads(json.dumps(await c.node.control_state()))

            try:
                d = await self.net.trip(self.out, c, there, 2_500_000, fresh=True)
                break
            except Fault:
                await asyncio.sleep(0.3)
        if d is None:
            return [("LOST", "the control state can't be read back")]
        v, top = d["manifest"]["version"], max(v for _, v in self.taken)
        out = [("LOST", f"the acknowledged manifest {top}, read back is {v}")] if v < top else []
        return out + [
            ("LOST", f"hall {h} was acknowledged as {s}")
            for h, s in sorted(self.zones_taken.items())
            if d["halls"].get(h, "open") != s
        ]

    def verdict(self):
        """Everything that must never happen and did."""
        bad = list(self.net.findings) + judge(self.history)
        if self.tenancy is not None:
            edges = [edge.name for edge in self.edges]
            bad += judge_tenants(self.history, self.tenancy, edges)
        return bad

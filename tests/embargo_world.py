"""Cores, edges and members of the held path on simulated machines in virtual time, and who reads embargoed records."""

import asyncio
import json
import random

from petrelhaven.control.base_node import ControlNodeIdentity, NodeResources
from petrelhaven.control.node import ControlNode
from petrelhaven.proxy.core_connection import CoreConnection
from petrelhaven.proxy.node import ProxyNode
from petrelhaven.proxy.pool.member_connection import MemberConnection
from petrelhaven.proxy.session.statement import Reply, Statement
from petrelhaven.runtime.errors import DeadlineExceeded, Duplicate, Fault, NotSent, Unreachable
from petrelhaven.runtime.instant import format_instant
from petrelhaven.simulator.net import Net, SimulatedMachine
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

BASE = 1_780_000_000_000_000
ZONES = "abc"


def virtual(fn, seed=1, **kw):
    """What `fn(world)` returns, run in virtual time; a task that fails in any node fails the run."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)

    async def go():
        w = World(loop, seed, **kw)
        await w.start()
        out = await fn(w)
        assert w.net.findings == [], w.net.findings[:3]
        return out

    try:
        return loop.run_until_complete(go())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


class SimWall:
    """A machine's time of day: true time and an error that a test sets."""

    def __init__(self, world, off):
        self.world, self.off = world, off

    def now(self):
        return self.world.true() + self.off


class Member:
    """One member: a log of (term, thing, data), a role, and how far behind it copies."""

    def __init__(self, world, machine, role):
        self.w, self.machine, self.role = world, machine, role
        self.log, self.held, self.lag = [], 0, 0.01

    @property
    def position(self):
        return (self.log[-1][0], len(self.log)) if self.log else (0, 0)

    def row(self):
        return {
            "role": self.role,
            "term": self.w.term,
            "pos": self.position,
            "held": self.held,
            "lag_ms": "0",
            "busy": 0,
            "conns": 1,
            "at": self.position,
        }

    def reply(self, conn, rows=(), code=None):
        state = "I" if conn.open_ is None else "T"
        return Reply(rows, "s" if code is None else "-", code, state=state, position=self.position)

    async def run(self, conn, text, after):
        """A client's statement."""
        await self.machine.clock.sleep(4_000)
        w, _, rest = text.partition(" ")
        if w == "EXECUTE":
            alias, _, rest = rest.partition(" ")
            w = conn.shaped[alias].split(" ")[0]
        if after is not None and self.position < after:
            return self.reply(conn, code="lagging")
        if w == "FETCH":
            kept = {t: d for _, t, d in self.log}
            kept.update(conn.open_ or {})
            return self.reply(conn, [kept[rest]] if rest in kept else [])
        if self.role != "primary":
            return self.reply(conn, code="readonly")
        if w == "PUT":
            thing, _, data = rest.partition(" ")
            if conn.open_ is not None:
                conn.open_[thing] = data
                return self.reply(conn)
            return await self.commit(conn, [(thing, data)])
        writes, conn.open_ = conn.open_, None
        return await self.commit(conn, list(writes.items()))

    async def commit(self, conn, writes):
        self.log += [(self.w.term, t, d) for t, d in writes]
        n = len(self.log)
        for _ in range(300):
            if self.role != "primary":
                raise Unreachable("deposed")
            if not writes or any(
                m.log[:n] == self.log[:n] for m in self.w.members.values() if m is not self
            ):
                return self.reply(conn)
            await self.machine.clock.sleep(10_000)
        raise Unreachable("no replica")

    async def send_session_statement(self, conn, verb, args):
        """What the system says for itself or says again."""
        if verb == "begin":
            if args[1] is not None and self.position < args[1]:
                return self.reply(conn, code="lagging")
            if args[0] != "reads" and self.role != "primary":
                return self.reply(conn, code="readonly")
            conn.open_ = {}
        elif verb == "prepare":
            conn.shaped[args[0]] = args[1]
        elif verb == "reset":
            conn.shaped = {}
        elif verb == "rollback":
            conn.open_ = None
        return self.reply(conn)

    async def send_system_verb(self, verb, args):
        if verb == "pause" and args[0] > self.held and self.role == "replica":
            self.held = args[0]
        elif verb == "resume":
            self.held = 0
        return self.row()

    async def follow(self):
        """Copies the primary's log while it can."""
        while True:
            await self.machine.clock.sleep(int(self.lag * 1e6))
            p = next((m for m in self.w.members.values() if m.role == "primary"), None)
            if (
                p is None
                or p is self
                or self.held
                or not p.machine.up
                or self.w.net.is_cut(p.machine.name, self.machine.name)
            ):
                continue
            self.log = list(p.log)

    async def heartbeat(self):
        """Tells the cores of itself."""
        count = 0
        while True:
            count += 1
            c = self.w.rng.choice(sorted(self.w.cores))
            doc = {
                "member": self.machine.name,
                "group": "g",
                "hall": self.machine.zone,
                "addr": f"sim:{self.machine.name}",
                "role": self.role,
                "state": "ready",
                "slots": 9,
                "count": count,
            }
            try:
                await self.w.net.trip(
                    self.machine, self.w.cores[c], lambda: self.w.heard(c, doc), 500_000
                )
            except Fault:
                pass
            await self.machine.clock.sleep(250_000)


class SimStrand(MemberConnection):
    """A connection to a member over the simulated net; statements go one after the other."""

    def __init__(self, src, dst, net):
        super().__init__()
        self.src, self.dst, self.net, self.life = src, dst, net, dst.life
        self.open_, self.shaped = None, {}
        self._last = None

    def _say(self, fn):
        f = asyncio.get_running_loop().create_future()
        was, self._last = self._last, f
        if self.src.tasks.spawn(self._go(f, was, fn)) is None:
            f.cancel()
        return f

    async def _go(self, f, was, fn):
        try:
            if was is not None and not was.done():
                await asyncio.wait([was])
            if self.lost or self.dst.life != self.life:
                raise Unreachable("connection lost")
            r = await self.net.trip(self.src, self.dst, fn, 4_000_000)
            if not f.done():
                f.set_result(r)
        except Fault:
            self.close()
            if not f.done():
                f.set_exception(Unreachable("connection lost"))
                f.exception()

    def send_statement(self, a, after=None, alias=None):
        text = a.text if alias is None else f"EXECUTE {alias} {a.data}"
        return self._say(lambda: self.dst.node.run(self, text, after))

    def send_session_statement(self, verb, args=(), num="-"):
        return self._say(lambda: self.dst.node.send_session_statement(self, verb, args))

    def send_system_verb(self, verb, *args):
        return self._say(lambda: self.dst.node.send_system_verb(verb, args))

    def close(self):
        self.lost = True
        self.open_ = None


class SimWire:
    def __init__(self, world, machine):
        self.w, self.machine = world, machine

    async def open(self, addr, group, member, us, tenant=""):
        dst = self.w.net.machines[member]

        async def hello():
            return True

        try:
            await self.w.net.trip(self.machine, dst, hello, us, fresh=True)
        except Unreachable:
            raise NotSent("refused") from None
        except DeadlineExceeded:
            raise NotSent("mute") from None
        return SimStrand(self.machine, dst, self.w.net)


class Record:
    """An embargoed record and when which release time may have been in force."""

    def __init__(self, thing):
        self.thing, self.states, self.written = thing, [], False

    def said(self, now, until):
        """A release time is asked for (None: lifted); returns what is to be called when it is acknowledged."""
        self.states.append([now, until])
        i = len(self.states) - 1

        def acked(at):
            for s in self.states[:i]:
                if len(s) == 2:
                    s.append(at)

        return acked

    def may_be_seen(self, now):
        """Whether some release time that may be in force at `now` has passed."""
        return any(
            (s[1] is None or s[1] <= now)
            for s in self.states
            if s[0] <= now and (len(s) == 2 or now < s[2])
        )


class World:
    """Three cores, edges and a group of three members."""

    def __init__(self, loop, seed, edges=3, rates=True, **configuration):
        self.loop, self.rng = loop, random.Random(seed)
        self.net = Net(loop, self.rng)
        self.term, self.version, self.more = 1, 0, {"embargoing": ["g"], **configuration}
        r = self.rng
        self.cores = {
            f"c{i + 1}": SimulatedMachine(
                self.net, f"c{i + 1}", h, r.uniform(0.99, 1.01) if rates else 1.0
            )
            for i, h in enumerate(ZONES)
        }
        self.edges = {
            f"e{i + 1}": SimulatedMachine(
                self.net, f"e{i + 1}", ZONES[i % 3], r.uniform(0.99, 1.01) if rates else 1.0
            )
            for i in range(edges)
        }
        self.walls = {n: SimWall(self, r.randrange(-80_000, 80_000)) for n in self.cores}
        self.members = {}
        self.records, self.seen, self.bad, self.refused = {}, [], [], 0
        self.fence, self.reading = 0, True

    def true(self):
        """True time, in microseconds."""
        return BASE + int(self.loop.time() * 1e6)

    def configuration(self, **kw):
        self.version += 1
        self.more |= kw
        return json.dumps(
            {
                "name": "fleet",
                "version": self.version,
                "halls": list(ZONES),
                "groups": [{"name": "g", "cap": 40, "sync": 1}],
                "routes": [
                    {
                        "name": "r0",
                        "group": "g",
                        "host": "db",
                        "prefix": "",
                        "reads": "strong",
                        "timeout_us": 900_000,
                        "aim_us": 300_000,
                        "stale_us": 0,
                        "rank": 1,
                    },
                    {
                        "name": "r1",
                        "group": "g",
                        "host": "old",
                        "prefix": "",
                        "reads": "browsing",
                        "timeout_us": 900_000,
                        "aim_us": 300_000,
                        "stale_us": 1_500_000,
                        "rank": 1,
                    },
                ],
                "bounds": {"keepers": 0, "idle_txn_us": 30_000_000},
                **self.more,
            }
        )

    async def start(self):
        for i, h in enumerate(ZONES):
            b = SimulatedMachine(self.net, f"m{i + 1}", h).boot()
            m = b.node = self.members[b.name] = Member(self, b, "replica" if i else "primary")
            for co in (m.follow(), m.heartbeat()):
                b.tasks.spawn(co)
        for n in self.cores:
            self.start_core(n)
        for n in self.edges:
            self.start_edge(n)
        await self.until(
            lambda: any(c.node and c.node.chain.is_active for c in self.cores.values()), 20
        )
        await self.call(lambda s: s.apply(self.configuration(), by="op"))
        await self.until(
            lambda: all(
                e.node.ready and e.node.core_connection.holds_lease for e in self.edges.values()
            ),
            20,
        )
        await self.until(
            lambda: all(e.node.groups["g"].leadership for e in self.edges.values()), 20
        )

    def start_core(self, n):
        b = self.cores[n].boot()
        s = ControlNode(
            ControlNodeIdentity(n, b.zone, [f"sim:{x}" for x in sorted(self.cores)]),
            NodeResources(
                b.clock, b.tasks, b.link, b.disk, random.Random(self.rng.random()), b.log
            ),
            self,
            SimWire(self, b),
            1_200_000,
            wall_clock=self.walls[n],
        )
        b.node = s
        s.start()

    def start_edge(self, n):
        b = self.edges[n].boot()
        rng = random.Random(self.rng.random())

        def near(zone):
            return 0 if zone == b.zone else 1

        core_connection = CoreConnection(
            b.clock, b.tasks, b.link, rng, n, [f"sim:{x}" for x in sorted(self.cores)], near, b.log
        )
        b.node = ProxyNode(
            n,
            b.zone,
            b.clock,
            b.tasks,
            rng,
            core_connection,
            SimWire(self, b),
            near,
            3_000_000,
            3_000_000,
            b.log,
        )
        b.node.start()

    async def until(self, ok, secs, what=""):
        end = self.loop.time() + secs
        while not ok():
            assert self.loop.time() < end, f"not within {secs} s: {what}"
            await asyncio.sleep(0.02)

    async def heard(self, core, doc):
        if self.cores[core].node is None:
            raise Unreachable("off")
        await self.cores[core].node.announce(doc)

    async def promote(self, group, name, fence, holder):
        """The platform."""
        await asyncio.sleep(0.3)
        if fence < self.fence or not self.members[name].machine.up:
            raise Unreachable("declined")
        self.fence = fence
        if self.members[name].role != "primary":
            self.term += 1
            for m in self.members.values():
                m.role = "primary" if m is self.members[name] else "replica"
                m.held = 0

    async def call(self, fn, secs=60):
        """An operator's call to any core, until there is an outcome."""
        end, last = self.loop.time() + secs, None
        while True:
            for c in sorted(self.cores):
                s = self.cores[c].node
                if s is None or self.cores[c].frozen:
                    continue
                try:
                    return await asyncio.wait_for(fn(s), 25)
                except Duplicate as e:
                    return e.doc()
                except (Fault, asyncio.TimeoutError) as e:
                    last = e
                    if isinstance(e, Fault) and e.status in (400, 422):
                        raise
            assert self.loop.time() < end, f"no core takes the call: {last!r}"
            await asyncio.sleep(0.2)

    async def embargo(self, do, thing, until=None, **kw):
        """Places, moves or lifts the embargo of one record; `until` in true time."""
        r = self.records.setdefault(thing, Record(thing))
        acked = r.said(self.true(), until)
        d = {"do": do, "name": "x-" + thing, "by": "op", **kw}
        if do == "add":
            d |= {"group": "g", **({} if "prefix" in kw else {"thing": thing})}
        if until is not None:
            d["until"] = format_instant(until)
        await self.call(lambda s: s.embargoes.change(d))
        acked(self.true())

    async def write(self, thing, data="secret"):
        """Writes a record through any edge, until that has an outcome."""
        for _ in range(200):
            for n, b in sorted(self.edges.items()):
                if b.node is None or b.frozen or b.node.state != "serving":
                    continue
                v = b.node.open("db", "writer")
                r = await b.node.serve_one(
                    v, Statement("w", "write", f"PUT {thing} {data}", writes=True)
                )
                b.node.close(v)
                if r.ok:
                    return
            await asyncio.sleep(0.1)
        raise AssertionError("no edge takes the write")

    def note(self, edge, thing, r, client=""):
        """Judges one reply."""
        now, x = self.true(), self.records.get(thing)
        if r.code == "withheld":
            self.refused += 1
            assert (r.rows, r.position, r.stamp) == ((), None, "-")
        if r.ok and r.rows:
            self.seen.append((now, edge, thing))
            if x is not None and client != "early" and not x.may_be_seen(now):
                self.bad.append((round(self.loop.time(), 3), edge, thing, x.states))

    async def read(self, n, thing, host="db", client="u", how="single"):
        """One read at an edge, judged."""
        b = self.edges[n]
        g, life = b.node, b.life
        if g is None or g.state != "serving":
            return None
        v = g.open(host, client)
        if how == "prepared":
            await g.serve_one(
                v,
                Statement("p", "prepare", "PREPARE q FETCH s1", name="q", prepared_text="FETCH s1"),
            )
            a = Statement(
                "r", "execute", f"EXECUTE q {thing}", name="q", data=thing, prepared_text="FETCH s1"
            )
        else:
            a = Statement("r", "read", f"FETCH {thing}")
        if how in ("reads", "writes"):
            await g.serve_one(v, Statement("b", "begin", "BEGIN", writes=how == "writes"))
        r = await g.serve_one(v, a)
        if b.life == life:
            self.note(n, thing, r, client)
        if how in ("reads", "writes"):
            await g.serve_one(v, Statement("e", "rollback", "ROLLBACK"))
        g.close(v)
        return r

    async def reader(self, n, thing, i):
        """Reads a record at an edge again and again, in every way."""
        b, r = self.edges[n], random.Random(f"{n}{thing}{i}")
        while self.reading:
            await asyncio.sleep(r.uniform(0.01, 0.06))
            if b.up and not b.frozen:
                t = b.tasks.spawn(
                    self.read(
                        n,
                        thing,
                        r.choice(("db", "old")),
                        "u",
                        r.choice(("single", "prepared", "reads", "writes")),
                    )
                )
                if t is not None:
                    await asyncio.wait([t], timeout=30)

    async def long_reader(self, n, thing, i):
        """Begins a transaction, waits, then reads in it several times."""
        b, r = self.edges[n], random.Random(f"long{n}{thing}{i}")
        while self.reading:
            await asyncio.sleep(r.uniform(0.05, 0.2))
            if b.up and not b.frozen:
                t = b.tasks.spawn(self._long(n, thing, r))
                if t is not None:
                    await asyncio.wait([t], timeout=60)

    async def _long(self, n, thing, r):
        b = self.edges[n]
        g, life = b.node, b.life
        if g is None or g.state != "serving":
            return
        v = g.open("db", "u")
        await g.serve_one(
            v, Statement("p", "prepare", "PREPARE q FETCH s1", name="q", prepared_text="FETCH s1")
        )
        await g.serve_one(v, Statement("b", "begin", "BEGIN", writes=r.random() < 0.5))
        await g.serve_one(v, Statement("r", "read", "FETCH other"))
        for _ in range(4):
            await b.clock.sleep(r.randrange(200_000, 2_000_000))
            a = r.choice(
                (
                    Statement("r", "read", f"FETCH {thing}"),
                    Statement(
                        "r",
                        "execute",
                        f"EXECUTE q {thing}",
                        name="q",
                        data=thing,
                        prepared_text="FETCH s1",
                    ),
                )
            )
            x = await g.serve_one(v, a)
            if b.life == life:
                self.note(n, thing, x)
        await g.serve_one(v, Statement("e", "rollback", "ROLLBACK"))
        g.close(v)

    def crowd(self, things, each=2):
        """Readers of every record at every edge."""
        return [
            asyncio.ensure_future(f(n, t, i))
            for n in self.edges
            for t in things
            for i, f in enumerate([self.reader] * each + [self.long_reader])
        ]

    async def settle(self, crowd):
        self.reading = False
        await asyncio.wait(crowd, timeout=120)

    def late(self, thing, until):
        """Seconds after the release until each edge first served the record."""
        out = {}
        for at, n, t in self.seen:
            if t == thing and at >= until:
                out.setdefault(n, (at - until) / 1e6)
        return out

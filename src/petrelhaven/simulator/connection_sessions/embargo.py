"""A fleet with embargoes: records placed, put off and lifted while faults happen and one core's clock steps."""

import asyncio
import json
import random

from petrelhaven.proxy.session.statement import Statement as ClientStatement
from petrelhaven.runtime.errors import DeadlineExceeded, Fault, NotSent
from petrelhaven.simulator.connection_sessions.attempt import Attempt
from petrelhaven.simulator.connection_sessions.fleet import SimulatedFleet
from petrelhaven.simulator.connection_sessions.front import Front
from petrelhaven.simulator.connection_sessions.statement import Statement

__all__ = ["BASE_US", "EmbargoedFleet", "EmbargoedRecord", "SimulatedWallClock"]

BASE_US = 1_780_000_000_000_000
_SECRET = "secret"
_READERS = 4
_STEPS = (-5_000_000, 5_000_000, -700_000, 700_000, 0)


class SimulatedWallClock:
    """A machine's time of day: true time and an error."""

    def __init__(self, true, off):
        self._true, self.off = true, off

    def now(self):
        """Microseconds of UTC, as this machine believes."""
        return self._true() + self.off


class EmbargoedRecord:
    """A record, and which release times may have been in force from when to when."""

    def __init__(self, thing):
        self.thing, self._states = thing, []

    @property
    def states(self):
        """[asked at, release time, no longer in force since] rows; the last only once a later one is acknowledged."""
        return self._states

    def said(self, now, until):
        """A release time is asked for (None: lifted); returns what is to be called when it is acknowledged."""
        n = len(self._states)
        self._states.append([now, until])

        def acknowledged(at):
            for s in self._states[:n]:
                if len(s) == 2:
                    s.append(at)

        return acknowledged

    def may_be_seen(self, now):
        """Whether some release time that may be in force at `now` has passed."""
        return any(
            (s[1] is None or s[1] <= now)
            for s in self._states
            if s[0] <= now and (len(s) == 2 or now < s[2])
        )


class EmbargoedFleet(SimulatedFleet):
    """A fleet whose groups are embargoed. Each reply of each edge is judged at the moment at which it is given."""

    def __init__(self, seed, records=3, **kw):
        super().__init__(seed, **kw)
        self._random = random.Random(seed * 31 + 7)
        self.walls = {
            c.name: SimulatedWallClock(self.true, self._random.randrange(-80_000, 80_000))
            for c in self.cores
        }
        self.records = {f"r{i}": EmbargoedRecord(f"r{i}") for i in range(records)}
        self.releases, self.served, self.withheld, self.late = {}, {}, 0, []
        self._reading, self._tasks = True, []

    def true(self):
        """True time in microseconds of UTC."""
        return BASE_US + int(self.loop.time() * 1e6)

    def wall_clock(self, b):
        """The wall clock of a core."""
        return self.walls[b.name]

    embargoed, spread_us = True, 2_000_000

    def configuration(self, version, **kw):
        """The text of a manifest that names every group as embargoed."""
        if not self.embargoed:
            return super().configuration(version, **kw)
        m = json.loads(super().configuration(version, **kw))
        m["bounds"]["spread_us"] = self.spread_us
        return json.dumps({**m, "embargoing": sorted(self.groups)})

    def boot_edge(self, b):
        """Powers an edge on, with the judge behind it."""
        super().boot_edge(b)
        real = b.node.serve_statement

        async def judged(v, a):
            r = await real(v, a)
            self._look(b.name, a, r)
            return r

        b.node.serve_statement = judged

    def _look(self, edge, a, r):
        if a.writes or a.verb not in ("read", "execute"):
            return
        thing = a.data if a.verb == "execute" else a.text.partition(" ")[2]
        x = self.records.get(thing)
        if x is None:
            return
        self.withheld += r.code == "withheld"
        if r.ok and any(_SECRET in str(y) for y in r.rows):
            now = self.true()
            self.served.setdefault((edge, thing), []).append(now)
            if not x.may_be_seen(now):
                self.find("EMBARGO", f"{edge} served {thing} at {now - BASE_US}: {x.states}")

    async def embargo(self, do, thing, until=None):
        """Places, moves or lifts one embargo; whether that was acknowledged."""
        from petrelhaven.runtime.instant import format_instant

        acknowledged = self.records[thing].said(self.true(), until)
        d = {"do": do, "name": "x-" + thing, "by": "drill"}
        if do == "add":
            d |= {"group": sorted(self.groups)[0], "thing": thing}
        if until is not None:
            d["until"] = format_instant(until)
        for i in range(200):
            c = self.cores[i % 3]

            async def there(c=c):
                if c.node is None:
                    raise NotSent(c.name)
                return await c.node.embargoes.change(d)

            try:
                await self.net.trip(self.out, c, there, 25_000_000, fresh=True)
            except Fault as e:
                if e.code != "duplicate":
                    await asyncio.sleep(0.2)
                    continue
            acknowledged(self.true())
            return True
        return False

    async def _ask(self, host, asks):
        b = self._random.choice(self.edges)
        try:
            c = await Front.open(self.net, self.out, b, host, 800_000)
        except Fault:
            return None
        t = Attempt(
            "embargo",
            sorted(self.groups)[0],
            self.stale_us if host.endswith("browse") else 0,
            any(a.verb == "begin" for a in asks),
        )
        self.history.attempts.append(t)
        r = None
        try:
            for a in asks:
                if a.verb == "prepare":
                    r = await self.out.clock.wait_for(c.ask(a), 3_000_000)
                else:
                    r = await self._told(t, c, a)
                if not r.ok:
                    break
        except Fault:
            return None
        finally:
            c.close()
        return r

    async def _told(self, t, c, a):
        text = a.data if a.verb == "execute" else a.text
        s = Statement(a.number, a.verb, text, a.prepared_text or None, {}, self.loop.time())
        t.statements.append(s)
        try:
            r = await self.out.clock.wait_for(c.ask(a), 3_000_000)
        except Fault as e:
            s.outcome = "silent" if isinstance(e, DeadlineExceeded) else "cut"
            raise
        finally:
            s.ended = self.loop.time()
        s.outcome, s.stamp, s.rows = r.code or "ok", r.stamp, tuple(r.rows)
        return r

    async def _life(self, thing):
        g, r = sorted(self.groups)[0], self._random
        await asyncio.sleep(r.uniform(0, 8))
        self.releases[thing] = self.true() + r.randrange(6_000_000, 22_000_000)
        if not await self.embargo("add", thing, self.releases[thing]):
            return self.find("stuck", f"embargo of {thing} is not acknowledged")
        for i in range(400):
            a = ClientStatement(f"{thing}.{i}", "write", f"put {thing} {_SECRET}", writes=True)
            x = await self._ask(g, [a])
            if x is not None and x.ok:
                break
            await asyncio.sleep(0.1)
        for _ in range(r.randrange(3)):
            await asyncio.sleep(r.uniform(0, 4))
            until = max(
                self.true() + 1_000_000, self.releases[thing] + r.randrange(-5_000_000, 6_000_000)
            )
            self.releases[thing] = until
            await self.embargo("move", thing, until)
        if r.random() < 0.2:
            await self.embargo("lift", thing)
            self.releases[thing] = min(self.releases[thing], self.true())

    async def _read(self, n):
        g, r, i = sorted(self.groups)[0], self._random, 0
        while self._reading:
            i += 1
            await asyncio.sleep(r.uniform(0.02, 0.1))
            thing, num = r.choice(sorted(self.records)), f"reader{n}.{i}"
            read = ClientStatement(num, "read", f"get {thing}")
            if r.random() < 0.4:
                read = ClientStatement(
                    num,
                    "execute",
                    f"execute q {thing}",
                    name="q",
                    data=thing,
                    prepared_text="get q0",
                )
            asks = [
                ClientStatement("p" + num, "prepare", "prepare", name="q", prepared_text="get q0")
            ]
            if r.random() < 0.4:
                asks.append(ClientStatement("b" + num, "begin", "begin", writes=r.random() < 0.5))
            await self._ask(g + r.choice(("", "-browse")), [*asks, read])

    async def _step(self):
        wall_clock = self.walls[self._random.choice(sorted(self.walls))]
        while self._reading:
            await asyncio.sleep(self._random.uniform(0.5, 4))
            wall_clock.off = self._random.choice(_STEPS)

    def start_clients(self, count, **kw):
        """Starts clients, and what happens to the embargoed records."""
        super().start_clients(count, **kw)
        lives = [self._life(t) for t in sorted(self.records)]
        self._tasks = [self.loop.create_task(c) for c in lives]
        for c in (self._step(), *(self._read(n) for n in range(_READERS))):
            self.loop.create_task(c)

    async def calm(self):
        """Waits until every record is released and served by every edge; then stops the clients."""
        await asyncio.gather(*self._tasks)
        await asyncio.sleep(max(0, (max(self.releases.values()) - self.true()) / 1e6))
        quiet = self.true()
        want = {(e.name, t) for e in self.edges for t in self.records}
        while not all(any(at >= quiet for at in self.served.get(k, ())) for k in want):
            if self.true() - quiet > 20_000_000:
                for k in sorted(want):
                    if not any(at >= quiet for at in self.served.get(k, ())):
                        self.find("not served after its release", " ".join(k))
                break
            await asyncio.sleep(0.1)
        self._reading = False
        await super().calm()

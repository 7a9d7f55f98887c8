"""A deployment at full size as real processes: the brief's load, idle sessions, seeded faults, a checked history."""

import asyncio
import collections
import random
import signal

from petrelhaven.simulator.fleet import Fleet
from petrelhaven.simulator.resumable.world import configuration
from petrelhaven.transport.http import fetch

__all__ = ["KINDS", "Soak"]

KINDS = [
    "edge_kill",
    "edge_freeze",
    "edge_warned",
    "edge_warned_late",
    "core_kill",
    "core_warned",
    "member_kill",
    "member_drain",
    "member_stall",
    "hall_cut",
    "platform_mute",
    "manifest",
]
_WRITES = {"nordvik": 31, "archivo": 52, "small": 20}
_STRONG, _BROWSE = 155, 70
_IDLE = 45


class Soak:
    """Plays one soak and reports counts and ratios; what was violated is its answer."""

    def __init__(self, folder, size, seed, secs, sessions=150, kinds=None, out=print):
        self.f = Fleet(folder, size, seed, cuts=True)
        self.size, self.seed, self.secs, self.sessions, self.out = size, seed, secs, sessions, out
        self.rng = random.Random(seed * 104729 + 7)
        self.kinds = kinds or KINDS
        self.gaps = collections.defaultdict(list)
        self.bad = []
        self.version = 1

    async def run(self):
        """The whole soak; the fleet is ended by id whatever happens."""
        f = self.f
        try:
            await f.start()
            await f.apart()
            self._start_clients()
            t0, burnt = f.now(), f.burnt()
            await f.clock.sleep(3_000_000)
            while f.now() - t0 < self.secs:
                k = self.rng.choice(self.kinds)
                t = f.now()
                try:
                    await getattr(self, "_" + k)()
                    await self._whole(k)
                except (asyncio.TimeoutError, TimeoutError, RuntimeError, OSError) as e:
                    self.bad.append(("not whole again", k, repr(e)))
                    break
                self.out(f"fault {k}: whole again after {f.now() - t:.1f} s")
            secs = f.now() - t0
            used = {k: v - burnt.get(k, 0) for k, v in f.burnt().items()}
            await f.calm()
            self.bad += await f.verdict()
            await self._report(secs, used)
        finally:
            await f.close()
        return self.bad

    def _start_clients(self):
        w = _WRITES[self.size]
        all_ = _STRONG + _BROWSE
        n = self.sessions - min(_IDLE, self.sessions // 3)
        mix = {"writes": w / all_, "browse": _BROWSE / all_, "txns": 0.01, "values": 0.02}
        scale = self.sessions / 150
        self.f.start_clients(n, pause=n / (all_ * scale), paced=True, **mix)
        self.f.start_clients(self.sessions - n, pause=12.0, **{**mix, "values": 0.4})

    async def _served(self, secs=12):
        t = self.f.now()
        try:
            return await self.f.served(secs)
        except AssertionError as e:
            self.bad.append(("service not back", secs, str(e)))
            return self.f.now() - t

    async def _whole(self, kind):
        self.gaps[kind].append(await self._served())
        f = self.f

        async def whole():
            s = await f.settled()
            return (
                s
                and len(s["view"]["chain"]) == 3
                and all(x[1] == "up" for x in s["edges"].values())
            )

        await f.until(whole, 40)

    async def _none(self):
        await self.f.clock.sleep(5_000_000)

    def _edge(self):
        return self.rng.choice([e._p.name for e in self.f.edges])

    async def _again(self, name):
        f = self.f
        await f.again(name)
        await f.procs[name].mark("started")
        if name[0] in "ce":
            await f.procs[name].mark("ready", 30)
            await f.apart()

    async def _edge_kill(self):
        n = self._edge()
        await self.f.stop(n)
        await self._served()
        await self._again(n)

    async def _edge_freeze(self):
        p = self.f.procs[self._edge()]
        p.poke(signal.SIGSTOP)
        await self.f.clock.sleep(int(self.rng.uniform(1, 6) * 1e6))
        p.poke(signal.SIGCONT)

    async def _warn(self, n, us):
        left = await self.f.load_balancer.stop(n, us)
        await self._served()
        await self._again(n)
        return left

    async def _edge_warned(self):
        n = self._edge()
        if not await self._warn(n, 15_000_000):
            self.bad.append(("not done when the warning ran out", n))

    async def _edge_warned_late(self):
        await self._warn(self._edge(), self.rng.randrange(400_000))

    async def _core_kill(self):
        n = self.rng.choice(["c1", "c2", "c3"])
        await self.f.stop(n)
        await self._served()
        await self._again(n)

    async def _core_warned(self):
        n = self.rng.choice(["c1", "c2", "c3"])
        if not await self._warn(n, 8_000_000):
            self.bad.append(("not done when the warning ran out", n))

    async def _primary(self):
        s = await self.f.until(self.f.head, 15)
        return s["epochs"][f"g{self.rng.randrange(self.f.z['groups']) + 1}"]["primary"]

    async def _member_kill(self):
        n = await self._primary()
        await self.f.stop(n)
        self.gaps["primary lost"].append(await self._served())
        await self._again(n)

    async def _switch(self, n, **kw):
        await fetch(self.f.procs[n].facts["http"], "POST", "/feint", doc=kw, http=self.f.http)

    async def _member_drain(self):
        n = await self._primary()
        await self._switch(n, draining=True)
        await self.f.clock.sleep(3_000_000)
        await self._switch(n, draining=False)

    async def _member_stall(self):
        n = await self._primary()
        ms = [m for m in self.f.procs if m[0] == "g" and m[:2] == n[:2] and m != n]
        m = self.rng.choice(ms)
        await self._switch(m, stall=True)
        await self.f.clock.sleep(int(self.rng.uniform(0.5, 4) * 1e6))
        await self._switch(m, stall=False)

    async def _hall_cut(self):
        f = self.f
        h = self.rng.choice(f.z["halls"])
        here = [n for n in f.procs if n[0] in "ce" and f.zone_of(n) == h]
        there = [n for n in f.procs if n[0] in "ce" and n not in here]
        await f.cut(here, there)
        self.gaps["hall's links cut"].append(await self._served())
        await f.clock.sleep(int(self.rng.uniform(0, 3) * 1e6))
        await f.cut(here + there, [])

    async def _platform_mute(self):
        f = self.f
        await fetch(
            f.procs["platform"].facts["http"], "POST", "/feint", doc={"unanswered": 1}, http=f.http
        )
        await self._member_drain()
        await fetch(
            f.procs["platform"].facts["http"], "POST", "/feint", doc={"unanswered": 0}, http=f.http
        )

    async def _manifest(self):
        self.version += 1
        await self.f.apply(configuration(self.size, self.version, lanes=self.rng.choice([1, 2, 3])))

    async def _report(self, secs, used):
        f, c = self.f, collections.Counter()
        for v in f.clients:
            c.update(v.count)
        clocks = collections.Counter()
        for e in f.edges:
            s = await fetch(e._p.facts["http"], "GET", "/status", http=f.http)
            for x in s["clocks"].values():
                clocks.update(x)
        ts = collections.Counter(h["t"] for h in f.hist)
        reads = sum(h["t"] == "read" and not h["browse"] for h in f.hist)
        browse = sum(h["t"] == "read" and h["browse"] for h in f.hist)
        self.out(f"seed {self.seed}, size {self.size}, {secs:.0f} s, {len(f.clients)} sessions")
        self.out(
            f"statements ok {c['ok']}, declined {c['declined']}, share declined "
            f"{c['declined'] / max(1, c['ok'] + c['declined']):.4f}"
        )
        self.out(
            f"a second: strong reads {reads / secs:.0f}, writes "
            f"{(ts['write'] + ts['once'] + ts['both']) / secs:.0f}, browsing reads {browse / secs:.0f}"
        )
        self.out(
            f"fetches a read (since each edge's last start) {clocks['fetches'] / max(1, clocks['reads']):.3f}"
        )
        for k, xs in sorted(self.gaps.items()):
            self.out(
                f"gap after {k}: median {sorted(xs)[len(xs) // 2]:.2f} s, longest {max(xs):.2f} s, {len(xs)} times"
            )
        for k, v in sorted(used.items()):
            self.out(
                f"processor time of {k}: {v / secs:.3f} of a core, all processes of it together"
            )

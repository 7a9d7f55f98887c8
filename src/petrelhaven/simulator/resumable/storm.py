"""Seeded schedules of faults against a simulated fleet; a violation is shrunk to few faults."""

import asyncio
import json
import random
import traceback

from petrelhaven.commands.diff import differences
from petrelhaven.runtime.errors import Fault
from petrelhaven.simulator.resumable.world import World, configuration
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

__all__ = ["KINDS", "back", "inside", "play", "run", "schedule", "shrink", "violation_line"]

KINDS = [
    "edge_kill",
    "edge_freeze",
    "edge_drain",
    "core_kill",
    "core_freeze",
    "core_disk",
    "core_torn",
    "core_all",
    "member_kill",
    "member_store",
    "member_dark",
    "member_stall",
    "member_drain",
    "unanswered",
    "cut_two",
    "cut_one",
    "isolate",
    "vanish",
    "platform",
    "operators",
    "hall",
    "noise",
    "edge_warned",
    "core_warned",
    "mute",
    "replace",
]


def schedule(seed, count=6, kinds=None, span=25.0):
    """Rows of (at second, kind, pick): what will happen."""
    r = random.Random(seed * 7919 + 17)
    out, t = [], 1.0
    for _ in range(count):
        t += r.uniform(0.2, 2 * span / count)
        k = r.choice(kinds or KINDS)
        out.append((round(t, 3), k, r.randrange(1 << 30)))
    return out


class _Storm:
    """Brings the faults of one schedule about."""

    def __init__(self, w):
        self.w = w
        self.version = 1
        self.lost_store = set()
        self.tasks = []
        self.acked = []
        self.emptying = False
        self.hit = {}
        self.replaced = set()

    def _whole(self):
        """No way is cut, every edge serves and every session has all the keepers it may have."""
        if any(self.w.net.cuts.values()):
            return False
        up = [b for b in self.w.edges if b.up and not b.frozen and b.node.ready]
        return len(up) == len(self.w.edges) and all(
            s.is_replicated
            and len(s.keepers) >= 2
            and all(b.node.control.lives(k) for k in s.keepers)
            for b in up
            for s in b.node.homes.values()
        )

    def _may(self, *zones):
        """A third hall's edges are hit only once the fleet is whole again: three may be all who hold a session."""
        now = self.w.loop.time()
        if self._whole():
            self.hit = {h: t for h, t in self.hit.items() if now - t < 0.5}
        if len({*self.hit, *zones}) > 2:
            return False
        self.hit.update({h: now for h in zones})
        return True

    def _disk_may_go(self, b):
        """A disk is lost only while the newest view counts on every other one: of two lost, no majority is left."""
        vs = [c.node.chain.view for c in self.w.cores if c.node and c.node.chain.view]
        v = max(vs, key=lambda v: v.number, default=None)
        return v is not None and all(
            c.node and v.is_member_disk(c.name, c.node.store.disk_id)
            for c in self.w.cores
            if c is not b
        )

    def go(self, kind, pick):
        """Starts one fault."""
        self.tasks.append(self.w.loop.create_task(getattr(self, "_" + kind)(random.Random(pick))))

    async def _edge_kill(self, r):
        b = r.choice(self.w.edges)
        if not self._may(b.zone):
            return
        b.kill()
        await asyncio.sleep(r.uniform(0.1, 5))
        if not b.up:
            self.w.boot_edge(b)

    async def _edge_freeze(self, r):
        b = r.choice(self.w.edges)
        if self._may(b.zone):
            b.freeze(int(r.uniform(0.2, 7) * 1e6))

    async def _edge_drain(self, r):
        b = r.choice(self.w.edges)
        if b.node is None or not self._may(b.zone):
            return
        life = b.life
        t = b.tasks.spawn(b.node.drain())
        try:
            await asyncio.wait_for(t, 20)
        except (asyncio.TimeoutError, asyncio.CancelledError):
            pass
        if b.life == life:
            b.kill()
        await asyncio.sleep(0.5)
        if not b.up:
            self.w.boot_edge(b)

    async def _core_kill(self, r):
        b = r.choice(self.w.cores)
        b.kill()
        await asyncio.sleep(r.uniform(0.1, 5))
        if not b.up:
            self.w.boot_core(b)

    async def _core_all(self, r):
        for b in self.w.cores:
            b.kill()
        await asyncio.sleep(r.uniform(0.1, 2))
        for b in r.sample(self.w.cores, 3):
            if not b.up:
                self.w.boot_core(b)
            await asyncio.sleep(r.uniform(0, 0.5))

    async def _core_freeze(self, r):
        r.choice(self.w.cores).freeze(int(r.uniform(0.2, 5) * 1e6))

    async def _core_disk(self, r):
        b = r.choice(self.w.cores)
        if not self._disk_may_go(b):
            return
        b.kill()
        b.disk.lose()
        await asyncio.sleep(r.uniform(0.1, 4))
        if not b.up:
            self.w.boot_core(b)

    async def _core_torn(self, r):
        b = r.choice(self.w.cores)
        b.disk.tear = True
        await asyncio.sleep(r.uniform(3, 6))
        b.disk.tear = False
        if not b.up:
            self.w.boot_core(b)

    def _member(self, r):
        return r.choice(sorted(self.w.members))

    async def _member_kill(self, r):
        n = self._member(r)
        b = self.w.members[n]
        if not b.up:
            return
        keep = b.node
        b.kill()
        await asyncio.sleep(r.uniform(0.2, 6))
        if not b.up:
            self.w.boot_member(n, keep)

    async def _member_store(self, r):
        n = self._member(r)
        b = self.w.members[n]
        if not b.up or n[:2] in self.lost_store or b.node.draining:
            return
        self.lost_store.add(n[:2])
        b.kill()
        await asyncio.sleep(r.uniform(0.2, 6))
        if not b.up:
            self.w.boot_member(n)

    async def _switch(self, r, name, most):
        m = self.w.members[self._member(r)].node
        if m:
            setattr(m, name, True)
            await asyncio.sleep(r.uniform(0.3, most))
            setattr(m, name, False)

    async def _member_dark(self, r):
        await self._switch(r, "dark", 5)

    async def _member_stall(self, r):
        await self._switch(r, "stall", 6)

    async def _member_drain(self, r):
        n = self._member(r)
        b = self.w.members[n]
        if not b.node:
            return
        m = b.node
        m.draining = True
        t0 = self.w.loop.time()
        life = b.life
        await asyncio.sleep(7.5)
        if b.life == life and m.draining and m.last_statement:
            late = (m.last_statement - (b.clock.now() - int((self.w.loop.time() - t0) * 1e6))) / 1e6
            if late > 7.0:
                self.w.net.findings.append(
                    (self.w.loop.time(), "statement to a leaving member", n, late)
                )
        await asyncio.sleep(1)
        m.draining = False

    async def _unanswered(self, r):
        g = r.choice(sorted({n[:2] for n in self.w.members}))
        for n, b in self.w.members.items():
            if n.startswith(g) and b.node and b.node.role == "primary":
                b.node.unanswered = r.randrange(1, 4)

    def _in(self, zone):
        return [b.name for b in self.w.net.machines.values() if b.zone == zone]

    async def _cut_two(self, r):
        a, b = r.sample(self.w.z["halls"], 2)
        self.w.net.cut(self._in(a), self._in(b), int(r.uniform(0.5, 8) * 1e6))

    async def _cut_one(self, r):
        a, b = r.sample(self.w.z["halls"], 2)
        self.w.net.cut(self._in(a), self._in(b), int(r.uniform(0.5, 8) * 1e6), both=False)

    async def _isolate(self, r):
        a = r.choice(self.w.z["halls"])
        if not self._may(a):
            return
        rest = [n for h in self.w.z["halls"] if h != a for n in self._in(h)] + ["platform"]
        self.w.net.cut(self._in(a), rest, int(r.uniform(1, 9) * 1e6))

    async def _vanish(self, r):
        a = r.choice(self.w.z["halls"])
        if not self._may(a):
            return
        bs = [b for b in self.w.net.machines.values() if b.zone == a and b.up]
        nodes = {b.name: b.node for b in bs}
        for b in bs:
            self.w.net.silent.add(b.name)
            b.kill(silent=True)
        await asyncio.sleep(r.uniform(6, 14))
        for b in bs:
            self.w.net.silent.discard(b.name)
            if b.up:
                continue
            if b in self.w.cores:
                self.w.boot_core(b)
            elif b in self.w.edges:
                self.w.boot_edge(b)
            else:
                self.w.boot_member(b.name, nodes[b.name])

    async def _platform(self, r):
        p = self.w.plat.node
        x = r.random()
        if x < 0.4:
            p.decline = True
        elif x < 0.8:
            p.slow_us = int(r.uniform(0.5, 3) * 1e6)
        else:
            self.w.net.cut(
                ["platform"], [n for n in self.w.net.machines if n != "platform"], 4_000_000
            )
        await asyncio.sleep(r.uniform(1, 5))
        p.decline, p.slow_us = False, 0

    async def _mute(self, r):
        self.w.plat.node.unanswered = r.randrange(1, 3)
        await asyncio.sleep(r.uniform(1, 6))
        self.w.plat.node.unanswered = 0

    async def _edge_warned(self, r):
        b = r.choice(self.w.edges)
        if b.up and self._may(b.zone):
            await self.w.load_balancer.stop(b.name, int(r.choice([0.1, 0.5, 6]) * 1e6))
            await asyncio.sleep(r.uniform(0.1, 3))
            if not b.up:
                self.w.boot_edge(b)

    async def _core_warned(self, r):
        b = r.choice(self.w.cores)
        if b.up:
            await self.w.load_balancer.stop(b.name, int(r.choice([0.1, 0.5, 6]) * 1e6))
            await asyncio.sleep(r.uniform(0.1, 3))
            if not b.up:
                self.w.boot_core(b)

    async def _replace(self, r):
        """A member makes room for one of a new name; once in a storm for each group."""
        n = self._member(r)
        g, old = n[:2], self.w.members[n]
        if old.node is None or g in self.replaced:
            return
        self.replaced.add(g)
        new = f"{g}m9"
        self.w.add_member(new, old.zone)
        for _ in range(200):
            await asyncio.sleep(0.1)
            if new in self.w.head_epochs().get(g, {"safe": []})["safe"]:
                break
        else:
            return
        for _ in range(150):
            if old.node is None:
                return
            old.node.draining = True
            e = self.w.head_epochs().get(g)
            if (
                e
                and n != e["primary"]
                and n not in e["hold"]
                and n not in e["gates"]
                and e["settled"]
            ):
                old.kill()
                return
            await asyncio.sleep(0.1)
        if old.node is not None:
            old.node.draining = False

    async def _operators(self, r):
        v = self.version
        self.version += 2

        async def one(n, by):
            try:
                x = await self.w.apply(configuration(self.w.size, n, **self.w.bounds), by)
                if "version" in x:
                    self.acked.append((self.w.loop.time(), n))
                    self._in_force(n)
            except Fault as e:
                if e.status not in (409, 503, 504):
                    self.w.net.findings.append((self.w.loop.time(), "operator", n, e.code))

        await asyncio.gather(
            one(v + 2, r.randrange(3)), one(v + 1, r.randrange(3)), one(v, r.randrange(3))
        )
        try:
            await self.w.apply('{"name": 3}', 1)
            self.w.net.findings.append((self.w.loop.time(), "invalid manifest taken", "", ""))
        except Fault as e:
            if e.status not in (422, 503, 504):
                raise

    def _in_force(self, n):
        for b in self.w.edges:
            e = b.node
            if e is None or b.frozen or not e.control.sends:
                continue
            d = e.control.control_state.doc["manifest"]
            if (d["version"] if d else 0) < n:
                self.w.net.findings.append(
                    (self.w.loop.time(), "acknowledged manifest not in force", b.name, n)
                )

    async def _hall(self, r):
        if self.emptying:
            return
        self.emptying = True
        h = r.choice(self.w.z["halls"])
        x = await self.w.zone(h, "emptied", r.randrange(3))
        if "change" in x:
            t0 = self.w.loop.time()
            await asyncio.sleep(5.0)
            marks = {n: b.clock.now() for n, b in self.w.members.items()}
            await asyncio.sleep(r.uniform(0.5, 4))
            for n, b in self.w.members.items():
                if b.zone == h and b.node and n in marks and b.node.last_statement > marks[n]:
                    self.w.net.findings.append(
                        (
                            self.w.loop.time(),
                            "statement to an emptied hall",
                            n,
                            self.w.loop.time() - t0,
                        )
                    )
        await self.w.zone(h, "open", r.randrange(3))
        self.emptying = False

    async def _noise(self, r):
        self.w.net.loss, self.w.net.double = r.uniform(0, 0.2), 0.1
        await asyncio.sleep(r.uniform(1, 5))
        self.w.net.loss = self.w.net.double = 0.0


async def play(w, rows, clients=12, settle=12.0):
    """Starts the world, brings the faults about under load, and returns what was violated."""
    await w.start()
    s = _Storm(w)
    w.start_clients(clients, pause=0.12)
    await asyncio.sleep(0.5)
    t0 = w.loop.time()
    for at, kind, pick in rows:
        await asyncio.sleep(max(0, t0 + at - w.loop.time()))
        s.go(kind, pick)
    await asyncio.gather(*s.tasks)
    end = w.loop.time()
    while any(w.net.cuts.values()) or any(b.frozen for b in w.net.machines.values()):
        if w.loop.time() > end + 30:
            raise AssertionError("cuts never heal")
        await asyncio.sleep(0.1)
    end = w.loop.time()
    bad = await back(w, settle)
    try:
        await w.calm()
    except AssertionError as e:
        bad.append(("visitors", str(e)))
    await asyncio.sleep(1)
    for _ in range(50):
        if not _agree(w, s):
            break
        await asyncio.sleep(0.1)
    return bad + w.verdict() + _agree(w, s)


async def back(w, secs):
    """Service must be back within `secs` of the last fault's end: a write and a strong read in each group."""
    end = w.loop.time() + secs
    from petrelhaven.simulator.load_client import LoadClient

    v = LoadClient(w, 9000, random.Random(1))
    sid = None
    for g in range(w.z["groups"]):
        n = 0
        while True:
            n += 1
            try:
                if sid is None:
                    sid = (await v._call(lambda e: e.open_session()))["session"]
                r = await v._call(
                    lambda e: e.statement(
                        sid,
                        {
                            "route": f"g{g + 1}",
                            "verb": "put",
                            "key": "back",
                            "value": n,
                            "try": g * 1000 + n,
                        },
                    )
                )
                if r["outcome"] == "kept":
                    r = await v._call(
                        lambda e: e.statement(
                            sid, {"route": f"g{g + 1}", "verb": "get", "key": "back"}
                        )
                    )
                    if r["value"] >= n:
                        break
            except Fault:
                pass
            if w.loop.time() > end:
                return [
                    (
                        "service not back",
                        v.last[-6:],
                        f"g{g + 1}",
                        secs,
                        w.head_epochs().get(f"g{g + 1}", {}).get("phase"),
                        [
                            c.node.duty.wait_reasons
                            for c in w.cores
                            if c.node and c.node.chain.is_head
                        ],
                    )
                ]
            await asyncio.sleep(0.1)
    return []


def _agree(w, s):
    out = []
    ns = [b.node for b in w.cores + w.edges if b.node]
    for n in ns[1:]:
        d = [
            x
            for x in differences(ns[0].reported_state(), n.reported_state())
            if x[0] != "view" and not x[0].startswith("kith")
        ]
        if d:
            out.append(("beliefs differ", ns[0].name, n.name, d[:3]))
    top = max([v for _, v in s.acked], default=1)
    have = ns[0].reported_state()["manifest"]
    if have < top:
        out.append(("acknowledged manifest lost", top, have))
    return out


def inside(fn, seed, size="small", **bounds):
    """Runs `await fn(world)` in virtual time from nothing; returns (its answer, world)."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)
    machine = {}

    async def go():
        machine["w"] = World(seed, size, **bounds)
        return await fn(machine["w"])

    try:
        return loop.run_until_complete(go()), machine["w"]
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


def run(seed, size="small", rows=None, clients=12, count=6, kinds=None, **bounds):
    """One seeded storm: (violations, world)."""

    async def go(w):
        try:
            return await play(
                w, rows if rows is not None else schedule(seed, count, kinds), clients
            )
        except AssertionError as e:
            return [("stuck", str(e))] + w.net.findings
        except Exception as e:
            return [("code", repr(e), traceback.format_exc()[-600:])] + w.net.findings

    return inside(go, seed, size, **bounds)


def shrink(seed, size="small", rows=None, tries=40, **kw):
    """The fewest faults of a schedule that still violate."""
    rows = list(rows if rows is not None else schedule(seed))
    again = True
    while again and len(rows) > 1:
        again = False
        for i in range(len(rows)):
            tries -= 1
            if tries < 0:
                return rows
            less = rows[:i] + rows[i + 1 :]
            if run(seed, size, less, **kw)[0]:
                rows, again = less, True
                break
    return rows


def violation_line(bad):
    """A violation as one line."""
    return json.dumps(bad, default=str)

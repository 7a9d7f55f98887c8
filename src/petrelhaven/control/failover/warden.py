"""The duty that moves offices: doubts looked into by several cores, replicas paused, the highest log elected."""

import asyncio

from petrelhaven.runtime.errors import (
    Busy,
    Fault,
    Fenced,
    Gone,
    Late,
    MemberFault,
    NotHead,
    Unreached,
    Unsent,
)
from petrelhaven.runtime.events import emit

__all__ = ["Warden"]

_TURN_US = 100_000
_LOOK_US = 400_000
_CALM_US = 600_000
_ASK_US = 600_000
_PLAN_US = 9_000_000
_STUCK_US = 900_000
_SOON_US = 60_000


class _Ward:
    """One member during a move: its connection and its last row."""

    __slots__ = ("name", "m", "conn", "row", "odd", "look")

    def __init__(self, name, m):
        self.name, self.m, self.conn, self.row, self.odd = name, m, None, None, ""
        self.look = None


class Warden:
    """Keeps a primary in office for each group; only the active head acts, fenced by the change's number."""

    def __init__(self, seat, platform):
        self.c, self.platform = seat, platform
        self.clock, self.nest, self.log = seat.clock, seat.nest, seat.log
        self.why = {}
        self._busy = {}
        self._doubts = {}
        self._calm, self._asked, self._well = {}, {}, {}
        self._resume = {}
        self._began = None

    @property
    def _doc(self):
        return self.c.chain.realm.doc

    def doubt(self, group, member, how):
        """Takes a doubt about a primary."""
        o = self._doc["offices"].get(group)
        if o and o["primary"] == member:
            self._doubts.setdefault(group, how)

    async def run(self):
        """Plans for good while this core is the active head; every core watches the beats that it hears itself."""
        while True:
            await self.clock.sleep(_TURN_US)
            c = self.c.chain
            if c.realm.manifest is None:
                continue
            self._silence()
            if not (c.head and c.active):
                self._began = None
                self._doubts.clear()
                continue
            if self._began is None:
                self._began = self.clock.now()
                self._resume = {
                    g: set(c.realm.group(g)) - {o["primary"]}
                    for g, o in self._doc["offices"].items()
                }
            for g in c.realm.manifest["groups"]:
                if g["name"] not in self._busy:
                    self._group(g["name"])

    def _silence(self):
        now = self.clock.now()
        us = self.c.beat_us
        for g, o in self._doc["offices"].items():
            at, _ = self.c.heard.get(o["primary"], (None, 0))
            if at is not None and 2.3 * us < now - at < 12 * us and o["phase"] == "serve":
                k = ("beat", g)
                if self._calm.get(k, 0) <= now:
                    self._calm[k] = now + us
                    del self.c.heard[o["primary"]]
                    self.nest.spawn(self.c.doubt(g, o["primary"], "no beats"))

    def _do(self, g, fn, *a):
        async def run():
            try:
                await fn(g, *a)
            except Fault as e:
                emit(self.log, 307, what=g, fault=e.code, note=e.note)
                await self.clock.sleep(200_000)
            finally:
                self._busy.pop(g, None)

        self._busy[g] = self.nest.spawn(run())

    def _group(self, g):
        o = self._doc["offices"].get(g)
        ms = self.c.chain.realm.group(g)
        if o is None:
            p = [n for n, m in ms.items() if m["role"] == "primary" and m["state"] == "ready"]
            if p:
                self._do(g, self._office, "serve", p[0], 0, "announced as primary")
            return
        if o["phase"] != "serve":
            return self._do(g, self._move, o["phase"] == "swap", o["cause"])
        p = ms.get(o["primary"])
        other = [n for n, m in ms.items() if m["role"] == "primary" and n != o["primary"]]
        if other and (p is None or p["role"] == "replica"):
            return self._do(g, self._adopt, other)
        if p is None:
            return self._do(g, self._move, False, "the primary has left")
        if g in self._doubts and self._calm.get(g, 0) <= self.clock.now():
            return self._do(g, self._doubted, p, self._doubts.pop(g))
        if p["state"] == "draining" or self.c.chain.realm.hall(p["hall"]) != "open":
            if self._heirs(g, o["primary"]):
                cause = (
                    "the primary is draining"
                    if p["state"] == "draining"
                    else f"hall {p['hall']} is emptied"
                )
                return self._do(g, self._move, True, cause)
            self.why[g] = "no heir for a planned move"
        if g in self._resume:
            return self._do(g, self._resumed)

    def _heirs(self, g, primary):
        r = self.c.chain.realm
        return [
            n
            for n, m in r.group(g).items()
            if n != primary and m["state"] == "ready" and r.hall(m["hall"]) == "open"
        ]

    async def _office(self, g, phase, primary, term, cause, stuck=False):
        o = self._doc["offices"].get(g)
        seq = await self.c.chain.enter(
            {
                "t": "office",
                "group": g,
                "n": (o["n"] if o else 0) + 1,
                "phase": phase,
                "primary": primary,
                "term": term,
                "cause": cause,
                "by": self.c.name,
                "stuck": stuck,
            }
        )
        emit(
            self.log,
            320 if phase == "serve" else 321,
            group=g,
            phase=phase,
            primary=primary,
            term=term,
            cause=cause,
        )
        return seq

    async def _ask(self, w, verb, *args):
        """One question to a member; its row. Opens the connection where there is none."""
        try:
            if w.conn is None or w.conn.lost:
                w.conn = await self.c.wire.open(w.m["addr"], w.m["group"], w.name, _ASK_US)
            w.row = await self.clock.limit(w.conn.own(verb, *args), _ASK_US)
            return w.row
        except Fault:
            if w.conn is not None:
                w.conn.close()
            w.conn = None
            raise

    async def look(self, name, m):
        """What this core sees of a member: `up` with its role, `refused` or `mute`."""
        w = _Ward(name, m)
        try:
            r = await self.clock.limit(self._ask(w, "status"), _LOOK_US)
            return "up:" + r["role"]
        except Busy:
            return "up:busy"
        except (Unsent, Gone) as e:
            return "mute" if e.note == "mute" else "refused"
        except (Late, Unreached):
            return "mute"
        except MemberFault:
            return "up:busy"
        finally:
            if w.conn is not None:
                w.conn.close()

    async def looked(self, ch, b):
        """Another core asks what this one sees."""
        return {"how": await self.look(b["member"], {"addr": b["addr"], "group": b["group"]})}

    async def _looks(self, name, m):
        """What the cores of the view that answer see, each for itself."""
        c = self.c
        v = c.chain.view

        async def one(n):
            if n == c.name:
                return await self.look(name, m)
            try:
                b = {"member": name, "addr": m["addr"], "group": m["group"]}
                return (await c.reach.call(n, "warden.look", b, _LOOK_US + 200_000))["how"]
            except Fault:
                return None

        got = await asyncio.gather(*[one(n) for n in v["chain"]])
        return [x for x in got if x], len(v["ids"])

    async def _doubted(self, g, p, how):
        o = self._doc["offices"][g]
        got, of = await self._looks(o["primary"], p)
        emit(self.log, 327, group=g, primary=o["primary"], doubt=how, seen=",".join(got))
        up = [x for x in got if x.startswith("up")]
        if up:
            if "up:replica" in up:
                await self._find(g)
            at, n = self._well.get(g, (0, 0))
            n = min(n + 1, 2) if self.clock.now() - at < 4_000_000 else 0
            self._well[g] = (self.clock.now(), n)
            self._calm[g] = self.clock.now() + (_CALM_US << n)
            return
        if len(got) <= of // 2:
            self.why[g] = "too few cores to tell whether the primary is dark"
            return
        await self._move(g, False, f"{how}; seen {','.join(got)}")

    async def _find(self, g):
        """The member that says itself that it is the primary, if the office names another."""
        o = self._doc["offices"][g]
        for n, m in self.c.chain.realm.group(g).items():
            w = _Ward(n, m)
            try:
                r = await self._ask(w, "status")
                if r["role"] == "primary" and n != o["primary"]:
                    return await self._office(g, "serve", n, r["term"], "found in office")
            except Fault:
                pass
            finally:
                if w.conn is not None:
                    w.conn.close()

    async def _adopt(self, g, others):
        await self._find(g)
        await self.clock.sleep(300_000)

    async def _move(self, g, planned, cause):
        """Moves the office: to the heir that provably has every acknowledged commit, or not at all."""
        o = self._doc["offices"][g]
        old = o["primary"]
        self.why.pop(g, None)
        self._asked[g] = o["phase"] != "serve"
        seq = await self._office(g, "swap" if planned else "move", old, o["term"], cause)
        wards = {}
        end = self.clock.now() + (_PLAN_US if planned else 1 << 60)
        late = self.clock.now() + _STUCK_US
        try:
            while self.c.chain.active and self.c.chain.head:
                ms = self.c.chain.realm.group(g)
                for n in [n for n in wards if n not in ms]:
                    w = wards.pop(n)
                    w.conn and w.conn.close()
                for n, m in ms.items():
                    wards.setdefault(n, _Ward(n, m))
                done = await self._step(g, planned, old, wards, seq)
                if done:
                    return
                if not planned and late is not None and self.clock.now() > late and g in self.why:
                    late = None
                    seq = await self._office(g, "move", old, o["term"], self.why[g], stuck=True)
                p = ms.get(old)
                if planned and p is None:
                    planned, end = False, 1 << 62
                if self.clock.now() > end:
                    await self._back(g, old, wards, "the planned move found no heir in time")
                    return
                await self.clock.sleep(60_000)
        finally:
            for w in wards.values():
                w.conn and w.conn.close()

    def _waits(self, g, note):
        if self.why.get(g) != note:
            emit(self.log, 328, group=g, note=note)
        self.why[g] = note
        return False

    async def _step(self, g, planned, old, wards, seq):
        """One attempt; true once the office has settled."""
        p = wards.get(old)
        reps = [w for n, w in wards.items() if n != old]
        if p is not None and (p.look is None or p.look.done()):
            p.look = self.nest.spawn(self._row(p))
        rows = await asyncio.gather(*[self._row(w) for w in reps])
        row = await self._soon(p.look, planned) if p is not None else None
        if row and row["role"] == "primary" and not planned:
            await self._back(g, old, wards, "the primary answers again")
            return True
        lead = next((w for w, r in zip(reps, rows) if r and r["role"] == "primary"), None)
        if lead is not None:
            await self._settle(g, lead, wards, old)
            return True
        if len(reps) < self._doc["sizes"].get(g, 1) - 1:
            return self._waits(g, "a member has left and none has come for it yet")
        if any(r is None for r in rows) or not reps:
            odd = [f"{w.name} {w.odd}" for w, r in zip(reps, rows) if r is None]
            return self._waits(g, "not heard: " + ", ".join(odd))
        term = max([r["term"] for r in rows] + ([row["term"]] if row else [])) + 1
        ok = set(self._heirs(g, old))
        if planned and row and row["role"] == "primary":
            heirs = [w for w in reps if w.name in ok and not w.row["held"]] or [
                w for w in reps if w.name in ok
            ]
            if not heirs:
                return self._waits(g, "no heir for a planned move")
            heir = max(heirs, key=lambda w: (w.row["pos"], w.name))
            if heir.row["held"] and not await self._own(heir, "resume"):
                return False
            still = [w for w in reps if w is not heir]
            rest = await asyncio.gather(*[self._own(w, "pause", term) for w in still])
            if not all(rest) or not await self._caught_up(p, heir):
                return self._waits(g, f"{heir.name} catches up with {old}")
        else:
            still = reps
            rest = await asyncio.gather(*[self._own(w, "pause", term) for w in still])
            if not all(rest):
                return self._waits(g, "a replica could not be paused")
            best = max(w.row["pos"] for w in reps)
            heirs = [w for w in reps if w.row["pos"] == best]
            heir = min(heirs, key=lambda w: (w.name not in ok, w.m["hall"] != self.c.hall, w.name))
        await self.c.desk.in_force(seq)
        again = await asyncio.gather(*[self._row(w) for w in still])
        if any(r is None or r["held"] < term or r["role"] == "primary" for r in again) or (
            set(self.c.chain.realm.group(g)) - {old} != {w.name for w in reps}
        ):
            return self._waits(g, "what was paused is not any more")
        return await self._promote(g, heir, wards, old, seq)

    async def _row(self, w):
        try:
            return await self._ask(w, "status")
        except Fault as e:
            w.odd = f"{e.code} {e.note}"
            return None

    async def _soon(self, look, planned):
        """The old primary's row; one that is taken for dark is not waited for."""
        try:
            return await self.clock.limit(look, _ASK_US if planned else _SOON_US, keep=True)
        except Late:
            return None

    async def _own(self, w, verb, *args):
        try:
            r = await self._ask(w, verb, *args)
        except Fault:
            return False
        return verb != "pause" or r["held"] >= args[0]

    async def _caught_up(self, p, heir):
        """Whether the heir holds all that the primary had after the others were paused."""
        r = await self._row(p)
        if r is None or r["role"] != "primary":
            return False
        end = self.clock.now() + 1_500_000
        while self.clock.now() < end:
            h = await self._row(heir)
            if h is None:
                return False
            if h["pos"] >= r["pos"]:
                return True
            await self.clock.sleep(20_000)
        return False

    async def _promote(self, g, heir, wards, old, seq):
        if not (self.c.chain.active and self.c.chain.head):
            raise NotHead("not the active head any more")
        self._asked[g] = True
        emit(self.log, 326, group=g, heir=heir.name, pos=heir.row["pos"], fence=seq)
        wait = 300_000
        try:
            await self.platform.promote(g, heir.name, seq, self.c.name)
            wait = 5_000_000
        except Fenced as e:
            emit(self.log, 323, group=g, target=heir.name, fault=e.code, note=e.note)
            raise
        except Unsent as e:
            emit(self.log, 323, group=g, target=heir.name, fault=e.code, note=e.note)
        except Fault as e:
            emit(self.log, 323, group=g, target=heir.name, fault=e.code, note=e.note)
            wait = 2_500_000
        end = self.clock.now() + wait
        while self.clock.now() < end:
            r = await self._row(heir)
            if r and r["role"] == "primary":
                await self._settle(g, heir, wards, old)
                return True
            await self.clock.sleep(40_000)
        return False

    async def _settle(self, g, heir, wards, old):
        await self._office(g, "serve", heir.name, heir.row["term"], f"elected after {old}")
        emit(self.log, 324, group=g, primary=heir.name, term=heir.row["term"])
        self.why.pop(g, None)
        self._calm[g] = self.clock.now() + 1_000_000
        self._doubts.pop(g, None)
        self._resume[g] = {w.name for w in wards.values() if w is not heir}
        await self._resumed(g, wards)

    async def _back(self, g, old, wards, cause):
        if self._asked.get(g):
            o = self._doc["offices"][g]
            seq = await self._office(
                g, o["phase"], old, o["term"], "calls that may be under way are fenced off"
            )
            await self.platform.promote(g, old, seq, self.c.name)
            self._asked[g] = False
        await self._office(g, "serve", old, self._doc["offices"][g]["term"], cause)
        self.why.pop(g, None)
        self._calm[g] = self.clock.now() + _CALM_US
        self._resume[g] = {n for n in wards if n != old}
        await self._resumed(g, wards)

    async def _resumed(self, g, wards=None):
        """Has every paused replica receive again; those that don't answer are asked again later."""
        left = self._resume[g]
        ms = self.c.chain.realm.group(g)
        mine = wards or {n: _Ward(n, m) for n, m in ms.items()}
        try:
            for n in sorted(left):
                w = mine.get(n)
                if n not in ms or w is None:
                    left.discard(n)
                elif await self._own(w, "resume"):
                    left.discard(n)
        finally:
            if wards is None:
                for w in mine.values():
                    w.conn and w.conn.close()
        if left:
            await self.clock.sleep(200_000)
        else:
            self._resume.pop(g, None)

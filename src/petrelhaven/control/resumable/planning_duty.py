"""The planning duty: done by the head alone, fenced by the epoch's number and the view."""

import asyncio

from petrelhaven.control.leases import LAPSE_US, LEASE_US
from petrelhaven.control.resumable.plan import GroupObservation, after, step
from petrelhaven.runtime.errors import DeadlineExceeded, Fault, Malformed
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind

__all__ = ["PlanningDuty"]

_TURN_US = 80_000
_FORGET_US = 600_000_000
_REKEEP_US = LAPSE_US + 2_500_000


class PlanningDuty:
    """Watches members and edges, decides epochs, asks the platform to promote."""

    def __init__(self, clock, tasks, chain, lease_table, roster, call, platform, log=None):
        self.clock, self.tasks, self.chain, self.lease_table, self.roster = (
            clock,
            tasks,
            chain,
            lease_table,
            roster,
        )
        self._call, self.platform, self.log = call, platform, log
        self.heard = {}
        self._others = {}
        self._forced = {}
        self._forcing = {}
        self._busy = {}
        self._targets = {}
        self._since = {}
        self._tracks = {}
        self._odd = {}
        self._catch = {}
        self._let_go, self._born = {}, {}
        self._began = None
        self.why = {}

    def announce(self, d):
        """Takes a member's announcement."""
        now = self.clock.now()
        old = self.heard.get(d["member"])
        if old and old["doc"]["boot"] == d["boot"] and old["doc"].get("beat", 0) > d.get("beat", 0):
            return
        self.heard[d["member"]] = {"doc": d, "at": now}

    def _forget(self, now):
        es = self.chain.control_state.doc["epochs"].values()
        roles = {n for e in es for n in (e["primary"], *e["hold"], *e["safe"])}
        for n in [
            n for n, h in self.heard.items() if now - h["at"] > _FORGET_US and n not in roles
        ]:
            del self.heard[n]

    async def told(self, ch, b):
        """Answers another core: what members and edges said here, with ages."""
        now = self.clock.now()
        return {
            "doc": {
                "members": {
                    m: {"doc": h["doc"], "age": now - h["at"]} for m, h in self.heard.items()
                },
                "edges": {e: t - now for e, t in self.lease_table.live.items()},
            }
        }

    async def run(self):
        """Plans for good while this core is the active head."""
        self.tasks.spawn(self._listen())
        while True:
            await self.clock.sleep(_TURN_US)
            c = self.chain
            self._forget(self.clock.now())
            if not (c.head and c.active):
                self._began = None
                self._forced.clear()
                self._targets.clear()
                continue
            now = self.clock.now()
            if self._began is None:
                self._began = now
                self._since.clear()
            m = c.control_state.configuration
            if m is None:
                continue
            self._edges(now)
            ms = self._members(now)
            for g in m.groups:
                if g.name not in self._busy:
                    self._group(g, m, ms, now)

    async def _listen(self):
        while True:
            v = self.chain.view
            if v and self.chain.head:
                for n in v.ids:
                    if n != self.chain.me:
                        self.tasks.spawn(self._hear(n))
            await self.clock.sleep(200_000)

    async def _hear(self, n):
        at = self.clock.now()
        try:
            r = await self._call(n, MessageKind.PLANNER_OBSERVATIONS, {"name": self.chain.me}, 400_000)
            self._others[n] = (at, r["doc"])
        except Fault:
            pass

    def _members(self, now):
        out = {}
        src = [
            (
                self.chain.me,
                now,
                {m: {"doc": h["doc"], "age": now - h["at"]} for m, h in self.heard.items()},
            )
        ]
        src += [(n, at, d["members"]) for n, (at, d) in sorted(self._others.items())]
        for who, at, ms in src:
            for n, h in ms.items():
                age = h["age"] + now - at
                d = h["doc"]
                o = out.get(n)
                if (
                    o is None
                    or (d["boot"] == o["boot"] and d.get("beat", 0) > o.get("beat", 0))
                    or (d["boot"] != o["boot"] and age < o["age"])
                ):
                    out[n] = {
                        **d,
                        "age": min(age, o["age"]) if o and o["boot"] == d["boot"] else age,
                        "by": o["by"] if o else [],
                    }
                elif d["boot"] == o["boot"]:
                    o["age"] = min(o["age"], age)
                if age < 1_000_000:
                    out[n]["by"] = sorted(set(out[n]["by"]) | {who})
        return out

    def _edges(self, now):
        seen = {}
        for e, t in self.lease_table.live.items():
            seen[e] = max(seen.get(e, -1 << 60), t - now)
        for at, d in self._others.values():
            for e, left in d["edges"].items():
                seen[e] = max(seen.get(e, -1 << 60), left - (now - at))
        for n, e in sorted(self.chain.control_state.doc["edges"].items()):
            if ("edge", n) in self._busy:
                continue
            if e["state"] == "gone":
                if not e.get("lapsed") and now - self._began > LAPSE_US:
                    self._do(("edge", n), self._lapse, n, e["inc"], self.chain.control_state.seq)
                continue
            born = self._born.setdefault((n, e["inc"]), now)
            if (
                sum(h != e["hall"] and now - t < _REKEEP_US for h, t in self._let_go.items())
                >= self._keepers()
                or now - self._began < 300_000
            ):
                continue
            quiet = max(seen.get(n, -1 << 60), born + 2 * LEASE_US - now)
            st = self.roster.state(n)
            p = self.roster.peers.get(n)
            lost = st == "gone" and p.incarnation >= e["inc"] and seen.get(n, 0) < 600_000
            mute = (
                quiet < -2_500_000
                and now - self._began > 2_500_000
                and self.lease_table.floor <= now
            )
            if lost or mute:
                self._let_go[e["hall"]] = now
                emit(self.log, Events.PROXY_GONE, edge=n, incarnation=e["inc"], kith=st, lease_us=quiet)
                self._do(("edge", n), self._gone, n, e["inc"], st)

    def _keepers(self):
        m = self.chain.control_state.configuration
        return min(m.bounds.keepers, 2) if m else 1

    async def _gone(self, n, incarnation, st):
        seq = await self.chain.enter(
            {
                "t": "edge",
                "name": n,
                "inc": incarnation,
                "state": "gone",
                "cause": f"kith: {st}, no lease",
                "by": self.chain.me,
            }
        )
        await self._lapse(n, incarnation, seq)

    async def _lapse(self, n, incarnation, seq):
        await self.lease_table.in_force(seq)
        await self.chain.enter({"t": "lapse", "name": n, "inc": incarnation})

    def _do(self, key, fn, *a):
        async def run():
            try:
                await fn(*a)
            except Fault as e:
                emit(self.log, Events.RECORD_DECLINED, what=str(key), fault=e.code, note=e.note)
                await self.clock.sleep(100_000)
            finally:
                self._busy.pop(key, None)

        self._busy[key] = self.tasks.spawn(run())

    def _group(self, g, m, ms, now):
        c = self.chain
        e = c.control_state.doc["epochs"].get(g.name)
        mine = {n: d for n, d in ms.items() if d["group"] == g.name}
        self._track(g, m, mine, e, now)
        n = e["n"] if e else 0
        key = (g.name, n)
        if e and key not in self._forced and key not in self._forcing:
            self._prune(g.name, n)
            self._forcing[key] = self.tasks.spawn(self._force(key, e, c.control_state.seq))
        if e and key in self._forced and not e["settled"] and e["phase"] == "serve":
            self._do(g.name, c.enter, {"t": "settle", "group": g.name, "n": n})
            return
        if e and now - self._began < m.bounds.lost_us and any(x not in mine for x in e["where"]):
            self.why[g.name] = "members are being heard again"
            return
        s = self._observe_group(g, m, e, mine, now)
        verb, arg = step(s)
        if self.why.get(g.name) != arg and verb == "wait":
            if arg.startswith("no safe"):
                emit(self.log, Events.NO_SAFE_CANDIDATE, group=g.name, note=arg)
            self.why[g.name] = arg
        if verb == "epoch":
            self._do(g.name, self._epoch, arg)
        elif verb == "promote":
            self._targets[key] = arg
            self._do(g.name, self._promote, g, m, key, arg)

    def _prune(self, g, n):
        for d in (self._forced, self._catch, self._targets):
            for k in [k for k in d if k[0] == g and k[1] < n]:
                del d[k]

    def _observe_group(self, g, m, e, mine, now):
        key = (g.name, e["n"] if e else 0)
        d = self.chain.control_state.doc
        past = d["past"].get(g.name)
        last = e["n"] if e else (past[-1]["n"] if past else 0)
        return GroupObservation(
            g,
            m.bounds,
            e,
            last,
            mine,
            [n for n, x in d["edges"].items() if x["state"] != "gone"],
            d["halls"],
            key in self._forced,
            {"catch": self._catch.get(key, 1 << 62)},
            self._waited(g.name, e, mine, d, now),
            self._targets.get(key),
        )

    def _waited(self, g, e, mine, d, now):
        p = mine.get(e["primary"]) if e else None
        leaving = bool(p) and (p["draining"] or d["halls"].get(p["hall"], "open") != "open")
        k = (
            g,
            e["n"] if e else 0,
            e["phase"] if e else "",
            leaving,
            (g, e["n"] if e else 0) in self._forced,
        )
        if e and e["phase"] == "serve":
            k = (g, leaving)
        if self._since.get(g, (None, 0))[0] != k:
            self._since[g] = (k, now)
        return now - self._since[g][1]

    def _track(self, g, m, mine, e, now):
        p = (
            mine.get(e["primary"])
            if e
            else next((d for d in mine.values() if d["role"] == "primary"), None)
        )
        t = self._tracks.setdefault(g.name, [])
        if p and p["age"] < 600_000:
            if not t or t[-1][1] != p["log"] or now - t[-1][0] > 300_000:
                t.append((now - p["age"], p["log"]))
        while len(t) > 1 and t[1][0] < now - m.bounds.stall_us:
            t.pop(0)
        was = t[0][1] if t and t[0][0] <= now - m.bounds.stall_us else 0
        pl = p["log"] if p else 0
        if p:
            k = (g.name, e["n"] if e else 0)
            if p["role"] == "primary" or self._odd.get(g.name, (None, 0))[0] != k:
                self._odd[g.name] = (k, now)
            p["odd"] = now - self._odd[g.name][1]
        for d in mine.values():
            d["stalled"] = d["log"] < was
            d["near"] = d["log"] >= pl - 200 and not d["stalled"]
        if e and (g.name, e["n"]) in self._forced and p:
            k = (g.name, e["n"])
            if k not in self._catch and now - p["age"] > self._forced[k]:
                self._catch[k] = p["log"]

    async def _force(self, key, e, seq):
        try:
            await self.lease_table.in_force(seq, e["grace"], horizon=60_000_000)
            self._forced[key] = self.clock.now()
        except Fault:
            pass
        finally:
            self._forcing.pop(key, None)

    async def _epoch(self, rec):
        rec = {**rec, "by": self.chain.me, "view": self.chain.view.number}
        await self.chain.enter(rec)
        emit(
            self.log,
            Events.GROUP_HALTED if rec["phase"] == "halt" else Events.LEADERSHIP_CHANGED,
            group=rec["group"],
            n=rec["n"],
            primary=rec["primary"],
            hold=",".join(rec["hold"]),
            safe=",".join(rec["safe"]),
            cause=rec["cause"],
        )

    async def _asked(self, g, target, key):
        """Asks the platform; a target that announces the office under this epoch is answer enough."""
        t = asyncio.ensure_future(self.platform.promote(g.name, target, key[1], self.chain.me))
        end = self.clock.now() + 4_000_000
        try:
            while True:
                try:
                    r = await self.clock.limit(t, 200_000, keep=True)
                    for k, want in (("primary", target), ("epoch", key[1])):
                        if r.get(k) != want:
                            raise Malformed(
                                f"platform answer: {k} must be {want}, is {str(r.get(k))[:40]}"
                            )
                    return r
                except DeadlineExceeded:
                    d = self._members(self.clock.now()).get(target)
                    if d and d["role"] == "primary" and d["term"] == key[1]:
                        emit(self.log, Events.PROMOTION_OBSERVED, group=g.name, primary=target, epoch=key[1])
                        return None
                    if t.done() or self.clock.now() >= end:
                        raise
        finally:
            t.cancel()

    async def _promote(self, g, m, key, target):
        if not self.chain.active:
            return
        try:
            await self._asked(g, target, key)
        except Fault as f:
            emit(
                self.log, Events.PLATFORM_DECLINED, group=g.name, target=target, epoch=key[1], fault=f.code, note=f.note
            )
            self.why[g.name] = f"platform: {f.code} {f.note}"
            if f.code == "fenced":
                e = self.chain.control_state.doc["epochs"].get(g.name)
                if e and e["n"] == key[1]:
                    await self._epoch(
                        {
                            **{k: v for k, v in e.items() if k not in ("settled", "before", "seq")},
                            "t": "epoch",
                            "n": e["n"] + 1,
                            "cause": "promotion fenced: " + f.note,
                        }
                    )
            else:
                await self.clock.sleep(250_000)
            return
        emit(self.log, Events.PRIMARY_PROMOTED, group=g.name, primary=target, epoch=key[1])
        now = self.clock.now()
        e = self.chain.control_state.doc["epochs"].get(g.name)
        if not e or e["n"] != key[1]:
            return
        mine = {n: d for n, d in self._members(now).items() if d["group"] == g.name}
        self._track(g, m, mine, e, now)
        await self._epoch(after(self._observe_group(g, m, e, mine, now), target))

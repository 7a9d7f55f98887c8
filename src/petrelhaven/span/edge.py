"""An edge machine: control tie, troops, sessions and their keepers put together."""
import asyncio
import collections

from transitions import Machine

from ..creed.event import emit
from ..creed.fault import Busy, Fault, Late, Malformed, Moving, NoLease, NoSession, NotReady, Unsent, rebuild
from ..creed.reach import Reach
from ..helm.manifest import Bounds
from ..kith.probe import Prober
from ..kith.roster import Roster
from .clock import Order
from .control import Control
from .flow import WRITES, Flow
from .keep import Keeper
from .session import Session
from .slab import Slab
from .troop import Troop

__all__ = ["Edge"]


class Edge:
    """One edge daemon's logic; clock, link and wire are given."""

    states = ["starting", "serving", "emptied", "leaving", "left"]

    def __init__(self, name, hall, seeds, clock, nest, link, rng, wire, inc, http="", log=None, vary=None):
        self.name, self.hall = name, hall
        self.clock, self.nest, self.link, self.rng, self.wire, self.log = clock, nest, link, rng, wire, log
        self.http, self._vary = http, vary
        self.roster = Roster(clock, (name, "edge", hall, link.addr, inc), log)
        self.reach = Reach(clock, link, self.roster, rng)
        self.prober = Prober(clock, link, nest, rng, self.roster, seeds)
        self.control = Control(clock, nest, link, rng, name, inc, seeds,
                               lambda: {"hall": hall, "addr": link.addr, "http": self.http}, log)
        self.order = Order()
        self.slab = Slab(clock)
        self.homes = {}
        self.keeper = Keeper(clock, nest, rng, self.control, self.reach, self.homes, hall, log)
        self.flow = Flow(self)
        self.routes, self.troops = {}, {}
        self._at = {}
        self._std = Bounds()
        self.sent = 0
        self.waits = collections.Counter()
        Machine(self, states=self.states, initial="starting", auto_transitions=False, transitions=[
            {"trigger": "serve", "source": ["starting", "emptied"], "dest": "serving"},
            {"trigger": "empty", "source": ["starting", "serving"], "dest": "emptied"},
            {"trigger": "leave", "source": "*", "dest": "leaving"},
            {"trigger": "end", "source": "leaving", "dest": "left"}])
        self.control.on_change.append(self._changed)
        self.control.on_lapse.append(self._let_go)
        self.control.on_anew.append(self.keeper.clear)
        for k, f in {"span.where": self._where, "span.deliver": self._delivered, "span.keep": self.keeper.hold,
                     "span.take": self.keeper.take, "span.drop": self.keeper.drop, "creed.belief": self._belief}.items():
            link.on(k, f)

    def start(self):
        """Starts the edge's tasks."""
        emit(self.log, 101, name=self.name, hall=self.hall, addr=self.link.addr)
        self.nest.spawn(self.prober.run())
        self.control.start()

    def bounds(self):
        """The bounds in force."""
        m = self.control.realm.manifest
        return m.bounds if m else self._std

    def sends(self, post):
        """Whether a statement may go to `post` now; asked right before each send."""
        return self.control.sends and (post.stop_at is None or self.clock.now() < post.stop_at)

    @property
    def ready(self):
        """Whether the platform should send new connections here."""
        return self.state == "serving" and self.control.sends and bool(self.troops)

    def _changed(self, recs):
        r = self.control.realm
        m = r.manifest
        kinds = {x["t"] for _, x in recs} if recs is not None else {"manifest", "epoch", "hall", "edge"}
        if m is not None and "manifest" in kinds:
            self.routes = {x.name: x for x in m.routes}
            self.slab.resize(m.bounds.slots)
            for g in [g for g in self.troops if g not in {x.name for x in m.groups}]:
                self.troops.pop(g).close()
        calm = []
        if kinds & {"epoch", "settle", "hall", "manifest"}:
            for g, e in sorted(r.doc["epochs"].items()):
                calm += self._follow(g, e)
        if calm:
            self.control.hold_ack(r.seq, self.nest.spawn(self._calm(calm)))
        self.keeper.changed(recs)
        self._turn()

    def _turn(self):
        r = self.control.realm
        if self.state in ("leaving", "left") or r.manifest is None:
            return
        if r.hall(self.hall) != "open":
            if self.state != "emptied":
                self.empty()
                self.nest.spawn(self._hand_all())
        elif self.state != "serving":
            self.serve()
            emit(self.log, 102, name=self.name)

    def _follow(self, g, e):
        t = self.troops.get(g)
        if t is None:
            t = self.troops[g] = Troop(g, self.clock, self.nest, self.order, self.wire, self.sends, self.bounds, self._vary)
        old = t.epoch
        for p in t.turn(e, lambda n: self.control.realm.share(g, self.name, n), self.control.realm.hall):
            self.clock.later(p.stop_at - self.clock.now(), lambda p=p, t=t: self._stop(t, p))
        calm = [self.nest.spawn(self._within(p)) for p in t.posts.values() if p.pool.total > p.pool.share]
        if old and old["primary"] and (e["phase"] == "halt" and old["phase"] == "serve" or old["primary"] != e["primary"]):
            calm.append(self.nest.spawn(self._quiet(t, old["primary"], e["grace"] if e["phase"] == "halt" else 0)))
        return calm

    async def _calm(self, ts):
        await asyncio.gather(*ts, return_exceptions=True)

    async def _within(self, p):
        try:
            await self.clock.limit(p.pool.calm(), 1_000_000)
        except Late:
            for s in list(self.homes.values()):
                if s.txn is not None and s.txn.pool is p and p.pool.total > p.pool.share:
                    self.end_txn(s)
            for c in list(p.pool.busy)[:max(0, p.pool.total - p.pool.share)]:
                p.pool.drop(c)

    async def _quiet(self, t, name, grace):
        p = t.posts.get(name)
        end = self.clock.now() + grace
        while p is not None and self.clock.now() < end:
            if not p.writes and not any(s.txn is not None and s.txn.pool is p and s.txn.mode == "write" for s in self.homes.values()):
                return
            await self.clock.sleep(20_000)
        for s in list(self.homes.values()):
            if s.txn is not None and s.txn.member == name and s.txn.route == t.name and s.txn.mode == "write":
                self.end_txn(s)

    def _stop(self, t, p):
        if p.stop_at is None or self.clock.now() < p.stop_at:
            return
        for s in list(self.homes.values()):
            if s.txn is not None and s.txn.pool is p:
                self.end_txn(s)
        p.pool.close()

    def _let_go(self):
        for s in list(self.homes.values()):
            if s.txn is not None:
                self.end_txn(s)
        for t in self.troops.values():
            for p in t.posts.values():
                p.pool.let_go()

    def end_txn(self, s, clean=False):
        """Ends a session's transaction; without `clean` its connection is closed, so the member drops it."""
        x, s.txn = s.txn, None
        if x is not None:
            x.pool.pool.give(x.conn) if clean and not x.conn.lost else x.pool.pool.drop(x.conn)

    def watch_txn(self, s, x):
        """Ends a transaction that its visitor left idle past the bound."""
        def look():
            if s.txn is x:
                left = x.since + self.bounds().idle_txn_us - self.clock.now()
                if left > 0:
                    self.clock.later(left, look)
                else:
                    self.end_txn(s)
        self.clock.later(self.bounds().idle_txn_us, look)

    def pick(self, t, pos, bad):
        """A replica for a read, by weight; those known to hold `pos` first."""
        ps = [t.posts[n] for n in t.epoch["gates"] if n not in bad and n in t.posts]
        ps = [p for p in ps if self.sends(p) and p.pool.limit > 0 and not p.pool.closed]
        if not ps:
            return None
        ahead = [p for p in ps if p.tide.log >= pos] or ps
        ws = [p.pool.limit * (2 if p.hall == self.hall else 1) for p in ahead]
        return self.rng.choices(ahead, ws)[0]

    async def held(self, t, primary, term, pos):
        """Whether every in-sync replica's log came to hold `pos` within the bound, under a lease."""
        end = self.clock.now() + self.bounds().commit_us
        while self.clock.now() < end:
            e = t.epoch
            if e["term"] != term or e["primary"] != primary:
                return False
            miss = [t.posts[n] for n in e["hold"] if t.posts[n].tide.log < pos]
            if not miss and e["open"] and self.control.sends:
                return True
            try:
                await self.clock.limit(miss[0].tide.reach(pos) if miss else asyncio.get_running_loop().create_future(), 40_000)
            except Late:
                pass
        return False

    async def open_session(self):
        """A new session at home here."""
        if not self.ready:
            raise NotReady("this edge takes no sessions now")
        if len(self.homes) >= self.bounds().sessions:
            raise Busy("this edge holds as many sessions as it may")
        s = Session("s-%016x" % self.rng.getrandbits(64))
        self.homes[s.sid] = s
        try:
            await self.keeper.keep(s)
        except Fault:
            self.homes.pop(s.sid, None)
            raise
        return {"session": s.sid, "home": self.name, "keeper": s.keeper}

    async def close_session(self, sid):
        """The visitor ends its session."""
        s = self.homes.get(sid)
        if s is None:
            return await self._deliver(sid, {"verb": "close"})
        await s.lock()
        try:
            self.end_txn(s)
            self.homes.pop(sid, None)
            if s.state == "home":
                s.end()
            if s.keeper and self.keeper.alive(s.keeper):
                try:
                    await self.reach.call(s.keeper.split("/")[0], "span.drop", {"sid": sid, "epoch": s.epoch}, 500_000)
                except Fault:
                    pass
        finally:
            s.unlock()
        return {"ok": True}

    async def statement(self, sid, d):
        """Serves one statement of session `sid`, wherever it is at home."""
        if not isinstance(d, dict) or not isinstance(d.get("verb"), str):
            raise Malformed("a statement is an object with a verb")
        arr = self.order.next()
        s = self.homes.get(sid)
        if s is None:
            return await self._deliver(sid, d)
        if d["verb"] == "close":
            return await self.close_session(sid)
        us = self.bounds().statement_us
        try:
            return await self.slab.enter(self.flow.run(s, d, arr, self.clock.now() + us), us)
        except Fault as f:
            if isinstance(f, Busy):
                emit(self.log, 422, used=self.slab.used)
            if f.back is not None:
                f.back = int(f.back * self.rng.uniform(0.75, 1.25))
            raise

    def moved(self, s):
        """The fault for a statement that found its session gone from here."""
        return NoSession("the session has ended") if s.state == "closed" else Moving("the session lives elsewhere now")

    async def _where(self, ch, b):
        sid = b["sid"]
        if sid in self.homes:
            return {"role": "home", "epoch": self.homes[sid].epoch}
        if sid in self.keeper.kept:
            return {"role": "kept", "epoch": self.keeper.kept[sid]["epoch"]}
        return {"role": "none", "epoch": self.keeper.fence.get(sid, 0)}

    async def _find(self, sid):
        es = [n for n, e in sorted(self.control.realm.doc["edges"].items()) if e["state"] != "gone" and n != self.name]

        async def ask(n):
            try:
                return n, await self.reach.call(n, "span.where", {"sid": sid}, 600_000)
            except Fault:
                return n, None
        rs = await asyncio.gather(*[ask(n) for n in es])
        homes = [(r["epoch"], n) for n, r in rs if r and r["role"] == "home"]
        if homes:
            return max(homes)[1]
        if sid in self.keeper.kept or any(r is None or r["role"] == "kept" for _, r in rs) or sid in self.homes:
            raise Moving("the session is being moved")
        raise NoSession("no edge knows this session")

    async def _deliver(self, sid, d):
        if not self.control.sends:
            raise NoLease("this edge does not know the fleet now")
        n = self._at.get(sid)
        for again in (0, 1):
            if n is None:
                n = await self._find(sid)
            try:
                r = await self.reach.call(n, "span.deliver", {"sid": sid, "ask": d}, self.bounds().statement_us + 2_000_000, again=False)
                break
            except Unsent:
                self._at.pop(sid, None)
                n = None
                if again:
                    raise Moving("the session's home can't be reached") from None
            except Fault:
                self._at.pop(sid, None)
                if d["verb"] == "commit" or (d["verb"] in WRITES or d["verb"] == "exec") and "txn" not in d:
                    return {"outcome": "unknown", "retry_after_us": 500_000}
                raise
        if r["res"].get("not_here"):
            self._at.pop(sid, None)
            raise Moving("the session is being moved")
        if len(self._at) > 10_000:
            self._at.clear()
        self._at[sid] = n
        if "status" in r["res"]:
            raise rebuild(r["res"]["doc"])
        return r["res"]["doc"]

    async def _delivered(self, ch, b):
        if b["sid"] not in self.homes:
            return {"res": {"not_here": True}}
        try:
            return {"res": {"doc": await self.statement(b["sid"], b["ask"])}}
        except Fault as e:
            return {"res": {"status": e.status, "doc": e.doc()}}

    async def _hand(self, s):
        await s.lock()
        try:
            if s.state != "home":
                return
            self.end_txn(s)
            s.move()
            for _ in range(12):
                k = s.keeper
                if k is None or not self.keeper.alive(k):
                    k = self.keeper.elect(s)
                if k is None:
                    break
                try:
                    r = await self.reach.call(k.split("/")[0], "span.take", {
                        "sid": s.sid, "to": k, "epoch": s.epoch + 1, "ver": s.ver, "home": self.keeper.me, "state": s.doc()}, 800_000)
                    if r["ok"]:
                        self.homes.pop(s.sid, None)
                        self.keeper.fence[s.sid] = s.epoch + 1
                        self._at[s.sid] = k.split("/")[0]
                        s.part()
                        return
                except Fault:
                    await self.clock.sleep(100_000)
            s.stay()
        finally:
            s.unlock()

    async def _hand_all(self):
        for i in range(20):
            ss = list(self.homes.values())
            if not ss or self.state not in ("emptied", "leaving"):
                return
            await asyncio.gather(*[self._hand(s) for s in ss[:40]])

    async def _say(self, state, us):
        """Tells control until it has heard, or `us` have passed."""
        end = self.clock.now() + us
        while self.clock.now() < end:
            try:
                return await self.clock.limit(self.control.say(state), min(3_000_000, end - self.clock.now()))
            except Fault:
                await self.clock.sleep(100_000)

    async def drain(self, us=9_000_000):
        """Leaves: tells control, hands every session over, waits until nothing is kept here and control has heard."""
        emit(self.log, 103, sessions=len(self.homes), kept=len(self.keeper.kept))
        self.leave()
        end = self.clock.now() + us
        self.nest.spawn(self._say("leaving", us))
        while self.clock.now() < end and (self.homes or self.keeper.kept):
            if self.homes:
                await self._hand_all()
            await self.clock.sleep(50_000)
        for t in self.troops.values():
            t.close()
        self.control.lease = 0
        await self._say("gone", 3_000_000)
        self.roster.left = True
        for n in self.roster.living()[:4]:
            self.link.tell(self.roster.addr_of(n), "kith.ack", {"nonce": 0, "src": self.link.addr, "news": [self.roster.me()]})
        self.end()
        emit(self.log, 104, left_sessions=len(self.homes), left_kept=len(self.keeper.kept))

    def belief(self):
        """What this node believes."""
        r = self.control.realm
        return {**r.belief(), "name": self.name, "role": "edge", "state": self.state, "commit": r.seq, "view": None,
                "kith": {row[0]: row[5] for row in self.roster.full()}}

    async def _belief(self, ch, b):
        return {"doc": self.belief()}

    def status(self):
        """The belief, the lease, the sessions and the clocks' counts."""
        now = self.clock.now()
        return {**self.belief(), "ready": self.ready, "lease_us": max(0, self.control.lease - now), "sessions": len(self.homes),
                "kept": len(self.keeper.kept), "unkept": sum(s.keeper is None for s in self.homes.values()),
                "slots_used": self.slab.used, "shed": self.slab.shed, "sent": self.sent, "waits": dict(self.waits),
                "clocks": {g: dict(t.reads.count) for g, t in sorted(self.troops.items())},
                "tides": {g: {n: [p.tide.log, p.tide.asked] for n, p in sorted(t.posts.items())} for g, t in sorted(self.troops.items())},
                "pools": {g: {n: {"share": p.pool.share, "held": p.pool.total, "limit": p.pool.limit} for n, p in sorted(t.posts.items())}
                          for g, t in sorted(self.troops.items())}}

"""Session keepers: copies held for other edges, and this edge's own sessions kept elsewhere."""
from ..creed.event import emit
from ..creed.fault import Deposed, Fault, Moving, Unreached
from ..helm.desk import LAPSE_US
from .session import Session

__all__ = ["Keeper"]

_FENCES = 20_000


class Keeper:
    """Both halves of keeping: the copies here, and the copies of what is at home here."""

    def __init__(self, clock, nest, rng, control, reach, homes, hall, log=None):
        self.clock, self.nest, self.rng, self.control = clock, nest, rng, control
        self.reach, self.homes, self.hall, self.log = reach, homes, hall, log
        self.kept = {}
        self.fence = {}
        self._due = {}

    @property
    def me(self):
        return f"{self.control.name}/{self.control.inc}"

    def alive(self, who):
        """Whether `name/incarnation` is still an edge of the fleet."""
        n, _, i = who.partition("/")
        e = self.control.realm.doc["edges"].get(n)
        return bool(e) and str(e["inc"]) == i and e["state"] != "gone"

    def elect(self, s):
        """A keeper for `s`: another hall first, else another edge."""
        es = self.control.realm.doc["edges"]
        d = self.control.realm
        cs = [(e["hall"] == self.hall, d.hall(e["hall"]) != "open", n) for n, e in sorted(es.items())
              if n != self.control.name and e["state"] == "up" and self.reach.roster.state(n) != "gone"]
        if not cs:
            return None
        best = min(c[:2] for c in cs)
        n = self.rng.choice([c[2] for c in cs if c[:2] == best])
        return f"{n}/{es[n]['inc']}"

    async def keep(self, s):
        """Brings the whole of `s` to its keeper; returns once it is there."""
        s.ver += 1
        end = self.clock.now() + 1_500_000
        while True:
            if self.homes.get(s.sid) is not s:
                raise Moving("the session is no longer at home here")
            if s.keeper is None or not self.alive(s.keeper):
                was, s.keeper = s.keeper, self.elect(s)
                if was:
                    emit(self.log, 412, sid=s.sid, keeper=s.keeper)
            if s.keeper is None:
                return False
            k = s.keeper
            try:
                r = await self.reach.call(k.split("/")[0], "span.keep", {
                    "sid": s.sid, "to": k, "epoch": s.epoch, "ver": s.ver, "home": self.me, "state": s.doc()}, 700_000)
                if not r["ok"]:
                    raise Deposed(f"session epoch {r['epoch']}")
                return True
            except Deposed:
                self.homes.pop(s.sid, None)
                if s.state in ("home", "moving"):
                    s.part()
                raise Moving("the session lives elsewhere now") from None
            except Fault:
                if self.clock.now() > end or s.state == "closed":
                    raise Moving("the session's keeper can't be reached") from None
                await self.clock.sleep(30_000)

    def _mine(self, b):
        if b["to"] != self.me:
            raise Unreached(f"{b['to']} is no more; this is {self.me}")

    async def hold(self, ch, b):
        """Takes a copy meant for this incarnation, unless a later epoch is known."""
        self._mine(b)
        sid = b["sid"]
        h = self.homes.get(sid)
        low = max(self.fence.get(sid, 0), h.epoch if h else 0)
        if b["epoch"] < low or h is not None and b["epoch"] == h.epoch:
            return {"ok": False, "epoch": low}
        k = self.kept.get(sid)
        if k is None or (b["epoch"], b["ver"]) >= (k["epoch"], k["ver"]):
            self.kept[sid] = {"epoch": b["epoch"], "ver": b["ver"], "home": b["home"], "state": b["state"]}
            if not self.alive(b["home"]):
                self._later(sid, LAPSE_US)
        return {"ok": True, "epoch": b["epoch"]}

    async def take(self, ch, b):
        """Becomes the home of a session that its home hands over."""
        self._mine(b)
        h = self.homes.get(b["sid"])
        if h and h.epoch >= b["epoch"] or self.fence.get(b["sid"], 0) > b["epoch"]:
            return {"ok": h is not None and h.epoch == b["epoch"], "epoch": h.epoch if h else self.fence[b["sid"]]}
        self._home(b["sid"], b["epoch"], b["ver"], b["state"])
        emit(self.log, 411, sid=b["sid"], by=b["home"])
        return {"ok": True, "epoch": b["epoch"]}

    def _home(self, sid, epoch, ver, state):
        s = Session.revive(sid, epoch, ver, state)
        self.homes[sid] = s
        self.kept.pop(sid, None)
        self.fence[sid] = epoch
        if len(self.fence) > _FENCES:
            self.fence.pop(next(iter(self.fence)))
        self.nest.spawn(self._rekeep(s))

    async def _rekeep(self, s):
        await s.lock()
        try:
            await self.keep(s)
        except Fault:
            pass
        finally:
            s.unlock()

    async def drop(self, ch, b):
        """Forgets a copy whose session has ended or moved."""
        sid, h = b["sid"], self.homes.get(b["sid"])
        if h is not None and h.state == "home":
            return {"ok": False}
        k = self.kept.get(sid)
        if k and k["epoch"] <= b["epoch"]:
            self.kept.pop(sid)
        return {"ok": True}

    def _later(self, sid, us):
        k = self.kept[sid]
        self._due[sid] = self.clock.now() + us
        self.clock.later(us, lambda: self._takeover(sid, k["home"]))

    def _takeover(self, sid, home):
        k = self.kept.get(sid)
        if k is None or k["home"] != home or self.alive(home) or not self.alive(self.me):
            return
        old = k["state"].get("release")
        if old and old != self.me and self.alive(old):
            self.nest.spawn(self._released(sid, home, old, k["epoch"] + 1))
            return
        emit(self.log, 410, sid=sid, home=home, epoch=k["epoch"] + 1)
        self._home(sid, k["epoch"] + 1, k["ver"], k["state"])

    async def _released(self, sid, home, old, epoch):
        try:
            r = await self.reach.call(old.split("/")[0], "span.drop", {"sid": sid, "epoch": epoch}, 800_000)
        except Fault:
            await self.clock.sleep(200_000)
            return self._takeover(sid, home)
        k = self.kept.get(sid)
        if k and k["home"] == home:
            if r["ok"]:
                k["state"]["release"] = None
                self._takeover(sid, home)
            else:
                self.kept.pop(sid)

    def changed(self, recs):
        """Looks at who is gone: takes over what they had at home, finds new keepers for what they kept."""
        mine = [r for _, r in recs or [] if r["t"] in ("edge", "lapse")]
        if recs is not None and not mine:
            return
        e = self.control.realm.doc["edges"].get(self.control.name)
        if e and (e["inc"] > self.control.inc or e["inc"] == self.control.inc and e["state"] == "gone"):
            self.clear()
            return
        quick = {r["name"] for r in mine if r["t"] == "lapse" or r["state"] == "gone" and r.get("by") == r["name"]}
        for sid, k in sorted(self.kept.items()):
            if not self.alive(k["home"]) and (k["home"].split("/")[0] in quick or self._due.get(sid, 0) < self.clock.now()):
                self._later(sid, 0 if k["home"].split("/")[0] in quick else LAPSE_US)
        es = self.control.realm.doc["edges"]
        for sid, s in sorted(self.homes.items()):
            n = s.keeper.split("/")[0] if s.keeper else None
            if s.state == "home" and (s.keeper is None or not self.alive(s.keeper) or es[n]["state"] == "leaving"):
                self.nest.spawn(self._move_keeper(s))

    def clear(self):
        """This edge was declared gone: what it held lives elsewhere now."""
        self.kept.clear()
        for s in list(self.homes.values()):
            if s.state in ("home", "moving"):
                s.part()
        self.homes.clear()

    async def _move_keeper(self, s):
        await s.lock()
        try:
            k = s.keeper
            if s.state != "home" or k and self.alive(k) and self._stays(k):
                return
            if k is None or not self.alive(k):
                await self.keep(s)
                return
            new = self.elect(s)
            if new is None or new == k:
                return
            s.keeper, s.release = new, k
            try:
                await self.keep(s)
                while self.alive(k):
                    try:
                        await self.reach.call(k.split("/")[0], "span.drop", {"sid": s.sid, "epoch": s.epoch}, 500_000)
                        break
                    except Fault:
                        await self.clock.sleep(100_000)
            finally:
                s.release = None
            await self.keep(s)
        except Fault:
            pass
        finally:
            s.unlock()

    def _stays(self, k):
        return self.control.realm.doc["edges"][k.split("/")[0]]["state"] != "leaving"

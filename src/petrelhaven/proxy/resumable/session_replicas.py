"""Copies of sessions at home on other edges, and who takes over when a home is gone."""

import asyncio

from petrelhaven.control.resumable.leases import LEASE_EXPIRY_US
from petrelhaven.proxy.resumable.session import Session
from petrelhaven.runtime.errors import Fault, Unreachable
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind

__all__ = ["SessionReplicas"]

_FENCES = 20_000
_CHECK_US = 1_500_000


class SessionReplicas:
    """Holds copies. A copy is taken over only with the consent of every other living keeper that it names."""

    def __init__(self, clock, tasks, rng, control, node_caller, homes, keeper, log=None):
        self.clock, self.tasks, self.rng, self.control, self.node_caller = (
            clock,
            tasks,
            rng,
            control,
            node_caller,
        )
        self.homes, self.keeper, self.log = homes, keeper, log
        self.stored = {}
        self.fence = {}
        self.granted = {}
        self._due = {}
        self._claims = set()
        self._odd = {}

    @property
    def me(self):
        return self.control.me

    def _mine(self, b):
        if b["to"] != self.me:
            raise Unreachable(f"{b['to']} is no more; this is {self.me}")

    async def hold(self, ch, b):
        """Takes a copy meant for this incarnation, unless a later home is known."""
        self._mine(b)
        sid, at = b["sid"], (b["epoch"], b["ver"])
        h, c, rec = self.homes.get(sid), self.stored.get(sid), self.granted.get(sid)
        low = max(self.fence.get(sid, 0), h.epoch if h else 0, c["epoch"] if c else 0)
        if (
            b["epoch"] < low
            or h is not None
            and b["epoch"] == h.epoch
            or rec
            and rec[0] != b["home"]
            and rec[1] > b["epoch"]
        ):
            return {"ok": False, "epoch": max(low, rec[1] if rec else 0)}
        if (
            c
            and c["epoch"] == b["epoch"]
            and c["home"] != b["home"]
            and self.control.lives(c["home"])
        ):
            return {"ok": False, "epoch": low}
        if h is not None:
            self.keeper.part(h)
        if c is None or at >= (c["epoch"], c["ver"]) or c["home"] != b["home"]:
            self.stored[sid] = {
                "epoch": b["epoch"],
                "ver": b["ver"],
                "home": b["home"],
                "state": b["state"],
            }
            self.granted.pop(sid, None)
            if not self.control.lives(b["home"]):
                self._later(sid, LEASE_EXPIRY_US)
        return {"ok": True, "epoch": b["epoch"]}

    async def take(self, ch, b):
        """Becomes the home of a session that its home hands over."""
        self._mine(b)
        sid = b["sid"]
        h, c = self.homes.get(sid), self.stored.get(sid)
        if h and h.epoch >= b["epoch"] or self.fence.get(sid, 0) > b["epoch"]:
            return {
                "ok": h is not None and h.epoch == b["epoch"],
                "epoch": h.epoch if h else self.fence[sid],
            }
        if c and (c["epoch"], c["ver"]) > (b["epoch"] - 1, b["ver"]) or sid in self.granted:
            return {"ok": False, "epoch": c["epoch"] if c else 0}
        self._home(sid, b["epoch"], b["ver"], b["state"], b["home"])
        emit(self.log, Events.SESSION_HANDED_OVER, sid=sid, by=b["home"])
        return {"ok": True, "epoch": b["epoch"]}

    def _home(self, sid, epoch, ver, state, was):
        s = Session.revive(sid, epoch, ver, state)
        old = [
            k
            for k in dict.fromkeys([*state["keepers"], *state["release"]])
            if k not in (self.me, was) and self.control.lives(k)
        ]
        n = self.keeper.bounds().keepers
        s.keepers, s.release = old[:n], old[n:]
        self.homes[sid] = s
        self.stored.pop(sid, None)
        self.granted.pop(sid, None)
        self.fence[sid] = epoch
        if len(self.fence) > _FENCES:
            self.fence.pop(next(iter(self.fence)))
        self.keeper.check()

    async def drop(self, ch, b):
        """Forgets a copy whose session has ended or moved."""
        c = self.stored.get(b["sid"])
        if b["sid"] not in self.homes and c and c["epoch"] <= b["epoch"]:
            self.stored.pop(b["sid"])
        return {"ok": True}

    async def cede(self, ch, b):
        """Consents to another keeper's takeover, unless this one has the better claim or promised it away."""
        self._mine(b)
        sid, me = b["sid"], b["me"]
        h, c, rec = self.homes.get(sid), self.stored.get(sid), self.granted.get(sid)
        if h is not None or self.fence.get(sid, 0) > b["epoch"] or c and c["epoch"] > b["epoch"]:
            return {"ok": False, "epoch": 0}
        if rec and rec[0] != me:
            if rec[0] not in b["got"] and self.control.lives(rec[0]):
                return {"ok": False, "epoch": 0}
            if rec[1] >= b["want"]:
                return {"ok": False, "epoch": rec[1]}
        elif c and not rec and (c["epoch"], c["ver"], self.me) > (b["epoch"], b["ver"], me):
            return {"ok": False, "epoch": 0}
        self.granted[sid] = (me, b["want"])
        return {"ok": True, "epoch": b["want"]}

    def _later(self, sid, us):
        c = self.stored[sid]
        self._due[sid] = self.clock.now() + us
        self.clock.call_later(us, lambda: self._start(sid, c["home"]))

    def _start(self, sid, home):
        if sid not in self._claims:
            self._claims.add(sid)
            self.tasks.spawn(self._claim(sid, home))

    async def _claim(self, sid, home, orphan=False):
        try:
            got = []
            end = self.clock.now() + 6_000_000
            while self.clock.now() < end:
                c, rec = self.stored.get(sid), self.granted.get(sid)
                if (
                    c is None
                    or c["home"] != home
                    or self.control.lives(home)
                    and not orphan
                    or not self.control.lives(self.me)
                ):
                    return
                if rec and rec[0] != self.me and self.control.lives(rec[0]):
                    if c["state"]["over"]:
                        self._forget(sid)
                    return
                want = max(c["epoch"], rec[1] if rec else 0) + 1
                ks = [*c["state"]["keepers"], *c["state"]["release"]]
                todo = [
                    k
                    for k in dict.fromkeys(ks)
                    if k != self.me and k not in got and self.control.lives(k)
                ]
                if not todo:
                    self._over(sid, c, want, home)
                    return
                r = await self._consent(todo[0], sid, c, want, got)
                if r and r["ok"]:
                    got.append(todo[0])
                elif r and r["epoch"]:
                    self.granted[sid] = (self.me, r["epoch"])
                    got = []
                else:
                    await self.clock.sleep(60_000 + self.rng.randrange(60_000))
        finally:
            self._claims.discard(sid)

    async def _consent(self, k, sid, c, want, got):
        try:
            return await self.node_caller.call(
                k.split("/")[0],
                MessageKind.SESSION_CEDE,
                {
                    "sid": sid,
                    "to": k,
                    "me": self.me,
                    "epoch": c["epoch"],
                    "ver": c["ver"],
                    "want": want,
                    "got": got,
                },
                500_000,
            )
        except Fault:
            return None

    def _over(self, sid, c, want, home):
        if c["state"]["over"]:
            self._forget(sid)
            return
        emit(self.log, Events.SESSION_TAKEN_OVER, sid=sid, home=home, epoch=want)
        self._home(sid, want, c["ver"], c["state"], home)

    def _forget(self, sid):
        self.stored.pop(sid, None)
        self.granted.pop(sid, None)

    def changed(self, recs):
        """Looks at who is gone and takes over what they had at home, once their leases have certainly lapsed."""
        mine = [r for _, r in recs or [] if r["t"] in ("edge", "lapse")]
        if recs is not None and not mine:
            return
        if self.control.dead:
            self.clear()
            self.keeper.clear()
            return
        quick = {
            r["name"]
            for r in mine
            if r["t"] == "lapse" or r["state"] == "gone" and r.get("by") == r["name"]
        }
        for sid, c in sorted(self.stored.items()):
            n = c["home"].split("/")[0]
            if not self.control.lives(c["home"]) and (
                n in quick or self._due.get(sid, 0) < self.clock.now()
            ):
                self._later(sid, 0 if n in quick else LEASE_EXPIRY_US)
        self.keeper.check()

    def clear(self):
        """This edge was declared gone: its copies are nobody's any more."""
        self.stored.clear()
        self.granted.clear()

    def role(self, sid):
        """What this edge is to a session: home, unsure (home, not kept yet), kept or none."""
        h = self.homes.get(sid)
        if h is not None:
            return "home" if h.is_replicated else "unsure", h.epoch
        if sid in self.stored:
            return "kept", self.stored[sid]["epoch"]
        return "none", self.fence.get(sid, 0)

    async def seen(self, ch, b):
        """Tells another edge what this one is to the sessions it names."""
        return {"rows": [[sid, *self.role(sid)] for sid in b["rows"]]}

    async def run(self):
        """Looks for good whether what is kept here still has a home, and whether what is at home is well kept."""
        while True:
            await self.clock.sleep(_CHECK_US + self.rng.randrange(_CHECK_US // 2))
            if not self.control.sends:
                continue
            self.keeper.check()
            by = {}
            for sid, c in sorted(self.stored.items()):
                if self.control.lives(c["home"]):
                    by.setdefault(c["home"].split("/")[0], []).append(sid)
                elif self._due.get(sid, 0) < self.clock.now():
                    self._later(sid, LEASE_EXPIRY_US)
            odd = []
            for n, sids in sorted(by.items()):
                rows = await self.ask(n, sids[:500])
                odd += [sid for sid, role, _ in rows or [] if role not in ("home", "unsure")]
            self._odd = {sid: self._odd.get(sid, 0) + 1 for sid in odd}
            await self._orphans([sid for sid, k in sorted(self._odd.items()) if k >= 2])

    async def ask(self, n, sids, us=800_000):
        """What edge `n` is to these sessions: rows of (session, role, epoch), or None."""
        try:
            return (
                await self.node_caller.call(n, MessageKind.REPLICA_VERSIONS, {"rows": sids}, us)
            )["rows"]
        except Fault:
            return None

    async def _orphans(self, sids):
        sids = [s for s in sids if s in self.stored]
        if not sids:
            return
        rs = await asyncio.gather(*[self.ask(n, sids) for n in self.control.others()])
        for sid in sids:
            c = self.stored.get(sid)
            if c is None:
                continue
            statement_number = [
                (role, ep) for rows in rs if rows is not None for x, role, ep in rows if x == sid
            ]
            if any(role == "home" and ep >= c["epoch"] for role, ep in statement_number):
                self.stored.pop(sid)
            elif (
                all(r is not None for r in rs)
                and not any(role in ("home", "unsure") for role, _ in statement_number)
                and sid not in self._claims
            ):
                low = max([ep for _, ep in statement_number] + [c["epoch"]])
                self.granted[sid] = (self.me, max(low, self.granted.get(sid, ("", 0))[1]))
                self._claims.add(sid)
                self.tasks.spawn(self._claim(sid, c["home"], True))

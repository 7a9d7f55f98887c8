"""This edge's own sessions: which keepers hold a copy, and bringing every change to all of them."""

import asyncio

from petrelhaven.runtime.errors import Fault, SessionMoving, ViewSuperseded
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind

__all__ = ["SessionKeeper"]


class SessionKeeper:
    """Keeps the sessions at home here with keepers in other halls; nothing counts before all of them hold it."""

    def __init__(self, clock, tasks, rng, control, node_caller, homes, zone, bounds, log=None):
        self.clock, self.tasks, self.rng, self.control = clock, tasks, rng, control
        self.node_caller, self.homes, self.zone, self.bounds, self.log = (
            node_caller,
            homes,
            zone,
            bounds,
            log,
        )
        self._tending = set()

    def _places(self, ks):
        es = self.control.control_state.doc["edges"]
        return {es[k.split("/")[0]]["hall"] for k in ks if k.split("/")[0] in es}

    def _open(self, zone):
        return zone != self.zone and self.control.control_state.zone_state(zone) == "open"

    def elect(self, ks, but=()):
        """One more keeper beside `ks`: a hall not used yet first, then any other hall, then any other edge."""
        es = self.control.control_state.doc["edges"]
        used = self._places(ks)
        names = {k.split("/")[0] for k in [*ks, *but]} | {self.control.name}
        cs = [
            (
                not self._open(e["hall"]) or e["hall"] in used,
                e["hall"] == self.zone,
                self.control.control_state.zone_state(e["hall"]) != "open",
                n,
            )
            for n, e in sorted(es.items())
            if n not in names and e["state"] == "up" and self.node_caller.roster.state(n) != "gone"
        ]
        if not cs:
            return None
        best = min(c[:3] for c in cs)
        n = self.rng.choice([c[3] for c in cs if c[:3] == best])
        return f"{n}/{es[n]['inc']}"

    def _proxy_survey(self, s):
        ks = [k for k in s.keepers if self.control.lives(k)]
        if len(ks) < len(s.keepers):
            emit(
                self.log,
                Events.SESSION_KEEPER_CHANGED,
                sid=s.sid,
                was=",".join(s.keepers),
                left=",".join(ks),
            )
        while len(ks) < self.bounds().keepers:
            k = self.elect(ks, s.release)
            if k is None:
                break
            ks.append(k)
        s.keepers = ks
        s.release = [k for k in s.release if self.control.lives(k)]

    async def keep(self, s):
        """Brings the whole of `s` to every keeper; returns once all of them hold it."""
        s.ver += 1
        end = self.clock.now() + 1_500_000
        holders = {}
        while True:
            if self.homes.get(s.sid) is not s:
                raise SessionMoving("the session is no longer at home here")
            self._proxy_survey(s)
            ks = list(s.keepers)
            if not ks:
                s.is_replicated = True
                return False
            doc = s.doc()
            todo = [k for k in ks if holders.get(k) != ks]
            for k, ok in zip(todo, await asyncio.gather(*[self._send(s, k, doc) for k in todo])):
                if ok is False:
                    self.part(s)
                    raise SessionMoving("the session lives elsewhere now")
                if ok:
                    holders[k] = ks
            if all(holders.get(k) == s.keepers for k in s.keepers) and self.homes.get(s.sid) is s:
                s.is_replicated = not s.release
                return True
            if self.clock.now() > end or s.state == "closed":
                raise SessionMoving("a keeper of the session can't be reached")
            await self.clock.sleep(30_000)

    async def _send(self, s, k, doc):
        try:
            r = await self.node_caller.call(
                k.split("/")[0],
                MessageKind.REPLICA_KEEP,
                {
                    "sid": s.sid,
                    "to": k,
                    "epoch": s.epoch,
                    "ver": s.ver,
                    "home": self.control.me,
                    "state": doc,
                },
                700_000,
            )
            return r["ok"]
        except ViewSuperseded:
            return False
        except Fault:
            return None

    def part(self, s):
        """The session is at home elsewhere now."""
        if self.homes.get(s.sid) is s:
            self.homes.pop(s.sid)
        if s.state in ("home", "moving"):
            s.part()
            s.forget()

    async def settle(self, s):
        """Makes a session usable: all its keepers hold it, and those it was taken from have let go."""
        await self.keep(s)
        end = self.clock.now() + 1_500_000
        for k in list(s.release):
            while self.control.lives(k):
                try:
                    await self.node_caller.call(
                        k.split("/")[0],
                        MessageKind.REPLICA_DROP,
                        {"sid": s.sid, "epoch": s.epoch},
                        500_000,
                    )
                    break
                except Fault:
                    if self.clock.now() > end:
                        raise SessionMoving(
                            "a former keeper of the session can't be reached"
                        ) from None
                    await self.clock.sleep(60_000)
        s.release = []
        s.is_replicated = True

    def _poor(self, s):
        """Keepers to be replaced: those leaving, else one that shares a hall while another hall could help."""
        es = self.control.control_state.doc["edges"]
        ks = [k for k in s.keepers if self.control.lives(k)]
        out = [k for k in ks if es[k.split("/")[0]]["state"] == "leaving"]
        if out or len(ks) < self.bounds().keepers:
            return out
        good = {h for h in self._places(ks) if self._open(h)}
        could = {
            e["hall"]
            for n, e in es.items()
            if e["state"] == "up"
            and self._open(e["hall"])
            and self.node_caller.roster.state(n) != "gone"
        }
        if len(good) < min(len(could), self.bounds().keepers):
            seen = set()
            for k in ks:
                h = es[k.split("/")[0]]["hall"]
                if not self._open(h) or h in seen:
                    return [k]
                seen.add(h)
        return []

    def _wants(self, s):
        return s.state == "home" and (
            s.over
            or not s.is_replicated
            or len(s.keepers) < self.bounds().keepers
            and self.elect(s.keepers) is not None
            or not all(self.control.lives(k) for k in s.keepers)
            or bool(self._poor(s))
        )

    def check(self):
        """Repairs the keepers of every session that lacks some."""
        for sid, s in sorted(self.homes.items()):
            if sid not in self._tending and self._wants(s):
                self._tending.add(sid)
                self.tasks.spawn(self._tend(s))

    async def _tend(self, s):
        await s.lock()
        try:
            if s.state != "home" or self.homes.get(s.sid) is not s:
                return
            if s.over:
                await self.bury(s)
                return
            bad = self._poor(s)
            rest = [k for k in s.keepers if k not in bad]
            if bad and (rest or self.elect([], bad + s.release) is not None):
                s.keepers, s.release, s.is_replicated = rest, s.release + bad, False
            await self.settle(s)
        except Fault as f:
            emit(self.log, Events.SESSION_REPLICATION_DELAYED, sid=s.sid, fault=f.code, note=f.note)
        finally:
            self._tending.discard(s.sid)
            s.unlock()

    async def bury(self, s):
        """Ends a session for good: every copy says so before anybody is told; then the copies are dropped."""
        s.over = True
        await self.keep(s)
        for k in [*s.keepers, *s.release]:
            self.tasks.spawn(self._drop(k, s))
        self.homes.pop(s.sid, None)
        if s.state in ("home", "moving"):
            s.end()
            s.forget()

    async def _drop(self, k, s):
        try:
            await self.node_caller.call(
                k.split("/")[0], MessageKind.REPLICA_DROP, {"sid": s.sid, "epoch": s.epoch}, 500_000
            )
        except Fault as f:
            emit(self.log, Events.SESSION_REPLICATION_DELAYED, sid=s.sid, fault=f.code, note=f.note)

    def clear(self):
        """This edge was declared gone: what it held lives elsewhere now."""
        for s in list(self.homes.values()):
            self.part(s)

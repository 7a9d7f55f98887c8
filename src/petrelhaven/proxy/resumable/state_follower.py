"""How an edge follows control: routes, epochs, halls, and what must stop before a change is acknowledged."""

import asyncio

from petrelhaven.proxy.resumable.member_group import ResumableMemberGroup
from petrelhaven.runtime.errors import DeadlineExceeded
from petrelhaven.runtime.events import Events, emit

__all__ = ["StateFollower"]


class StateFollower:
    """Turns applied changes into what an edge does."""

    def __init__(self, edge):
        self.e = edge

    def changed(self, recs):
        """Takes changes that were applied: routes, epochs, halls; acknowledged once what they stop has stopped."""
        r = self.e.control.control_state
        m = r.configuration
        kinds = (
            {x["t"] for _, x in recs} if recs is not None else {"manifest", "epoch", "hall", "edge"}
        )
        if m is not None and "manifest" in kinds:
            self.e.routes = {x.name: x for x in m.routes}
            self.e.request_slots.resize(m.bounds.slots)
            for g in [g for g in self.e.member_groups if g not in {x.name for x in m.groups}]:
                self.e.member_groups.pop(g).close()
        calm = []
        if kinds & {"epoch", "settle", "hall", "manifest"}:
            for g, e in sorted(r.doc["epochs"].items()):
                calm += self._follow(g, e)
        if calm:
            self.e.control.hold_ack(r.seq, self.e.tasks.spawn(self._calm(calm)))
        self.e.session_replicas.changed(recs)
        self._enter_epochs()

    def _enter_epochs(self):
        r = self.e.control.control_state
        if self.e.state in ("leaving", "left") or r.configuration is None:
            return
        if r.zone_state(self.e.zone) != "open":
            if self.e.state != "emptied":
                self.e.empty()
                self.e.tasks.spawn(self.e.move.hand_all())
        elif self.e.state != "serving":
            self.e.serve()
            emit(self.e.log, Events.NODE_READY, name=self.e.name)

    def _follow(self, g, e):
        t = self.e.member_groups.get(g)
        if t is None:
            t = self.e.member_groups[g] = ResumableMemberGroup(
                g,
                self.e.clock,
                self.e.tasks,
                self.e.logical_clock,
                self.e.wire,
                self.e.sends,
                self.e.bounds,
                self.e.vary,
            )
        old = t.epoch
        for p in t.enter_epoch(
            e,
            lambda n: self.e.control.control_state.share(g, self.e.name, n),
            self.e.control.control_state.zone_state,
        ):
            self.e.clock.later(p.stop_at - self.e.clock.now(), lambda p=p, t=t: self._stop(t, p))
        calm = [
            self.e.tasks.spawn(self._within(p))
            for p in t.posts.values()
            if p.pool.total > p.pool.share
        ]
        if (
            old
            and old["primary"]
            and (e["phase"] == "halt" and old["phase"] == "serve" or old["primary"] != e["primary"])
        ):
            calm.append(
                self.e.tasks.spawn(
                    self._silence(t, old["primary"], e["grace"] if e["phase"] == "halt" else 0)
                )
            )
        return calm

    async def _calm(self, ts):
        await asyncio.gather(*ts, return_exceptions=True)

    async def _within(self, p):
        try:
            await self.e.clock.limit(p.pool.calm(), 1_000_000)
        except DeadlineExceeded:
            for s in list(self.e.homes.values()):
                if s.txn is not None and s.txn.pool is p and p.pool.total > p.pool.share:
                    self.e.end_txn(s)
            for c in list(p.pool.busy)[: max(0, p.pool.total - p.pool.share)]:
                p.pool.drop(c)

    async def _silence(self, t, name, grace):
        p = t.posts.get(name)
        end = self.e.clock.now() + grace
        while p is not None and self.e.clock.now() < end:
            if not p.writes and not any(
                s.txn is not None and s.txn.pool is p and s.txn.mode == "write"
                for s in self.e.homes.values()
            ):
                return
            await self.e.clock.sleep(20_000)
        for s in list(self.e.homes.values()):
            if (
                s.txn is not None
                and s.txn.member == name
                and s.txn.route == t.name
                and s.txn.mode == "write"
            ):
                self.e.end_txn(s)

    def _stop(self, t, p):
        if p.stop_at is None or self.e.clock.now() < p.stop_at:
            return
        for s in list(self.e.homes.values()):
            if s.txn is not None and s.txn.pool is p:
                self.e.end_txn(s)
        p.pool.close()

    def let_go(self):
        """The lease lapsed: transactions end, connections are let go."""
        for s in list(self.e.homes.values()):
            if s.txn is not None:
                self.e.end_txn(s)
        for t in self.e.member_groups.values():
            for p in t.posts.values():
                p.pool.let_go()

"""What a core does about embargoes: takes an operator's calls, keeps the time, knows which edges are aware."""

import asyncio

from petrelhaven.control.embargo.agreed_time import AgreedTime
from petrelhaven.control.embargo.rules import Table, of_configuration, placed, rules_of, told
from petrelhaven.runtime.errors import Duplicate, Fault, Invalid, NotReady
from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.wall_clock import WallClock

__all__ = ["EmbargoDuty"]

_ASK_US = 600_000


class EmbargoDuty:
    """Made by a seat when it first has to do with embargoes."""

    def __init__(self, node, wall_clock=None):
        self.s = node
        self.time = AgreedTime(
            node.clock,
            wall_clock or WallClock(),
            node.name,
            self._cores,
            self._bounds,
            node.call,
            node.tasks,
            node.log,
        )
        self._on = False

    def _cores(self):
        v = self.s.chain.view
        return sorted(v.ids) if v else []

    def _bounds(self):
        return (self.s.chain.control_state.doc["manifest"] or {}).get("embargo")

    def start(self):
        """Keeps the time from now on."""
        if not self._on:
            self._on = True
            self.s.tasks.spawn(self.time.run())

    def edge_time(self):
        """The interval around true time, as an edge is told it."""
        got = self.time.interval()
        return {"ok": got is not None, "lo": got[0] if got else 0, "hi": got[1] if got else 0}

    async def aware(self, gone=()):
        """NotReady unless every edge heard of has applied the manifests that name the embargoed groups.

        An edge that never heard that a group is embargoed does not withhold its reads when it loses touch.
        """
        doc = await self.s.control_state()
        since = max(doc.get("embargo_since", {}).values(), default=0)
        v = self.s.chain.view
        rs = await asyncio.gather(*[self._ask(n, since) for n in v.chain])
        if None in rs:
            raise NotReady("a core does not say which edges it knows")
        acked = {}
        for r in rs:
            for e, s in [*r["acked"].items(), *((e, 0) for e in r["live"])]:
                acked[e] = max(acked.get(e, 0), s)
        late = sorted(e for e, s in acked.items() if s < since and e not in gone)
        if late:
            raise NotReady(
                "edges that may not know that embargoes are on: "
                + ", ".join(late)[:200]
                + "; restart them, or name those that are gone for good",
                details={"edges": late},
            )

    async def apply(self, m, rec):
        """Enters manifest `m`, which embargoes something; returns once it is in force and every edge is aware."""
        try:
            r = await self.s.enter({**rec, **of_configuration(m)}, True)
        except Duplicate:
            await self.aware()
            raise
        await self.aware()
        return r

    async def _ask(self, name, seq):
        try:
            return await self.s.call(name, "chain.force", {"seq": seq}, _ASK_US)
        except Fault:
            return None

    async def change(self, d):
        """Adds, moves or lifts one embargo; returns once that is in force at every edge."""
        r = placed(d)
        if r["do"] != "lift":
            await self.aware(d.get("gone", ()))
        try:
            got = await self.s.enter(r, True)
        except Duplicate as e:
            emit(self.s.log, Events.EMBARGO_IN_FORCE, do=r["do"], embargo=r["name"], by=r["by"] or "-", again=True)
            e.details["in_force"] = True
            raise
        emit(
            self.s.log,
            Events.EMBARGO_IN_FORCE,
            do=r["do"],
            embargo=r["name"],
            by=r["by"] or "-",
            seq=got["seq"],
            until=r.get("said", "-"),
        )
        return {
            "do": r["do"],
            "name": r["name"],
            "change": got["seq"],
            "until": r.get("until", 0),
            **got["doc"],
        }

    async def list(self):
        """All rules, the groups, the newest changes and the time, as the tail answers them."""
        return {**told(await self.s.control_state()), "time": self.time.status()}

    async def why(self, d):
        """Which rules cover a thing, and what an edge that holds a lease answers to a visitor now."""
        bad = [
            [k, "must be a string"]
            for k in ("group", "thing", "visitor")
            if not isinstance(d.get(k, ""), str)
        ]
        if bad or not d.get("thing"):
            raise Invalid("question declined", details={"faults": bad or [["thing", "missing"]]})
        doc = await self.s.control_state()
        t = Table(rules_of(doc))
        got = self.time.interval()
        hit = t.held(d.get("group", ""), [d["thing"]], d.get("visitor", ""), got[0] if got else 0)
        rules = [
            {"source": k[0], "name": k[1], **r}
            for k, r in t.covering(d.get("group", ""), d["thing"])
        ]
        scope = ((doc["manifest"] or {}).get("embargo") or {}).get("scope", [])
        return {
            "rules": rules,
            "withheld": hit is not None,
            "by": hit[0][1] if hit else None,
            "interval": got,
            "embargoed_group": d.get("group", "") in scope,
        }

"""An edge whose sessions live with their connection: tie, bands, sessions and the ways of their statements."""

import asyncio
import collections
import types

from transitions import Machine

from petrelhaven.control.configuration.defaults import fill
from petrelhaven.proxy.reads.read_clock import Order
from petrelhaven.proxy.routing.group import Band
from petrelhaven.proxy.routing.slab import Slab
from petrelhaven.proxy.routing.statement_path import Passage
from petrelhaven.proxy.session.held_session import Trade, Visit
from petrelhaven.proxy.session.statement import Reply
from petrelhaven.runtime.errors import Busy, Late, NoRoute
from petrelhaven.runtime.events import emit

__all__ = ["Gate"]

_TIED_US = 4_000_000
_SLACK_US = 30_000


class Gate:
    """One edge daemon's logic; clock, link, tie and wire are given. `near(hall)` ranks halls."""

    states = ["starting", "serving", "leaving", "left"]

    def __init__(self, name, hall, clock, nest, rng, tie, wire, near, drain_us, empty_us, log=None):
        self.name, self.hall, self.clock, self.nest, self.rng, self.log = (
            name,
            hall,
            clock,
            nest,
            rng,
            log,
        )
        self.tie, self.wire, self.near = tie, wire, near
        self.drain_us, self.empty_us = drain_us, empty_us
        self.order, self.slab = Order(), Slab(clock, 1024)
        self.routes, self.bands, self.visits = {}, {}, set()
        self._bounds = types.SimpleNamespace(
            fetch_us=250_000, join_us=1_000_000, lanes=2, idle_txn_us=3_000_000
        )
        self.count = collections.Counter()
        self.passage = Passage(self)
        Machine(
            self,
            states=self.states,
            initial="starting",
            auto_transitions=False,
            transitions=[
                {"trigger": "serve", "source": "starting", "dest": "serving"},
                {"trigger": "leave", "source": ["starting", "serving"], "dest": "leaving"},
                {"trigger": "finish", "source": "leaving", "dest": "left"},
            ],
        )
        self._opened = None
        self.embargo = None
        tie.on_change.append(self._changed)

    def start(self):
        """Starts the edge's tasks."""
        emit(self.log, 101, name=self.name, hall=self.hall)
        self.tie.start()

    def bounds(self):
        """The bounds in force."""
        return self._bounds

    @property
    def ready(self):
        """Whether new connections should come here."""
        return self.state == "serving"

    async def opened(self, us):
        """Waits until this edge knows a manifest; Busy with when to come back if that takes longer than `us`."""
        if self.state == "starting":
            if self._opened is None:
                self._opened = asyncio.get_running_loop().create_future()
            try:
                await self.clock.limit(asyncio.shield(self._opened), us)
            except Late:
                raise Busy("this edge knows no manifest yet") from None

    def _changed(self, recs, fresh):
        d = self.tie.ledger
        m = d.manifest
        if m is None:
            return
        if self.embargo is not None or "embargo" in d.doc["manifest"]:
            self._embargoed(d, recs, fresh)
        kinds = {r["t"] for r in recs}
        if fresh or "manifest" in kinds:
            self._manifest(m)
        for b in self.bands.values():
            b.turn(d, fresh)
        if self.state == "starting":
            self.serve()
            if self._opened is not None:
                self._opened.set_result(None)
            emit(self.log, 102, name=self.name)

    def _embargoed(self, d, recs, fresh):
        if self.embargo is None:
            from petrelhaven.proxy.embargo import EmbargoGate

            self.embargo, fresh = EmbargoGate(self), True
        self.embargo.turn(d, recs, fresh)
        if not self.embargo.on:
            self.embargo = None
        self.tie.time = self.embargo and self.embargo.time

    def _manifest(self, m):
        m = fill(m)
        self.routes = {r["host"]: types.SimpleNamespace(**r) for r in reversed(m["routes"])}
        gs = {g["name"]: g for g in m["groups"]}
        for n in [n for n in self.bands if n not in gs]:
            self.bands.pop(n).close()
        for n, g in gs.items():
            b = self.bands.get(n)
            if b is None:
                b = self.bands[n] = Band(n, self)
            b.cap, b.sync = g["cap"], g["sync"]
        self._bounds.idle_txn_us = m["bounds"]["idle_txn_us"]
        emit(self.log, 403, seq=self.tie.ledger.seq, version=m["version"])

    def route(self, host):
        """The route and band of a host, or NoRoute."""
        r = self.routes.get(host)
        b = self.bands.get(r.group) if r is not None else None
        if b is None:
            raise NoRoute(f"no database {host[:60]}")
        return r, b

    def open(self, host, visitor=""):
        """A new session, or NoRoute."""
        r, b = self.route(host)
        v = Visit(host, visitor)
        self.visits.add(v)
        if r.reads == "strong":
            v.band = b
            b.visits += 1
        self.count["visits"] += 1
        return v

    def close(self, v):
        """The visitor's connection has ended."""
        if v not in self.visits:
            return
        self.visits.discard(v)
        if v.band is not None:
            v.band.visits -= 1
        if not v.busy:
            self.passage.part(v)
        v.close()

    async def serve_one(self, v, a):
        """The reply to one statement."""
        if v.state == "ended":
            return Reply(code="aborted", text="the session has ended")
        v.busy = True
        try:
            r = self._at_once(v, a)
            if r is None:
                r = await self._slabbed(v, a)
        finally:
            v.busy = False
            v.since = self.clock.now()
            if v.state == "ended":
                self.passage.part(v)
        if v.trade is not None:
            self.passage.watch(v, v.trade)
        return r

    def _at_once(self, v, a):
        """What needs no member."""
        k = a.verb
        if k == "rollback":
            if v.state != "idle":
                self.passage.part(v, a.num)
                v.settle()
            return Reply()
        if v.state == "failed":
            if k == "commit":
                self.passage.part(v)
                v.settle()
                return Reply(
                    code="aborted", text="the transaction had failed; nothing of it is kept"
                )
            return Reply(code="malformed", text="the transaction has failed; end it", state="E")
        if k == "set":
            v.values[a.name] = a.data
            v.nums[a.name] = a.num
            if v.trade is not None:
                v.trade.sets = True
        elif k == "prepare":
            v.prepared[a.name] = a.shape
            v.nums["", a.name] = a.num
        elif k == "forget":
            v.prepared.pop(a.name, None)
        elif k == "begin":
            if v.trade is not None:
                return Reply(code="malformed", text="a transaction is open", state=v.mark)
            v.begin()
            v.trade = Trade(
                a.num, not a.writes, self.order.next(), self.clock.now(), self.routes.get(v.host)
            )
        elif k == "execute" and a.name not in v.prepared:
            if v.trade is not None:
                v.fail()
            return Reply(code="unprepared", text="no such prepared name", state=v.mark)
        elif k == "commit" and v.trade is None:
            return Reply(code="malformed", text="no transaction is open")
        else:
            return None
        return Reply(state=v.mark)

    async def _slabbed(self, v, a):
        x = v.trade
        r = x.route if x is not None else self.routes.get(v.host)
        b = self.bands.get(r.group) if r is not None else None
        if b is None:
            return Reply(code="unknown", text="no such database any more", state=v.mark)
        if self.embargo is not None and (p := self.embargo.refusal(v, a, b.name)) is not None:
            return p
        self.count["asked"] += 1
        b.earn()
        us = r.timeout_us - _SLACK_US
        t0 = self.clock.now()
        p = await self._run(v, a, r, b, x, t0 + us, us)
        if self.embargo is not None:
            p = self.embargo.passed(v, a, b.name, p)
        if p.code is not None:
            emit(
                self.log,
                425,
                group=b.name,
                verb=a.verb,
                code=p.code,
                us=self.clock.now() - t0,
                note=p.text,
                visit=id(v) & 0xFFFFFF,
                stocks=",".join(f"{n[-4:]}:{z.stock.plight()}" for n, z in b.berths.items()),
                visits=b.visits,
            )
        return p

    async def _run(self, v, a, r, b, x, end, us):
        try:
            return await self.slab.enter(self.passage.run(v, a, r, b, end), us + 2_000_000)
        except Busy as e:
            if x is not None:
                v.fail()
            return Reply(code="busy", text=self.back(e.back), state=v.mark)
        except Late:
            if x is not None:
                v.fail()
            return Reply(code="timeout", text="the statement ran out of time", state=v.mark)

    def back(self, us):
        """When to come back, in words, spread so that not all come at once."""
        self.count["shed"] += 1
        return f"not run; come back in {int(us * self.rng.uniform(0.75, 1.25)) // 1000} ms"

    def status(self):
        """What this edge believes and counts."""
        return {
            **self.tie.ledger.belief(),
            "name": self.name,
            "state": self.state,
            "ready": self.ready,
            "visits": len(self.visits),
            "slots_used": self.slab.used,
            "count": dict(self.count),
            "clocks": {g: dict(b.reads.count) for g, b in sorted(self.bands.items())},
            "stocks": {
                g: {n: b.stock.total for n, b in sorted(x.berths.items())}
                for g, x in self.bands.items()
            },
            **({"embargo": self.embargo.status()} if self.embargo is not None else {}),
        }

"""An edge's gate on embargoed records: looked at before a read is entered, and again when its reply is there."""

import collections

from petrelhaven.control.embargo.agreed_time import widened
from petrelhaven.control.embargo.rules import Table, rules_of
from petrelhaven.proxy.session.statement import Reply
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit

__all__ = ["EdgeTime", "EmbargoFilter"]

_CALL_US = 450_000
_BACK_US = 500_000
_MOST_MS = 7 * 86_400_000
_NAMED = 50
_OWN = ("busy", "aborted", "timeout")


class EdgeTime:
    """The lowest true time that is possible, from the intervals that cores tell with pulses. No wall clock is read."""

    def __init__(self, clock, name, wall_us):
        self.clock, self.name, self.wall_us = clock, name, wall_us
        self._got = None
        self._asked = 0
        self._floor = 0

    async def ask(self, ch):
        """Takes the interval of the core behind `ch`."""
        a = self.clock.now()
        try:
            r = await ch.call("tie.wall", {"name": self.name}, _CALL_US)
        except Fault:
            return
        if a >= self._asked:
            self._asked = a
            b = self.clock.now()
            self._got = (b, r["lo"], widened(0, r["hi"], b - a)[1]) if r["ok"] else None
            self.lowest()

    def interval(self):
        """The (lowest, highest) moment that true time can be now, or None."""
        if self._got is None:
            return None
        at, lo, hi = self._got
        got = widened(lo, hi, self.clock.now() - at)
        return got if got[1] - got[0] <= self.wall_us else None

    def lowest(self):
        """The lowest moment that true time can be; it stands still while nothing is agreed on."""
        got = self.interval()
        if got is not None and got[0] > self._floor:
            self._floor = got[0]
        return self._floor


class EmbargoFilter:
    """Decides what an edge withholds. Made when the control state first names embargoes; `turn` follows it."""

    def __init__(self, proxy):
        self.g = proxy
        self.time = EdgeTime(proxy.clock, proxy.name, 0)
        self.scope, self.spread_us = frozenset(), 0
        self.table = Table()
        self.count = collections.Counter()
        self._second, self._named, self._more = 0, 0, 0
        self._led = True

    def turn(self, control_state, recs, fresh):
        """Takes the rules of the control state."""
        doc = control_state.doc
        m = (doc["manifest"] or {}).get("embargo") or {}
        self.scope = frozenset(m.get("scope", ()))
        self.time.wall_us, self.spread_us = m.get("wall_us", 0), m.get("spread_us", 0)
        if fresh or any(r["t"] == "manifest" for r in recs):
            self.table = Table(rules_of(doc))
            return
        for r in recs:
            if r["t"] == "embargo":
                now = doc.get("embargoes", {}).get(r["name"])
                k = ("placed", r["name"])
                self.table.put(k, now) if now is not None else self.table.drop(k)

    @property
    def on(self):
        """Whether there is anything to withhold."""
        return bool(self.scope) or len(self.table) > 0

    def held(self, group, things, client):
        """Why a read is withheld now and until when in true time (0: not known), or None."""
        if group in self.scope and not self.g.core_connection.holds:
            return "lease", 0, ""
        now = self.time.lowest()
        hit = self.table.held(group, things, client, now)
        if hit is None:
            return None
        (_, name), rule = hit
        return "embargo", rule["until"] - now if now else 0, name

    def refusal(self, v, a, group):
        """The reply to a read that must not be served now, or None."""
        if a.writes or a.verb not in ("read", "execute"):
            return None
        why = self.held(group, a.things, v.client)
        self._lease(group)
        if why is None:
            return None
        how, left, name = why
        self.count[how] += 1
        self._name(group, v, how, name)
        ms = (
            int((left or _BACK_US) + self.g.rng.uniform(0, self.spread_us if left else _BACK_US))
            // 1000
            + 1
        )
        return Reply(
            code="withheld", text=f"withheld; come back in {min(ms, _MOST_MS)} ms", state=v.mark
        )

    def passed(self, v, a, group, reply):
        """The reply of a read that came back: itself, or a refusal if a rule came or a lease went meanwhile."""
        if reply.code in _OWN:
            return reply
        r = self.refusal(v, a, group)
        if r is None:
            return reply
        self.count["late"] += 1
        r.state = reply.state
        return r

    def _lease(self, group):
        if group in self.scope and self.g.core_connection.holds != self._led:
            self._led = not self._led
            emit(self.g.log, Events.LEASE_REGAINED if self._led else Events.NO_LEASE)

    def _name(self, group, v, why, rule):
        second = self.g.clock.now() // 1_000_000
        if second != self._second:
            if self._more:
                emit(self.g.log, Events.FURTHER_READS_WITHHELD, count=self._more)
            self._second, self._named, self._more = second, 0, 0
        if self._named >= _NAMED:
            self._more += 1
            return
        self._named += 1
        emit(
            self.g.log,
            Events.READ_WITHHELD,
            group=group,
            why=why,
            embargo=rule or "-",
            client=v.client[:60] or "-",
        )

    def status(self):
        """What is withheld here and by which time."""
        return {
            "scope": sorted(self.scope),
            "rules": len(self.table),
            "time": self.time.interval(),
            "lease": self.g.core_connection.holds,
            "count": dict(self.count),
        }

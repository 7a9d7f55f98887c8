"""An edge's tie to the core: a held connection, numbered changes, a pulse that brings a lease, doubts told at once."""

import asyncio

from petrelhaven.control.state.control_state import ControlState
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind

__all__ = ["CoreConnection"]

_PULSE_US = 250_000
_CONFIRMED_US = 600_000
_BAD_US = 1_500_000
_PATIENT_US = 3_000_000
_SUSPICION_US = 250_000


class CoreConnection:
    """Holds the ledger as pushed. `near(hall)` ranks halls; the nearest core that rules is held."""

    def __init__(self, clock, tasks, link, rng, name, seeds, near, log=None):
        self.clock, self.tasks, self.link, self.rng, self.log = clock, tasks, link, rng, log
        self.name, self.seeds, self._near = name, seeds, near
        self.control_state = ControlState()
        self.joined = False
        self.view = 0
        self.cores = {}
        self.edges = 0
        self.on_change = []
        self.lease = self._confirmed_at = 0
        self.time = None
        self._need = None
        self._bad, self._asked = {}, {}
        self._ch = self._core = None
        link.on(MessageKind.PROXY_PUSH, self._push)
        link.on(MessageKind.PROXY_SNAPSHOT, self._frame)

    def start(self):
        """Starts the task of the tie."""
        self.tasks.spawn(self._run())

    @property
    def holds(self):
        """Whether this edge holds a lease: what it has applied is the newest in force, asked right before a send."""
        return self.clock.now() < self.lease

    @property
    def confirmed(self):
        """Whether the lease holds, and a majority of cores was in reach as lately as on calm days.

        A lease outlives the contact that brought it; what came to be known since the last renewal,
        such as a new replica of a group, may be known to nobody in reach.
        """
        return self.holds and self.clock.now() - self._confirmed_at <= _CONFIRMED_US

    def _renew(self, asked_at, us, age):
        """Takes a lease of `us` asked for at `asked_at`; the core had a majority's word `age` before."""
        self.lease = max(self.lease, asked_at + us)
        self._confirmed_at = max(self._confirmed_at, asked_at - age)

    def _choose(self):
        now = self.clock.now()
        known = dict(self.cores)
        for a in self.seeds:
            known.setdefault(a, 9)
        good = [a for a in known if self._bad.get(a, 0) <= now]
        if not good:
            return None
        best = min(known[a] for a in good)
        return self.rng.choice([a for a in sorted(good) if known[a] == best])

    async def _run(self):
        while True:
            a = self._choose()
            if a is None:
                await self.clock.sleep(100_000)
                continue
            try:
                ch = await self.clock.limit(
                    self.link.open(a), 1_000_000 if self.joined else 250_000
                )
            except Fault:
                self._bad[a] = self.clock.now() + (_BAD_US if self.joined else 250_000)
                continue
            try:
                await self._hold(a, ch)
            except Fault:
                pass
            finally:
                self._ch = None
                ch.close()
            self._bad[a] = max(self._bad.get(a, 0), self.clock.now() + 100_000)

    async def _hold(self, a, ch):
        at = self.control_state.seq if self.joined else -1
        r = await ch.call(MessageKind.PROXY_CONNECT, {"edge": self.name, "inc": 0, "applied": at}, 800_000)
        if not r["ok"]:
            self._bad[a] = self.clock.now() + 150_000
            return
        self._ch, self._core = ch, a
        emit(self.log, Events.CONTROL_NODE_CONNECTED, core=a)
        mute, good = 0, self.clock.now()
        while not ch.gone.done():
            try:
                ok = await self._pulse([])
                if self.time is not None:
                    self.tasks.spawn(self.time.ask(ch))
                mute = 0
                good = self.clock.now() if ok else good
            except Fault:
                mute += 1
            if mute >= 2 or self.clock.now() - good > _PATIENT_US:
                emit(self.log, Events.CONTROL_NODE_LOST, core=a)
                self._bad[a] = self.clock.now() + _BAD_US
                return
            mine = self.cores.get(a, 9)
            if any(
                r < mine and self._bad.get(b, 0) <= self.clock.now() for b, r in self.cores.items()
            ):
                return
            await asyncio.wait([ch.gone], timeout=(_PULSE_US if not mute else 200_000) / 1e6)

    async def _pulse(self, suspicions):
        ch = self._ch
        if ch is None:
            return False
        t0 = self.clock.now()
        r = await ch.call(
            MessageKind.LEASE_RENEW,
            {
                "name": self.name,
                "seq": self.control_state.seq,
                "cores": self.view,
                "doubts": suspicions,
            },
            450_000,
        )
        if r["edges"] != self.edges:
            self.edges = r["edges"]
            for f in self.on_change:
                f([], False)
        if r["cores"]:
            self.view = r["view"]
            self.cores = {a: self._near(h) for _, h, a in r["cores"]}
        if r["ok"]:
            if self.control_state.seq >= r["need"]:
                self._renew(t0, r["us"], r["age"])
            else:
                self._need = (r["need"], t0, r["us"], r["age"])
        return r["ok"]

    def suspect(self, group, member, how):
        """Tells the core that a primary seems lost; said again at most every quarter of a second."""
        now = self.clock.now()
        if self._asked.get(group, 0) > now or self._ch is None:
            return
        self._asked[group] = now + _SUSPICION_US
        emit(self.log, Events.PRIMARY_SUSPECTED, group=group, member=member, how=how)
        self.tasks.spawn(self._pulse([[group, member, how]]))

    async def _frame(self, ch, b):
        return {"frame": self.control_state.snapshot() if self.joined else None}

    async def _push(self, ch, b):
        if ch is not self._ch and self._ch is not None:
            ch.close()
            return {"applied": self.control_state.seq, "acked": self.control_state.seq}
        recs, fresh = [], False
        if b["frame"] is not None and (
            b["frame"]["seq"] > self.control_state.seq or not self.joined
        ):
            self.control_state = ControlState(b["frame"])
            self.joined = fresh = True
        for s, r in b["recs"]:
            if s == self.control_state.seq + 1:
                self.control_state.apply(s, r)
                recs.append(r)
        if fresh or recs:
            for f in self.on_change:
                f(recs, fresh)
        if self._need and self.control_state.seq >= self._need[0]:
            self._renew(*self._need[1:])
            self._need = None
        return {"applied": self.control_state.seq, "acked": self.control_state.seq}

"""An edge's tie to control: the held connection, the numbered changes, the lease."""

import asyncio

from petrelhaven.control.resumable.control_state import ResumableControlState
from petrelhaven.runtime.errors import Fault, NotSent, Stale
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind

__all__ = ["Control"]

_RENEW_US = 300_000


class Control:
    """Holds the realm as pushed; `sends` tells, right before a send, whether this edge may send."""

    def __init__(self, clock, tasks, link, rng, roster, seeds, me, log=None):
        self.clock, self.tasks, self.link, self.rng, self.log = clock, tasks, link, rng, log
        self.name, self.incarnation, self.seeds, self._me = roster.name, 0, seeds, me
        self._roster, self._boot = roster, "%016x" % rng.getrandbits(64)
        self.control_state = ResumableControlState()
        self.lease = 0
        self._had = False
        self._need = None
        self._core = None
        self._ch = None
        self._state = "up"
        self._calm = {}
        self._nudge = asyncio.Event()
        self.on_change = []
        self.on_anew = []
        self.on_lapse = []
        self._watch = None
        self.joined = False
        link.on(MessageKind.PROXY_PUSH, self._push)
        link.on(MessageKind.PROXY_SNAPSHOT, self._frame)

    @property
    def sends(self):
        """True while the lease holds and no newer change is known to be missing."""
        return self.clock.now() < self.lease

    @property
    def me(self):
        """This edge by name and incarnation."""
        return f"{self.name}/{self.incarnation}"

    def lives(self, who):
        """Whether `name/incarnation` is still an edge of the fleet."""
        n, _, i = who.partition("/")
        e = self.control_state.doc["edges"].get(n)
        return bool(e) and str(e["inc"]) == i and e["state"] != "gone"

    def others(self):
        """The other edges of the fleet, by name."""
        return [
            n
            for n, e in sorted(self.control_state.doc["edges"].items())
            if e["state"] != "gone" and n != self.name
        ]

    @property
    def dead(self):
        """Whether this incarnation was declared gone, or another came after it."""
        e = self.control_state.doc["edges"].get(self.name)
        return (
            bool(e)
            and self.incarnation > 0
            and (
                e["inc"] > self.incarnation
                or e["inc"] == self.incarnation
                and (e["state"] == "gone" or e.get("boot", self._boot) != self._boot)
            )
        )

    @property
    def applied(self):
        return self.control_state.seq

    @property
    def acked(self):
        """The newest change for which everything it stops has stopped."""
        self._calm = {s: f for s, f in self._calm.items() if not f.done()}
        return min(self._calm, default=self.control_state.seq + 1) - 1

    async def _frame(self, ch, b):
        return {"frame": self.control_state.snapshot() if self.joined else None}

    def hold_ack(self, seq, fut):
        """Keeps change `seq` unacknowledged until `fut` is done."""
        self._calm[seq] = fut
        fut.add_done_callback(lambda _: self._nudge.set())

    def start(self):
        """Starts the tasks of the tie."""
        self.tasks.spawn_service(self._hold)
        self.tasks.spawn_service(self._renew)

    async def _hold(self):
        k = self.rng.randrange(len(self.seeds))
        while True:
            a = self.seeds[k % len(self.seeds)]
            k += 1
            try:
                ch = await self.link.open(a)
            except Fault:
                await self.clock.sleep(60_000)
                continue
            try:
                r = await ch.call(
                    MessageKind.PROXY_CONNECT,
                    {
                        "edge": self.name,
                        "inc": self.incarnation,
                        "applied": self.applied if self.joined else -1,
                    },
                    800_000,
                )
                if r["ok"]:
                    self._core, self._ch = a, ch
                    self._nudge.set()
                    await ch.gone
                else:
                    ch.close()
            except Fault:
                ch.close()
            self._ch = None
            await self.clock.sleep(50_000 + self.rng.randrange(50_000))

    async def _push(self, ch, b):
        if ch is not self._ch and self._ch is not None:
            ch.close()
            return {"applied": self.applied, "acked": self.acked}
        recs = []
        if b["frame"] is not None and (
            b["frame"]["seq"] > self.control_state.seq or not self.joined
        ):
            self.control_state = ResumableControlState(b["frame"])
            self.joined = True
            recs = None
        for s, r in b["recs"]:
            if s == self.control_state.seq + 1:
                self.control_state.apply(s, r)
                recs.append((s, r))
        if recs is None or recs:
            emit(self.log, Events.RECORD_APPLIED, seq=self.control_state.seq)
            for f in self.on_change:
                f(recs)
        if self._need and self.control_state.seq >= self._need[0]:
            self._set(self._need[1])
            self._need = None
        return {"applied": self.applied, "acked": self.acked}

    def _set(self, until):
        if until > self.lease:
            self.lease = until
            if self._watch is None:
                self._watch = self.clock.call_later(until - self.clock.now() + 1000, self._check)
            if not self._had and self.sends:
                self._had = True
                emit(self.log, Events.CONTROL_NODE_CONNECTED, core=self._core)

    def _check(self):
        left = self.lease - self.clock.now()
        self._watch = None
        if left >= 0:
            self._watch = self.clock.call_later(left + 1000, self._check)
            return
        if self._had:
            self._had = False
            emit(self.log, Events.CONTROL_NODE_LOST)
            for f in self.on_lapse:
                f()

    async def _renew(self):
        while True:
            ch = self._ch
            if ch is not None and not ch.gone.done():
                await self._ask(ch)
            self._nudge.clear()
            try:
                await self.clock.wait_for(self._nudge.wait(), _RENEW_US)
            except Fault:
                pass

    async def _ask(self, ch):
        t0 = self.clock.now()
        try:
            r = await ch.call(
                MessageKind.PROXY_LEASE,
                {
                    "edge": self.name,
                    "inc": self.incarnation,
                    "boot": self._boot,
                    "applied": self.applied,
                    "acked": self.acked,
                },
                600_000,
            )
        except Fault:
            ch.close()
            return
        if r["ok"]:
            if self.control_state.seq >= r["need"]:
                self._set(t0 + r["us"])
            else:
                self._need = (r["need"], t0 + r["us"])
        elif self.joined:
            await self._enter(ch)

    def _anew(self):
        """Takes an incarnation above every one that was handed out under this name; no clock is asked."""
        e = self.control_state.doc["edges"].get(self.name)
        self.incarnation = max(e["inc"] if e else 0, self.incarnation, self._roster.incarnation) + 1
        self._roster.incarnation = max(self._roster.incarnation, self.incarnation)
        self._boot = "%016x" % self.rng.getrandbits(64)

    async def _enter(self, ch):
        e = self.control_state.doc["edges"].get(self.name)
        if self.incarnation == 0:
            self._anew()
        if (
            e
            and e["inc"] == self.incarnation
            and e["state"] != "gone"
            and e.get("boot") == self._boot
        ):
            if self.clock.now() - self.lease > 1_000_000:
                ch.close()
            return
        if self.dead:
            emit(self.log, Events.PROXY_REJOINED, incarnation=self.incarnation)
            self._anew()
            for f in self.on_anew:
                f()
        try:
            await self.announce_state(self._state)
        except Stale:
            await self.clock.sleep(100_000)
        except Fault:
            await self.clock.sleep(200_000)

    async def announce_state(self, state):
        """Tells control this edge's state: up, leaving or gone."""
        self._state = state
        ch = self._ch
        if ch is None:
            raise NotSent("no core")
        return await ch.call(
            MessageKind.PROXY_ENTER,
            {
                "edge": self.name,
                "inc": self.incarnation,
                "state": state,
                "boot": self._boot,
                **self._me(),
            },
            3_000_000,
        )

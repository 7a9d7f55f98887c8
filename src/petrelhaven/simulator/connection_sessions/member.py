"""A simulated database member: its log, its slots, its connections, switches for its faults."""

import asyncio
import contextlib

from petrelhaven.simulator.connection_sessions.connection import MemberConnection
from petrelhaven.simulator.connection_sessions.refusal import Refusal
from petrelhaven.simulator.connection_sessions.run import Run

__all__ = ["DatabaseMember"]

_CONNECT_US, _WORK_US = 2_000, 3_000
_CUT_BACK_S = 0.2


class DatabaseMember:
    """`dark` says nothing, `deaf` receives nothing, `losing` counts successes that won't be told (`lost_how`)."""

    def __init__(self, group, name, machine, slots=8, queue=16):
        self.group, self.name, self.machine, self.slots, self.queue = (
            group,
            name,
            machine,
            slots,
            queue,
        )
        self.state = "ready"
        self.log, self.data, self.paused_term = [], {}, 0
        self.running = self.unresponsive = self.deaf = self.busy = False
        self.failing = self.losing = 0
        self.lost_how = "silent"
        self.lag_us = group.lag_us
        self.connections = {}
        self.heartbeat_now = asyncio.Event()
        self.count = 0
        self._seen, self._applied = [], 0
        self._busy_until = 0.0
        self._numbers = self._stamps = 0
        self._slots, self._waiting, self._working = None, 0, 0

    @property
    def leads(self):
        """Whether it is the primary."""
        return self.group.leader is self

    @property
    def role(self):
        """`primary` or `replica`."""
        return "primary" if self.leads else "replica"

    def start(self):
        """Starts, or comes back with its log after a crash."""
        self.paused_term, self.running, self.unresponsive = 0, True, False
        self._slots, self._waiting, self._working = asyncio.Semaphore(self.slots), 0, 0
        self.connections = {}
        self.follow()

    def stop(self, silent=False):
        """Power off."""
        self.running = self.unresponsive = False
        self.machine.kill(silent)
        self.connections = {}

    def go_light(self):
        """Is back from the dark; the connections of that time are reset without running what they hold."""
        if not self.running or not self.unresponsive:
            return
        self.unresponsive = False
        self.follow()
        for c in list(self.connections):
            c.reset()
        self.heartbeat_now.set()

    def take_log(self, other):
        """Takes over the log of a member that has ended."""
        self.log, self.data = list(other.log), dict(other.data)
        self._seen, self._applied = list(other._seen), other._applied

    def _now(self):
        return self.group.net.loop.time()

    def receive(self, entries):
        """Adds commits to its log; a replica applies them later."""
        self.log += entries
        self._seen += [self._now()] * len(entries)

    def follow(self):
        """Cuts its log back to what it shares with the leader, and is busy for a moment if that was less."""
        a = self.group.leader
        self._apply()
        if a is None or a is self:
            return
        n = min(len(self.log), len(a.log))
        while n and self.log[n - 1] is not a.log[n - 1]:
            n -= 1
        if n == len(self.log):
            return
        del self.log[n:], self._seen[n:]
        if self._applied > n:
            self._applied, self.data = 0, {}
            self._seen = [0.0] * n
        self._apply()
        self._busy_until = self._now() + _CUT_BACK_S

    def _apply(self):
        due = self._now() - self.lag_us / 1e6
        while self._applied < len(self.log) and (self.leads or self._seen[self._applied] <= due):
            self.data.update((k, v) for _, k, v in self.log[self._applied].writes)
            self._applied += 1

    @property
    def tip(self):
        """The newest applied entry, or None."""
        self._apply()
        return self.log[self._applied - 1] if self._applied else None

    def value(self, key):
        """What it has applied for `key`, or None."""
        self._apply()
        return self.data.get(key)

    @property
    def position(self):
        """The applied position."""
        e = self.tip
        return (e.term, e.number) if e else (1, 0)

    def status(self):
        """The row of a status statement."""
        e = self.log[-1] if self.log else None
        return {
            "role": self.role,
            "term": self.group.term,
            "pos": (e.term, e.number) if e else (1, 0),
            "held": self.paused_term,
            "lag_ms": "0",
            "busy": self._working,
            "conns": len(self.connections),
            "at": self.position,
        }

    def accept(self, line):
        """A new connection, before it has introduced itself."""
        self._numbers += 1
        c = MemberConnection(self, line, self._numbers)
        self.connections[c] = None
        return c

    async def admit(self, group, name):
        """Lets a connection in, or raises Refusal."""
        if group != self.group.name or name != self.name:
            raise Refusal("misdirected")
        if len(self.connections) > self.group.cap:
            raise Refusal("crowded")
        async with self.slot(_CONNECT_US):
            pass

    @contextlib.asynccontextmanager
    async def slot(self, us=_WORK_US):
        """Holds one of its slots for `us` before the body runs; raises Refusal when it is too busy."""
        if self.busy or self._now() < self._busy_until or self._waiting >= self.queue:
            raise Refusal("busy")
        slots = self._slots
        self._waiting += 1
        try:
            await slots.acquire()
        finally:
            self._waiting -= 1
        self._working += 1
        try:
            if us:
                await self.machine.clock.sleep(us)
            yield
        finally:
            self._working -= 1
            slots.release()

    def note(self, c, order, kind, text, shape, rows, transaction):
        """Records what was run, and stamps it."""
        self._stamps += 1
        r = Run(
            at=self._now(),
            sent=order.sent,
            node=order.node,
            group=self.group.name,
            member=self.name,
            zone=self.machine.zone,
            connection=c.number,
            transaction=transaction,
            num=order.num,
            kind=kind,
            text=text,
            shape=shape,
            values=dict(c.values),
            tip=self.tip,
            stamp=f"{self.name}/{self._stamps}",
            rows=rows,
            who=c.who,
        )
        self.group.history.runs.append(r)
        return r

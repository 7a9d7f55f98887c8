"""A simulated database group: terms, numbers, replication, promotes."""

import asyncio

from petrelhaven.runtime.errors import Fault
from petrelhaven.simulator.connection_sessions.entry import LogEntry

__all__ = ["DatabaseGroup"]

_TICK_US = 50_000
_DROPPED_AFTER_S = 3.0
_SYNC_US = 3_000_000


class DatabaseGroup:
    """The log that the members of one group share; a position is the (term, number) of the newest commit in it.

    With `sync` 1 a commit is answered once one replica has received it.
    """

    def __init__(self, name, net, history, sync=1, lag_us=30_000, cap=40):
        self.name, self.net, self.history, self.sync, self.lag_us, self.cap = (
            name,
            net,
            history,
            sync,
            lag_us,
            cap,
        )
        self.members, self.entries = [], []
        self.term, self.leader = 1, None
        self._received, self._waits = {}, []
        self.on_pause = []

    def find(self, name):
        """The member of that name, or None."""
        return next((m for m in self.members if m.name == name), None)

    def append(self, leader, writes):
        """Gives a commit of the leader the next number."""
        e = LogEntry(self.term, len(leader.log) + 1, writes, leader.log[-1] if leader.log else None)
        self.entries.append(e)
        self.history.entries.append((self.name, e))
        leader.receive([e])
        self.ship()
        return e

    async def synced(self, leader, entry):
        """Whether a commit may be answered, once enough replicas have received it."""
        if self.leader is not leader:
            return False
        if not self.sync or max(self._received.values(), default=0) >= entry.number:
            return True
        f = asyncio.get_running_loop().create_future()
        self._waits.append((entry.number, f))
        try:
            return await leader.machine.clock.wait_for(f, _SYNC_US)
        except Fault:
            return False

    def lead(self, member):
        """Lets `member` lead the next term with what it has received; whoever was ahead is cut back."""
        if not member.running or self.leader is member:
            return
        self.term += 1
        self.leader = member
        self._received = {}
        shared = set(member.log)
        now = self.net.loop.time()
        for e in self.entries:
            if e.cut is None and e not in shared:
                e.cut = now
        w, self._waits = self._waits, []
        for _, f in w:
            f.done() or f.set_result(False)
        for m in self.members:
            m.paused_term = 0
            if m.running and not m.unresponsive:
                m.follow()
            m.heartbeat_now.set()
        self.ship()

    def step_down(self, member):
        """Takes the lead from `member` and gives it to nobody."""
        if self.leader is member:
            self.leader = None
            w, self._waits = self._waits, []
            for _, f in w:
                f.done() or f.set_result(False)
            member.heartbeat_now.set()

    def ship(self):
        """Sends every replica what it lacks."""
        a = self.leader
        for m in self.members:
            if (
                a is not None
                and m is not a
                and self._hears(a, m)
                and (m.log[-1:] != a.log[-1:] or self._received.get(m, 0) < len(m.log))
            ):
                self.net.loop.call_later(
                    self.net.delay(a.machine, m.machine), self._land, a, m, self.term, len(a.log)
                )

    def _hears(self, a, m):
        return (
            a.running
            and m.running
            and not a.unresponsive
            and not m.unresponsive
            and not m.deaf
            and not m.paused_term
            and not self.net.is_cut(a.machine.name, m.machine.name)
        )

    def _land(self, a, m, term, upto):
        if self.leader is not a or self.term != term or not self._hears(a, m):
            return
        m.follow()
        if len(m.log) < upto:
            m.receive(a.log[len(m.log) : upto])
        if not self.net.is_cut(m.machine.name, a.machine.name):
            self.net.loop.call_later(
                self.net.delay(m.machine, a.machine), self._on_received, a, m, term, len(m.log)
            )

    def _on_received(self, a, m, term, n):
        if self.leader is not a or self.term != term or not a.running or a.unresponsive:
            return
        if self.net.is_cut(m.machine.name, a.machine.name):
            return
        self._received[m] = max(n, self._received.get(m, 0))
        top = max(self._received.values())
        left = []
        for k, f in self._waits:
            if k > top:
                left.append((k, f))
            elif not f.done():
                f.set_result(True)
        self._waits = left

    def tick(self):
        """Sends again what was lost, and drops connections whose far end is dark."""
        self.ship()
        now = self.net.loop.time()
        for m in self.members:
            for c in list(m.connections):
                if c.line.is_cut:
                    c.unresponsive_since = c.unresponsive_since or now
                    if now - c.unresponsive_since > _DROPPED_AFTER_S:
                        c.end()
                else:
                    c.unresponsive_since = None
        self.net.loop.call_later(_TICK_US / 1e6, self.tick)

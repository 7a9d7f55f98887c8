"""Members of the model: their calls are delayed, doubled and reordered, and some of them depart."""

import asyncio
import random

from petrelhaven.runtime.errors import Fault, NotSent

__all__ = ["DepartingMember", "play_departures"]

_CALL_TIMEOUT_US = 1_000_000
_HEARTBEAT_S = 1.2
_LATE_S = (0.0, 9.0)
_HELD_SHARE, _DOUBLED_SHARE = 0.3, 0.3
_SERVES_ON_S = 3.0
_LATEST_ARRIVAL_S = 12.0
_OBSERVATION_INTERVAL_S = 0.02


class DepartingMember:
    """A member that sends heartbeats, drains or not, signs off, and leaves its address to another.

    Attributes:
        name: Its name.
        drained_at: When a control node acknowledged that it is draining, or None.
        departed_at: When a control node acknowledged its sign-off, or None.
    """

    def __init__(self, cluster, rng, name, address):
        self._cluster, self._rng = cluster, rng
        self.name, self._address = name, address
        self.drained_at = self.departed_at = None
        self._count, self._turn = 0, rng.randrange(3)
        self.late_calls = []

    async def live(self, heartbeats, drains):
        """Sends `heartbeats`, says that it drains if `drains`, and signs off."""
        for _ in range(heartbeats):
            await self._call(self._announcement("ready"))
            await asyncio.sleep(_HEARTBEAT_S * self._rng.random())
        if drains:
            await self._call_until_acknowledged(lambda: self._announcement("draining"))
            self.drained_at = self._cluster.loop.time()
            await asyncio.sleep(self._rng.uniform(0, _SERVES_ON_S))
        await self._call_until_acknowledged(lambda: self._deregister)
        self.departed_at = self._cluster.loop.time()

    async def _deregister(self, node):
        await node.deregister_member(self.name)

    def _announcement(self, state):
        self._count += 1
        document = {
            "member": self.name,
            "group": "g1",
            "hall": "a",
            "addr": self._address,
            "role": "replica",
            "state": state,
            "slots": 5,
            "count": self._count,
        }
        return lambda node: node.announce(document)

    async def _call_until_acknowledged(self, make_call):
        while not await self._call(make_call()):
            await asyncio.sleep(0.1)

    async def _call(self, call):
        """Calls one node; returns whether it acknowledged. A call that is held arrives later."""
        machine = self._cluster.at(self._turn)
        if self._rng.random() < _HELD_SHARE:
            self._arrive_late(machine, call)
            await asyncio.sleep(_CALL_TIMEOUT_US / 1e6)
            self._turn += 1
            return False
        if self._rng.random() < _DOUBLED_SHARE:
            self._arrive_late(machine, call)
        cluster = self._cluster
        try:
            await cluster.net.trip(
                cluster.operators,
                machine,
                lambda: self._arrive(machine, call),
                _CALL_TIMEOUT_US,
                fresh=True,
            )
        except Fault:
            self._turn += 1
            return False
        return True

    async def _arrive(self, machine, call):
        if machine.node is None or not machine.up:
            raise NotSent(machine.name)
        return await call(machine.node)

    def _arrive_late(self, machine, call):
        async def arrive():
            await asyncio.sleep(self._rng.uniform(*_LATE_S))
            if machine.up and machine.node is not None:
                machine.tasks.spawn(self._ignore_faults(machine, call))

        self.late_calls.append(asyncio.ensure_future(arrive()))

    async def _ignore_faults(self, machine, call):
        try:
            await self._arrive(machine, call)
        except Fault:
            pass


class _Departures:
    """Lets members come and go at one address, and checks the active head all the time."""

    def __init__(self, cluster, rng):
        self._cluster, self._rng = cluster, rng
        self.members = []

    async def run(self, lives):
        """Plays the lives of `lives` members, one after the other."""
        observer = asyncio.ensure_future(self._observe())
        for index in range(lives):
            member = DepartingMember(self._cluster, self._rng, f"m{index}", "10.0.0.1:1")
            self.members.append(member)
            await member.live(self._rng.randint(1, 5), self._rng.random() < 0.5)
            await asyncio.sleep(self._rng.uniform(0, 2))
        await asyncio.sleep(_LATEST_ARRIVAL_S)
        observer.cancel()

    async def _observe(self):
        while True:
            for machine in self._cluster.cores:
                if machine.up and machine.node is not None and machine.node.chain.is_head:
                    self._check(machine.node.chain)
            await asyncio.sleep(_OBSERVATION_INTERVAL_S)

    def _check(self, chain):
        if not chain.is_active:
            return
        now, report = self._cluster.loop.time(), self._cluster.observer.report
        for member in self.members:
            row = chain.control_state.doc["members"].get(member.name, {"state": "gone"})
            if member.departed_at is not None and row["state"] != "gone":
                after_s = now - member.departed_at
                report("a departed member stays gone", f"{member.name} {row} after {after_s:.1f} s")
            if member.drained_at is not None and row["state"] == "ready":
                after_s = now - member.drained_at
                report("a draining member drains", f"{member.name} {row} after {after_s:.1f} s")


async def _disturb(cluster, rng, seconds):
    """Kills, freezes and isolates one control node after the other."""
    until = cluster.loop.time() + seconds
    while cluster.loop.time() < until:
        await asyncio.sleep(rng.uniform(0.5, 4))
        machine, kind = cluster.at(rng.randrange(3)), rng.choice(("kill", "freeze", "isolate"))
        away_s = rng.uniform(0.3, 3)
        if kind == "kill" and machine.up:
            machine.kill()
            await asyncio.sleep(away_s)
            cluster.boot(machine)
        elif kind == "freeze" and machine.up:
            machine.freeze(int(away_s * 1e6))
            await asyncio.sleep(away_s)
        elif kind == "isolate":
            cluster.isolate(machine, int(away_s * 1e6), rng.randrange(3))
            await asyncio.sleep(away_s)
        await asyncio.sleep(3)


async def play_departures(cluster, seed, lives=3, disturbed=True):
    """Plays members that depart from a started cluster; its observer has the violations."""
    rng = random.Random(seed)
    departures = _Departures(cluster, rng)
    disturbance = asyncio.ensure_future(_disturb(cluster, rng, 20 if disturbed else 0))
    await departures.run(lives)
    await disturbance
    return departures.members

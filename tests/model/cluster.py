"""Shipped control cores on simulated machines in virtual time, without proxies, members or a platform."""

import asyncio
import itertools
import random

from model.disk import ModelDisk
from model.observer import Observer
from petrelhaven.control.base_node import ControlNodeIdentity, NodeResources
from petrelhaven.control.node import ControlNode
from petrelhaven.simulator.net import Net, SimulatedMachine

__all__ = ["Cluster", "Shape"]

_ZONES = ("a", "b", "c")
_TURN_S = 0.01
_HEARTBEAT_US = 1_200_000
_RATES = (1.0, 1.045, 1.0, 1.02, 1.045)


class Shape:
    """Size of the cluster and of what its cores keep: a small file turns often, a short tail is trimmed soon."""

    def __init__(self, cores=3, file_bytes=1 << 20, tail=400):
        self.cores, self.file_bytes, self.tail = cores, file_bytes, tail

    def __repr__(self):
        return f"Shape({self.cores}, {self.file_bytes}, {self.tail})"


class ModelNet(Net):
    """A network whose ways can be slowed."""

    def __init__(self, loop, rng):
        super().__init__(loop, rng, 8_000)
        self.slowed = {}

    def delay(self, a, b):
        """One way, in seconds."""
        extra = max(self.slowed.get(a.name, 0.0), self.slowed.get(b.name, 0.0))
        return super().delay(a, b) + extra * self.rng.random()


class Cluster:
    """Three or five cores; `observer` checks the invariants all along."""

    def __init__(self, shape, seed):
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.shape = shape
        self.net = ModelNet(self.loop, self.rng)
        self.observer = Observer(self.loop)
        self.tolerated = (shape.cores - 1) // 2
        self._names = (f"c{i}" for i in itertools.count(1))
        self.cores = [self._machine(i) for i in range(shape.cores)]
        self._seeds = {b.name: self._listed() for b in self.cores}
        self.away = set()
        self.behind = set()
        self.leaving = []
        self.operators = SimulatedMachine(self.net, "operators", "out")

    def _machine(self, place):
        rate = _RATES[place % len(_RATES)]
        machine = SimulatedMachine(self.net, next(self._names), _ZONES[place % 3], rate)
        machine.disk = ModelDisk(machine)
        return machine

    def _listed(self):
        """The operator's list as a machine's file names it: three machines of the time when it was written."""
        return [f"sim:{b.name}" for b in self.cores[:3]]

    async def start(self):
        """Powers everything on for the first time and waits until the cores are ready."""
        self.operators.boot()
        self.operators.node = True
        for machine in self.cores:
            self.boot(machine, founds=True)
        self.loop.create_task(self._watch())
        return await self.until(
            lambda: all(
                b.node and b.node.ready and len(b.node.chain.view.members) == len(self.cores)
                for b in self.cores
            ),
            20,
        )

    def boot(self, machine, founds=False):
        """Powers a core on over what its disk holds."""
        if machine.up or machine.name in self.away:
            return
        machine.boot()
        try:
            machine.node = ControlNode(
                ControlNodeIdentity(machine.name, machine.zone, list(self._seeds[machine.name])),
                NodeResources(
                    machine.clock,
                    machine.tasks,
                    machine.link,
                    machine.disk,
                    random.Random(self.rng.random()),
                    machine.log,
                ),
                None,
                None,
                _HEARTBEAT_US,
                founds,
                self.tolerated,
            )
        except asyncio.CancelledError:
            if machine.up:
                raise
            return
        self.observer.attach(machine)
        machine.node.start()

    def at(self, index):
        """A core by its place."""
        return self.cores[index % len(self.cores)]

    def may_lose(self, machine):
        """Whether one more disk may be lost: those that came back empty count until they caught up."""
        return len(self.behind | {machine.name}) <= self.tolerated

    def lose_disk(self, machine):
        """Powers a core off for good with its disk, if that many losses are tolerated."""
        if not self.may_lose(machine):
            return False
        machine.kill()
        machine.disk.lose()
        self.behind.add(machine.name)
        return True

    def replace(self, index):
        """Removes a core; a new one with another name, address and disk comes in its place."""
        old = self.at(index)
        if not self.lose_disk(old):
            return None
        self.away.add(old.name)
        new = self.cores[index % len(self.cores)] = self._machine(index)
        self._seeds[new.name] = self._listed()
        self.behind.discard(old.name)
        self.behind.add(new.name)
        return new

    def replace_in_cut(self, index, us, start_us):
        """A core is cut off and removed for good; its successor starts inside the cut, `start_us` later."""
        old = self.at(index)
        if not self.may_lose(old):
            return None
        others = [b.name for b in self.cores if b is not old]
        self.net.cut([old.name], others, us)
        new = self.replace(index)
        self.net.cut([new.name], others, us)
        self.loop.call_later(start_us / 1e6, self.boot, new)
        return new

    def depart(self, index, after_us):
        """A planned replacement: the successor starts, and later the old core leaves in order and is removed."""
        old = self.at(index)
        if not self.may_lose(old) or not old.up or old.node is None:
            return None
        new = self.cores[index % len(self.cores)] = self._machine(index)
        self._seeds[new.name] = self._listed()
        self.behind.add(new.name)
        self.leaving.append(old)
        self.boot(new)
        self.loop.call_later(after_us / 1e6, lambda: old.tasks.spawn(self._leave(old)))
        return new

    async def _leave(self, old):
        await old.node.drain()
        self.loop.call_soon(self._remove, old)

    def _remove(self, old):
        self.leaving.remove(old)
        self.away.add(old.name)
        self.behind.discard(old.name)
        old.kill()
        old.disk.lose()

    def isolate(self, machine, us, way):
        """Cuts a core from the other cores: both ways, outwards only or inwards only."""
        others = [b.name for b in self.cores if b is not machine]
        if way % 3 == 2:
            self.net.cut(others, [machine.name], us, both=False)
        else:
            self.net.cut([machine.name], others, us, both=way % 3 == 0)

    def reset_connections(self, machine):
        """Closes every connection of a core; the other sides see it."""
        for end in list(machine.pipes.values()):
            end.cut(False)
            for machine, channel in ((end.a, end.ca), (end.b, end.cb)):
                if machine is machine:
                    channel.handle_connection_loss()

    async def until(self, condition, seconds):
        """Waits in virtual time for a condition; false if it did not come true."""
        end = self.loop.time() + seconds
        while not condition():
            if self.loop.time() > end:
                return False
            await asyncio.sleep(0.02)
        return True

    async def _watch(self):
        while True:
            self.observer.turn([*self.cores, *self.leaving])
            for name in list(self.behind):
                machine = next((b for b in self.cores if b.name == name), None)
                if machine and machine.up and machine.node and self._caught_up(machine.node):
                    self.behind.discard(name)
            await asyncio.sleep(_TURN_S)

    def _caught_up(self, node):
        newest = max(self.observer.views, default=0)
        return node.ready and node.chain.view.number == newest

    def heal(self):
        """Ends all trouble: nothing cut, slowed, frozen or off but what was removed."""
        self.net.cuts.clear()
        self.net.slowed.clear()
        self.net.loss = self.net.double = 0.0
        for machine in [*self.cores, *self.leaving]:
            machine.disk.crash_at_next_write = None
            machine.disk.full = False
            if machine.frozen:
                machine._thaw(machine.life)
            self.boot(machine)

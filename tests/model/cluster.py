"""A cluster of control nodes on simulated machines in virtual time, without proxies, members or a platform."""

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
_OBSERVATION_INTERVAL_S = 0.01
_HEARTBEAT_US = 1_200_000
_CLOCK_RATES = (1.0, 1.045, 1.0, 1.02, 1.045)


class Shape:
    """The number of control nodes and the sizes of their logs.

    Small files are switched often, and a small `tail` (the least number of stored records) makes nodes
    drop old records early.
    """

    def __init__(self, cores=3, file_bytes=1 << 20, tail=400):
        self.cores, self.file_bytes, self.tail = cores, file_bytes, tail

    def __repr__(self):
        return f"Shape({self.cores}, {self.file_bytes}, {self.tail})"


class ModelNet(Net):
    """A network in which machines can be slow."""

    def __init__(self, loop, rng):
        super().__init__(loop, rng, 8_000)
        self.slowed = {}

    def delay(self, source, target):
        """The delay of one message in seconds."""
        extra = max(self.slowed.get(source.name, 0.0), self.slowed.get(target.name, 0.0))
        return super().delay(source, target) + extra * self.rng.random()


class Cluster:
    """A cluster of three or five control nodes.

    Attributes:
        observer: Checks the invariants all the time.
        tolerated: How many disks may be lost at the same time.
        cores: The machines of the control nodes.
        away: Names of the machines that were removed permanently.
        behind: Names of the machines that have not caught up since they started with an empty disk.
        leaving: Machines that are departing in order.
    """

    def __init__(self, shape, seed):
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.shape = shape
        self.net = ModelNet(self.loop, self.rng)
        self.observer = Observer(self.loop)
        self.tolerated = (shape.cores - 1) // 2
        self._names = (f"c{i}" for i in itertools.count(1))
        self.cores = [self._new_machine(i) for i in range(shape.cores)]
        self._seeds = {machine.name: self._seed_addresses() for machine in self.cores}
        self.away = set()
        self.behind = set()
        self.leaving = []
        self.operators = SimulatedMachine(self.net, "operators", "out")

    def _new_machine(self, index):
        rate = _CLOCK_RATES[index % len(_CLOCK_RATES)]
        machine = SimulatedMachine(self.net, next(self._names), _ZONES[index % 3], rate)
        machine.disk = ModelDisk(machine)
        return machine

    def _seed_addresses(self):
        """The seeds in a machine's settings file: the first three machines when the file was written."""
        return [f"sim:{machine.name}" for machine in self.cores[:3]]

    async def start(self):
        """Starts all machines for the first time; returns whether the nodes became ready in time."""
        self.operators.boot()
        self.operators.node = True
        for machine in self.cores:
            self.boot(machine, founds=True)
        self.loop.create_task(self._watch())
        return await self.until(
            lambda: all(
                machine.node
                and machine.node.ready
                and len(machine.node.chain.view.members) == len(self.cores)
                for machine in self.cores
            ),
            20,
        )

    def boot(self, machine, founds=False):
        """Starts a control node with the present contents of its disk."""
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
        """The machine of the control node at an index, which wraps around."""
        return self.cores[index % len(self.cores)]

    def may_lose(self, machine):
        """Whether the disk of this machine may be lost as well. Machines that have not caught up count as lost."""
        return len(self.behind | {machine.name}) <= self.tolerated

    def lose_disk(self, machine):
        """Kills a machine and erases its disk if this loss is tolerated; returns whether it did so."""
        if not self.may_lose(machine):
            return False
        machine.kill()
        machine.disk.lose()
        self.behind.add(machine.name)
        return True

    def replace(self, index):
        """Removes a machine; a new one with another name, address and disk takes its place."""
        old = self.at(index)
        if not self.lose_disk(old):
            return None
        self.away.add(old.name)
        new = self.cores[index % len(self.cores)] = self._new_machine(index)
        self._seeds[new.name] = self._seed_addresses()
        self.behind.discard(old.name)
        self.behind.add(new.name)
        return new

    def replace_in_cut(self, index, cut_us, start_us):
        """Cuts off and removes a machine; its replacement starts after `start_us`, during the cut."""
        old = self.at(index)
        if not self.may_lose(old):
            return None
        others = [machine.name for machine in self.cores if machine is not old]
        self.net.cut([old.name], others, cut_us)
        new = self.replace(index)
        self.net.cut([new.name], others, cut_us)
        self.loop.call_later(start_us / 1e6, self.boot, new)
        return new

    def depart(self, index, after_us):
        """Planned replacement: a new machine starts; after `after_us`, the old one departs and is removed."""
        old = self.at(index)
        if not self.may_lose(old) or not old.up or old.node is None:
            return None
        new = self.cores[index % len(self.cores)] = self._new_machine(index)
        self._seeds[new.name] = self._seed_addresses()
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

    def isolate(self, machine, cut_us, direction):
        """Cuts a machine from the others: in both directions (0), outgoing (1) or incoming (2) only."""
        others = [other.name for other in self.cores if other is not machine]
        if direction % 3 == 2:
            self.net.cut(others, [machine.name], cut_us, both=False)
        else:
            self.net.cut([machine.name], others, cut_us, both=direction % 3 == 0)

    def reset_connections(self, machine):
        """Closes all connections of a machine; the other ends notice it."""
        for end in list(machine.pipes.values()):
            end.cut(False)
            for machine, channel in ((end.a, end.ca), (end.b, end.cb)):
                if machine is machine:
                    channel.handle_connection_loss()

    async def until(self, condition, seconds):
        """Waits in virtual time for a condition; returns whether it became true in time."""
        deadline = self.loop.time() + seconds
        while not condition():
            if self.loop.time() > deadline:
                return False
            await asyncio.sleep(0.02)
        return True

    async def _watch(self):
        while True:
            self.observer.check_nodes([*self.cores, *self.leaving])
            for name in list(self.behind):
                machine = next((core for core in self.cores if core.name == name), None)
                if machine and machine.up and machine.node and self._caught_up(machine.node):
                    self.behind.discard(name)
            await asyncio.sleep(_OBSERVATION_INTERVAL_S)

    def _caught_up(self, node):
        newest = max(self.observer.views, default=0)
        return node.ready and node.chain.view.number == newest

    def heal(self):
        """Ends all faults and starts all machines, except the ones that were removed permanently."""
        self.net.cuts.clear()
        self.net.slowed.clear()
        self.net.loss = self.net.double = 0.0
        for machine in [*self.cores, *self.leaving]:
            machine.disk.crash_at_next_write = None
            machine.disk.full = False
            if machine.frozen:
                machine._thaw(machine.life)
            self.boot(machine)

"""Schedules of the model: steps that Hypothesis draws or a test lists, run on a cluster, with checks at the end."""

import asyncio
import contextlib
from dataclasses import dataclass
from unittest import mock

from hypothesis import strategies

from model.cluster import Cluster, Shape
from model.disk import OUTCOMES
from model.operators import Operators
from petrelhaven.control.storage import node_store
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

__all__ = [
    "KINDS",
    "Result",
    "Step",
    "play",
    "play_without_healing",
    "schedules",
    "shapes",
    "shrunk",
]

_RECOVERY_TIMEOUT_S = 30.0
_MAX_ORDER_S = 10.0
_ZONES = ("a", "b", "c")


@dataclass(frozen=True, slots=True)
class Step:
    """One fault or order.

    Attributes:
        pause_ms: Wait before the step.
        kind: Kind of the fault or order.
        target: Index of the node.
        option: Selects a variant of the kind.
        span_ms: Duration of the fault.
    """

    pause_ms: int
    kind: str
    target: int = 0
    option: int = 0
    span_ms: int = 0


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a schedule.

    Attributes:
        broken: The first violation of each invariant, by the name of the invariant.
        acknowledged: Number of acknowledged orders.
        orders: Number of orders.
        reads: Number of successful reads.
        findings: The log of the network.
        cluster: The cluster after the schedule.
    """

    broken: dict
    acknowledged: int
    orders: int
    reads: int
    findings: list
    cluster: Cluster


class Player:
    """Runs the steps of a schedule on a cluster."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.operators = Operators(cluster)
        self.last_fault_ends_at = 0.0

    async def step(self, step):
        """Runs one step after its pause."""
        await asyncio.sleep(step.pause_ms / 1000)
        self.last_fault_ends_at = max(
            self.last_fault_ends_at, self._cluster.loop.time() + step.span_ms / 1000
        )
        getattr(self, "_" + step.kind)(self._cluster.at(step.target), step)

    def _call_later(self, delay_ms, action):
        self._cluster.loop.call_later(delay_ms / 1000, action)

    def _restart_later(self, machine, delay_ms):
        self._call_later(delay_ms, lambda: self._cluster.boot(machine))

    def _kill(self, machine, step):
        machine.kill(silent=step.option % 2 == 1)
        self._restart_later(machine, step.span_ms)

    def _tear(self, machine, step):
        machine.disk.crash_at_next_write = OUTCOMES[step.option % len(OUTCOMES)]
        self._restart_later(machine, step.span_ms + 1000)

    def _full(self, machine, step):
        """The disk refuses writes."""
        disk = machine.disk
        disk.full = True
        self._call_later(step.span_ms, lambda: setattr(disk, "full", False))

    def _lose(self, machine, step):
        if self._cluster.lose_disk(machine):
            self._restart_later(machine, step.span_ms)

    def _replace(self, machine, step):
        new = self._cluster.replace(step.target)
        if new is not None:
            self._restart_later(new, step.span_ms)

    def _gone(self, machine, step):
        """The machine and its disk are lost permanently, even if more losses than tolerated result."""
        self._cluster.away.add(machine.name)
        machine.kill(silent=True)
        machine.disk.lose()

    def _replace_in_cut(self, machine, step):
        """The machine is replaced during a cut; the new one starts after 80% of the duration."""
        self._cluster.replace_in_cut(step.target, step.span_ms * 1000, step.span_ms * 800)

    def _depart(self, machine, step):
        """The machine is replaced as planned; the old one departs at the end of the duration."""
        self._cluster.depart(step.target, step.span_ms * 1000)
        self.last_fault_ends_at = max(
            self.last_fault_ends_at, self._cluster.loop.time() + step.span_ms / 1000 + 6
        )

    def _cut(self, machine, step):
        self._cluster.isolate(machine, step.span_ms * 1000, step.option)

    def _split(self, machine, step):
        other = self._cluster.at(step.target + 1 + step.option)
        if other is not machine:
            self._cluster.net.cut([machine.name], [other.name], step.span_ms * 1000)

    def _freeze(self, machine, step):
        machine.freeze(step.span_ms * 1000)

    def _slow(self, machine, step):
        slowed = self._cluster.net.slowed
        slowed[machine.name] = 0.05 * (1 + step.option % 8)
        self._call_later(step.span_ms, lambda: slowed.pop(machine.name, None))

    def _lossy(self, machine, step):
        net, operators = self._cluster.net, self.operators
        operators.lost_answers, net.loss, net.double = 0.5, 0.2, 0.2

        def end():
            operators.lost_answers = net.loss = net.double = 0.0

        self._call_later(step.span_ms, end)

    def _reset(self, machine, step):
        self._cluster.reset_connections(machine)

    def _blackout(self, machine, step):
        for i, machine in enumerate(self._cluster.cores):
            machine.kill(silent=True)
            self._restart_later(machine, step.span_ms + (i * step.option * 300) % 2000)

    def _order(self, machine, step):
        self.operators.spawn(self.operators.apply(step.target))

    def _race(self, machine, step):
        self.operators.spawn(self.operators.race(step.target, step.target + step.option))

    def _burst(self, machine, step):
        for i in range(8):
            self.operators.spawn(self.operators.apply(step.target + i * step.option))

    def _many(self, machine, step):
        """Orders are sent one after the other until the duration is over."""

        async def apply_repeatedly():
            deadline = self._cluster.loop.time() + step.span_ms / 1000
            while self._cluster.loop.time() < deadline:
                await self.operators.apply(step.target)

        self.operators.spawn(apply_repeatedly())

    def _hall(self, machine, step):
        self.operators.spawn(self.operators.change_zone(step.target, _ZONES[step.option % 3]))

    def _read(self, machine, step):
        self.operators.spawn(self.operators.read(step.target))

    def _fence(self, machine, step):
        for i in range(len(self._cluster.cores)):
            self.operators.spawn(self.operators.fence(i))


_NOT_DRAWN = ("_call_later", "_restart_later", "_many", "_gone")
KINDS = tuple(
    sorted(
        name[1:]
        for name in vars(Player)
        if name[0] == "_" and name[1] != "_" and name not in _NOT_DRAWN
    )
)


async def _check_recovery(cluster, player, observer):
    """Ends all faults; then the nodes must become ready, acknowledge an order, catch up and answer reads."""
    operators = player.operators
    cluster.heal()
    operators.lost_answers = 0.0
    ready = await cluster.until(
        lambda: all(machine.node and machine.node.ready for machine in cluster.cores),
        _RECOVERY_TIMEOUT_S,
    )
    if not ready:
        states = [
            (machine.name, machine.up, bool(machine.node and machine.node.ready))
            for machine in cluster.cores
        ]
        observer.report(
            "every node is ready again after healing", f"within {_RECOVERY_TIMEOUT_S} s: {states}"
        )
    await asyncio.gather(*operators.tasks)
    sent_at = cluster.loop.time()
    if not await operators.apply(0):
        observer.report("an order is acknowledged after healing", "12 s without an acknowledgement")
    elif cluster.loop.time() - sent_at > _MAX_ORDER_S:
        observer.report(
            "an order is acknowledged after healing", f"{cluster.loop.time() - sent_at:.1f} s"
        )
    chains = [machine.node.chain for machine in cluster.cores if machine.node]
    caught_up = await cluster.until(
        lambda: all(chain.committed_seq >= observer.committed for chain in chains), 5
    )
    if not caught_up:
        observer.report(
            "a restarted node reaches the newest state",
            f"{[chain.committed_seq for chain in chains]}",
        )
    for index in range(len(cluster.cores)):
        for _ in range(10):
            if await operators.read(index) is not None:
                break
            await asyncio.sleep(0.3)
        else:
            observer.report(
                "the state can be read after healing", f"not through {cluster.at(index).name}"
            )


async def _play_and_heal(shape, steps, seed):
    """Runs a schedule, then ends all faults and checks that the cluster recovers."""
    cluster = Cluster(shape, seed)
    observer = cluster.observer
    if not await cluster.start():
        observer.report("the cluster starts", "nodes not ready within 20 s")
        return cluster, Player(cluster)
    player = Player(cluster)
    for step in steps:
        await player.step(step)
        if observer.broken:
            return cluster, player
    await asyncio.sleep(max(0.5, player.last_fault_ends_at - cluster.loop.time()))
    await _check_recovery(cluster, player, observer)
    return cluster, player


@contextlib.contextmanager
def _patched_sizes(shape):
    """Patches the sizes of the stores to those of the shape."""
    sizes = {"_log_file_bytes": lambda name: shape.file_bytes, "_MIN_RECENT_RECORDS": shape.tail}
    with mock.patch.multiple(node_store, **sizes):
        yield


async def _play_without_healing(shape, steps, seed, wait_ms):
    """Runs a schedule and waits for `wait_ms` without ending the faults."""
    cluster = Cluster(shape, seed)
    if not await cluster.start():
        cluster.observer.report("the cluster starts", "nodes not ready within 20 s")
    player = Player(cluster)
    for step in steps:
        await player.step(step)
    await asyncio.sleep(wait_ms / 1000)
    return cluster, player


def play_without_healing(shape, steps, seed, wait_ms):
    """Runs a schedule with permanent losses; orders must be acknowledged within `wait_ms` of the last step."""
    return play(shape, steps, seed, lambda *args: _play_without_healing(*args, wait_ms))


def play(shape, steps, seed=1, run=_play_and_heal):
    """Runs a schedule in virtual time and returns its result."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)
    try:
        with _patched_sizes(shape):
            cluster, player = loop.run_until_complete(run(shape, steps, seed))
        operators = player.operators
        for at, kind, *what in cluster.net.findings:
            cluster.observer.report(f"no {kind} fault in a node", f"at {at}: {what}")
        return Result(
            dict(cluster.observer.broken),
            operators.acknowledged,
            operators.orders,
            operators.reads,
            cluster.net.log,
            cluster,
        )
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


_PAUSES_MS = strategies.one_of(
    strategies.integers(0, 400), strategies.integers(0, 3000), strategies.just(0)
)
_SPANS_MS = strategies.one_of(
    strategies.integers(50, 1500),
    strategies.integers(500, 8000),
    strategies.sampled_from((20_000,)),
)


def schedules(max_steps=14):
    """Strategy that draws schedules."""
    # `builds` draws the arguments in the order of their names: renaming a field can change the schedules.
    step = strategies.builds(
        Step,
        pause_ms=_PAUSES_MS,
        kind=strategies.sampled_from(KINDS),
        target=strategies.integers(0, 4),
        option=strategies.integers(0, 7),
        span_ms=_SPANS_MS,
    )
    return strategies.lists(step, min_size=2, max_size=max_steps)


def shapes():
    """Strategy that draws shapes: three or five nodes, small or large files, few or many stored records."""
    return strategies.builds(
        Shape,
        cores=strategies.sampled_from((3, 3, 5)),
        file_bytes=strategies.sampled_from((1 << 20, 8192)),
        tail=strategies.sampled_from((400, 4)),
    )


def shrunk(shape, steps, seed, invariant, max_runs=60):
    """Returns the schedule without the steps that are not needed to violate `invariant`."""
    steps = list(steps)
    shortened = True
    while shortened and max_runs > 0:
        shortened = False
        for position in reversed(range(len(steps))):
            fewer = steps[:position] + steps[position + 1 :]
            max_runs -= 1
            if max_runs > 0 and invariant in play(shape, fewer, seed).broken:
                steps, shortened = fewer, True
    return steps

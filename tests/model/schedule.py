"""Schedules of the model: steps drawn by hypothesis or written down, played on a cluster and judged."""

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

__all__ = ["KINDS", "Result", "Step", "play", "play_to_the_end", "schedules", "shapes", "shrunk"]

_CALM_S = 30.0
_ORDER_S = 10.0
_ZONES = ("a", "b", "c")


@dataclass(frozen=True, slots=True)
class Step:
    """Waits `pause` ms, then brings `kind` about at core `who`, with `other` as its variant, for `span` ms."""

    pause: int
    kind: str
    who: int = 0
    other: int = 0
    span: int = 0


@dataclass(frozen=True, slots=True)
class Result:
    """What a played schedule showed."""

    broken: dict
    acknowledged: int
    orders: int
    reads: int
    findings: list
    cluster: Cluster


class Player:
    """Brings steps about."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.operators = Operators(cluster)
        self.ends = 0.0

    async def step(self, step):
        """One step, after its pause."""
        await asyncio.sleep(step.pause / 1000)
        self.ends = max(self.ends, self._cluster.loop.time() + step.span / 1000)
        getattr(self, "_" + step.kind)(self._cluster.at(step.who), step)

    def _later(self, span, action):
        self._cluster.loop.call_later(span / 1000, action)

    def _back(self, machine, span):
        self._later(span, lambda: self._cluster.boot(machine))

    def _kill(self, machine, step):
        machine.kill(silent=step.other % 2 == 1)
        self._back(machine, step.span)

    def _tear(self, machine, step):
        machine.disk.crash_at_next_write = OUTCOMES[step.other % len(OUTCOMES)]
        self._back(machine, step.span + 1000)

    def _full(self, machine, step):
        """The disk refuses writes for a while."""
        disk = machine.disk
        disk.full = True
        self._later(step.span, lambda: setattr(disk, "full", False))

    def _lose(self, machine, step):
        if self._cluster.lose_disk(machine):
            self._back(machine, step.span)

    def _replace(self, machine, step):
        new = self._cluster.replace(step.who)
        if new is not None:
            self._back(new, step.span)

    def _gone(self, machine, step):
        """Off for good, disk and all, whatever else is lost."""
        self._cluster.away.add(machine.name)
        machine.kill(silent=True)
        machine.disk.lose()

    def _replace_in_cut(self, machine, step):
        """The cut ends after the span; the successor starts in its last fifth."""
        self._cluster.replace_in_cut(step.who, step.span * 1000, step.span * 800)

    def _depart(self, machine, step):
        """The old core goes after the span, in order."""
        self._cluster.depart(step.who, step.span * 1000)
        self.ends = max(self.ends, self._cluster.loop.time() + step.span / 1000 + 6)

    def _cut(self, machine, step):
        self._cluster.isolate(machine, step.span * 1000, step.other)

    def _split(self, machine, step):
        other = self._cluster.at(step.who + 1 + step.other)
        if other is not machine:
            self._cluster.net.cut([machine.name], [other.name], step.span * 1000)

    def _freeze(self, machine, step):
        machine.freeze(step.span * 1000)

    def _slow(self, machine, step):
        slowed = self._cluster.net.slowed
        slowed[machine.name] = 0.05 * (1 + step.other % 8)
        self._later(step.span, lambda: slowed.pop(machine.name, None))

    def _lossy(self, machine, step):
        net, operators = self._cluster.net, self.operators
        operators.lost_answers, net.loss, net.double = 0.5, 0.2, 0.2

        def end():
            operators.lost_answers = net.loss = net.double = 0.0

        self._later(step.span, end)

    def _reset(self, machine, step):
        self._cluster.reset_connections(machine)

    def _blackout(self, machine, step):
        for i, machine in enumerate(self._cluster.cores):
            machine.kill(silent=True)
            self._back(machine, step.span + (i * step.other * 300) % 2000)

    def _order(self, machine, step):
        self.operators.spawn(self.operators.apply(step.who))

    def _race(self, machine, step):
        self.operators.spawn(self.operators.race(step.who, step.who + step.other))

    def _burst(self, machine, step):
        for i in range(8):
            self.operators.spawn(self.operators.apply(step.who + i * step.other))

    def _many(self, machine, step):
        """Changes one after the other, until the span is over."""

        async def one_by_one():
            end = self._cluster.loop.time() + step.span / 1000
            while self._cluster.loop.time() < end:
                await self.operators.apply(step.who)

        self.operators.spawn(one_by_one())

    def _hall(self, machine, step):
        self.operators.spawn(self.operators.turn_zone(step.who, _ZONES[step.other % 3]))

    def _read(self, machine, step):
        self.operators.spawn(self.operators.read(step.who))

    def _fence(self, machine, step):
        for i in range(len(self._cluster.cores)):
            self.operators.spawn(self.operators.fence(i))


_NOT_DRAWN = ("_later", "_back", "_many", "_gone")
KINDS = tuple(
    sorted(n[1:] for n in vars(Player) if n[0] == "_" and n[1] != "_" and n not in _NOT_DRAWN)
)


async def _judged(cluster, player, observer):
    """After the schedule: everything is healed, and the cluster must serve, catch up and keep."""
    operators = player.operators
    cluster.heal()
    operators.lost_answers = 0.0
    ready = await cluster.until(
        lambda: all(b.node and b.node.ready for b in cluster.cores), _CALM_S
    )
    if not ready:
        names = [(b.name, b.up, bool(b.node and b.node.ready)) for b in cluster.cores]
        observer.report("every core is ready again after calm", f"within {_CALM_S} s: {names}")
    await asyncio.gather(*operators.tasks)
    begun = cluster.loop.time()
    if not await operators.apply(0):
        observer.report("an order is acknowledged after calm", "12 s without an acknowledgement")
    elif cluster.loop.time() - begun > _ORDER_S:
        observer.report(
            "an order is acknowledged after calm", f"{cluster.loop.time() - begun:.1f} s"
        )
    held = [b.node.chain for b in cluster.cores if b.node]
    caught = await cluster.until(lambda: all(c.commit >= observer.committed for c in held), 5)
    if not caught:
        observer.report("a restarted core reaches the newest state", f"{[c.commit for c in held]}")
    for i in range(len(cluster.cores)):
        for _ in range(10):
            if await operators.read(i) is not None:
                break
            await asyncio.sleep(0.3)
        else:
            observer.report(
                "the state is read back after calm", f"not by way of {cluster.at(i).name}"
            )


async def _played(shape, steps, seed):
    cluster = Cluster(shape, seed)
    observer = cluster.observer
    if not await cluster.start():
        observer.report("the first start ends", "cores not ready within 20 s")
        return cluster, Player(cluster)
    player = Player(cluster)
    for step in steps:
        await player.step(step)
        if observer.broken:
            return cluster, player
    await asyncio.sleep(max(0.5, player.ends - cluster.loop.time()))
    await _judged(cluster, player, observer)
    return cluster, player


@contextlib.contextmanager
def _sizes(shape):
    sizes = {"_log_file_bytes": lambda name: shape.file_bytes, "_MIN_RECENT_RECORDS": shape.tail}
    with mock.patch.multiple(node_store, **sizes):
        yield


async def _unhealed(shape, steps, seed, ms):
    """Plays a schedule without healing anything after it; what is asked has `ms` to end."""
    cluster = Cluster(shape, seed)
    if not await cluster.start():
        cluster.observer.report("the first start ends", "cores not ready within 20 s")
    player = Player(cluster)
    for step in steps:
        await player.step(step)
    await asyncio.sleep(ms / 1000)
    return cluster, player


def play_to_the_end(shape, steps, seed, ms):
    """Plays a schedule whose losses last; the orders have `ms` after the last step to be acknowledged."""
    return play(shape, steps, seed, lambda *args: _unhealed(*args, ms))


def play(shape, steps, seed=1, played=_played):
    """Plays a schedule in virtual time and returns what it showed."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)
    try:
        with _sizes(shape):
            cluster, player = loop.run_until_complete(played(shape, steps, seed))
        operators = player.operators
        for at, kind, *what in cluster.net.findings:
            cluster.observer.report(f"no {kind} fault in a core", f"at {at}: {what}")
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


_PAUSES = strategies.one_of(
    strategies.integers(0, 400), strategies.integers(0, 3000), strategies.just(0)
)
_SPANS = strategies.one_of(
    strategies.integers(50, 1500),
    strategies.integers(500, 8000),
    strategies.sampled_from((20_000,)),
)


def schedules(most=14):
    """Drawn schedules."""
    step = strategies.builds(
        Step,
        pause=_PAUSES,
        kind=strategies.sampled_from(KINDS),
        who=strategies.integers(0, 4),
        other=strategies.integers(0, 7),
        span=_SPANS,
    )
    return strategies.lists(step, min_size=2, max_size=most)


def shapes():
    """Drawn clusters: three or five cores, files that turn or not, a tail that is trimmed or not."""
    return strategies.builds(
        Shape,
        cores=strategies.sampled_from((3, 3, 5)),
        file_bytes=strategies.sampled_from((1 << 20, 8192)),
        tail=strategies.sampled_from((400, 4)),
    )


def shrunk(shape, steps, seed, rule, tries=60):
    """The schedule with every step taken out that `rule` is broken without."""
    steps = list(steps)
    again = True
    while again and tries > 0:
        again = False
        for i in reversed(range(len(steps))):
            fewer = steps[:i] + steps[i + 1 :]
            tries -= 1
            if tries > 0 and rule in play(shape, fewer, seed).broken:
                steps, again = fewer, True
    return steps

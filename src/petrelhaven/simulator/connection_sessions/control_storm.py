"""Seeded storms against control: faults of cores piled on each other while operators send orders and read back."""

import asyncio
import random
import traceback

from petrelhaven.simulator.connection_sessions.control_faults import CONTROL_KINDS, ControlFaults
from petrelhaven.simulator.connection_sessions.control_fleet import ControlFleet
from petrelhaven.simulator.connection_sessions.storm import inside, serves_again

__all__ = ["name_of", "play", "run", "schedule", "shrink"]

_CLIENTS = 3
_SETTLE_S = 15.0
_COMPLETE_WITHIN_S = 12.0
_MOST_AT_ONCE = 6

Row = tuple[float, str, int]


def schedule(seed: int, piles: int = 3, kinds: list[str] | None = None) -> list[Row]:
    """Rows of (at second, kind, pick): piles of two to six faults that begin within two seconds of each other."""
    r = random.Random(seed * 7919 + 5)
    kinds = kinds or CONTROL_KINDS
    rows, at = [], 0.5
    for _ in range(piles):
        for _ in range(r.randrange(2, _MOST_AT_ONCE + 1)):
            rows.append((round(at + r.uniform(0, 2), 3), r.choice(kinds), r.randrange(1 << 30)))
        at += r.uniform(2, 14)
    return sorted(rows)


async def play(fleet: ControlFleet, rows: list[Row]) -> list[tuple]:
    """Brings the faults about while operators work; what was violated."""
    await fleet.start()
    faults = ControlFaults(fleet)
    fleet.start_clients(_CLIENTS)
    work = Work(fleet, faults)
    began = fleet.loop.time()
    for at, kind, pick in rows:
        await asyncio.sleep(max(0, began + at - fleet.loop.time()))
        faults.go(kind, pick)
    await asyncio.gather(*faults.tasks)
    while any(fleet.net.cuts.values()) or any(b.frozen for b in fleet.net.machines.values()):
        await asyncio.sleep(0.1)
    for core in fleet.cores:
        core.up or fleet.boot_core(core)
    bad = await catches_up(fleet)
    bad += await serves_again(fleet, _SETTLE_S)
    await work.end()
    await fleet.calm()
    return bad + await sent_again(fleet) + await fleet.check_commits() + fleet.verdict()


class Work:
    """Operators that send a configuration now and then and read it back, as long as the storm lasts."""

    def __init__(self, fleet: ControlFleet, faults: ControlFaults) -> None:
        self._fleet, self._faults, self._ended = fleet, faults, False
        self._tasks = [asyncio.ensure_future(c) for c in (self._send(), self._send(), self._read())]

    async def _send(self) -> None:
        while not self._ended:
            operator = self._fleet.operator(self._faults.lost_share)
            await operator.send(self._fleet.next_config())
            await asyncio.sleep(0.7)

    async def _read(self) -> None:
        while not self._ended:
            await self._fleet.operator().read_back()
            await asyncio.sleep(0.3)

    async def end(self) -> None:
        """Lets what is under way come to its end."""
        self._ended = True
        await asyncio.gather(*self._tasks)


async def catches_up(fleet: ControlFleet, within_s: float = _COMPLETE_WITHIN_S) -> list[tuple]:
    """Every core must be back in the chain with the newest state, soon after the last fault."""
    end = fleet.loop.time() + within_s
    while fleet.loop.time() < end:
        if fleet.is_complete():
            return []
        await asyncio.sleep(0.02)
    rows = [
        (
            c.name,
            c.node and c.node.state,
            c.node and c.node.store.control_state.seq,
            c.node.chain.view,
        )
        for c in fleet.cores
        if c.node
    ]
    return [("NOT CAUGHT UP", within_s, *map(str, rows))]


async def sent_again(fleet: ControlFleet) -> list[tuple]:
    """The newest acknowledged order and an old one, sent again through any core, are never refused."""
    heard = [r.order for r in fleet.orders if r.acknowledged is not None]
    for order in (heard[-1], heard[0]) if heard else ():
        if not hasattr(order, "version"):
            continue
        if not await fleet.operator().send(order) and not fleet.orders[-1].refusals:
            return [("UNACKNOWLEDGED", f"{order} sent again in calm time")]
    return []


def run(
    seed: int, rows: list[Row] | None = None, losses: int | None = None, kinds=None
) -> tuple[list[tuple], ControlFleet]:
    """One seeded storm: (violations, fleet); every other seed has five cores."""

    async def go(fleet: ControlFleet) -> list[tuple]:
        try:
            return await play(fleet, rows if rows is not None else schedule(seed, kinds=kinds))
        except AssertionError as e:
            return [("stuck", str(e)), *fleet.verdict()]
        except Exception as e:
            return [("code", repr(e), traceback.format_exc()[-600:]), *fleet.verdict()]

    return inside(go, seed, ControlFleet, losses=losses or 1 + seed % 2)


def name_of(violation: tuple) -> str:
    """The rule that a violation is of; findings of the run begin with their time."""
    return violation[0] if isinstance(violation[0], str) else violation[1]


def shrink(
    seed: int, rows: list[Row], broken: list[tuple], tries: int = 40, losses: int | None = None
) -> list[Row]:
    """The fewest faults of a schedule that still break the first of the rules that `broken` names."""
    rule = name_of(broken[0])
    again = True
    while again and len(rows) > 1:
        again = False
        for i in range(len(rows)):
            tries -= 1
            if tries < 0:
                return rows
            less = rows[:i] + rows[i + 1 :]
            if rule in map(name_of, run(seed, less, losses)[0]):
                rows, again = less, True
                break
    return rows

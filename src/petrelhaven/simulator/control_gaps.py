"""Measures how long no order is acknowledged when a core leaves, is replaced, is wiped, freezes or is cut off."""

import asyncio
import statistics
from collections.abc import Awaitable, Callable

from petrelhaven.simulator.connection_sessions.control_fleet import ControlFleet
from petrelhaven.simulator.connection_sessions.storm import inside
from petrelhaven.simulator.net import SimulatedMachine

__all__ = ["control_gaps"]

_OPERATORS = 4
_WARM_S = 3.0
_PLAYED_S = 28.0
_SEEDS = 5
_SHORT_FREEZE_US, _LONG_FREEZE_US, _CUT_US = 4_000_000, 20_000_000, 20_000_000


async def _nothing(fleet: ControlFleet, core: SimulatedMachine) -> None:
    """No trouble, to compare with."""


async def _leave(fleet: ControlFleet, core: SimulatedMachine) -> None:
    """SIGTERM, and a start with the same disk right after the end."""
    await asyncio.wait([core.tasks.spawn(core.node.drain())], timeout=6)
    core.kill()
    await asyncio.sleep(1)
    fleet.boot_core(core)


async def _planned(fleet: ControlFleet, core: SimulatedMachine) -> None:
    await fleet.replace_planned(core, 4.0)


async def _unplanned(fleet: ControlFleet, core: SimulatedMachine) -> None:
    await fleet.replace_unplanned(core, 2.0)


async def _wiped(fleet: ControlFleet, core: SimulatedMachine) -> None:
    fleet.wipe(core)
    await asyncio.sleep(1)
    fleet.boot_core(core)


async def _frozen_short(fleet: ControlFleet, core: SimulatedMachine) -> None:
    core.freeze(_SHORT_FREEZE_US)


async def _frozen_long(fleet: ControlFleet, core: SimulatedMachine) -> None:
    core.freeze(_LONG_FREEZE_US)


async def _cut_silent(fleet: ControlFleet, core: SimulatedMachine) -> None:
    fleet.cut([core.name], [c.name for c in fleet.cores if c is not core], _CUT_US)


async def _cut_one_way(fleet: ControlFleet, core: SimulatedMachine) -> None:
    fleet.cut([core.name], [c.name for c in fleet.cores if c is not core], _CUT_US, both=False)


_TROUBLES: dict[str, Callable[[ControlFleet, SimulatedMachine], Awaitable[None]]] = {
    "none": _nothing,
    "leaves, comes back": _leave,
    "replaced, planned": _planned,
    "replaced, gone at once": _unplanned,
    "wiped": _wiped,
    "frozen 4 s": _frozen_short,
    "frozen 20 s": _frozen_long,
    "cut 20 s, silent": _cut_silent,
    "cut 20 s, one way": _cut_one_way,
}


def _core_at(fleet: ControlFleet, place: str) -> SimulatedMachine:
    chain = fleet.chain_order()
    return {"head": chain[0], "middle": chain[len(chain) // 2], "tail": chain[-1]}[place]


async def _play(fleet: ControlFleet, place: str, trouble) -> tuple[float, float]:
    """Seconds without any acknowledgement, and the longest that one order waited for its own."""
    await fleet.start()
    stopped = False

    async def send_orders() -> None:
        operator = fleet.operator()
        while not stopped:
            await operator.send(fleet.next_config())
            await asyncio.sleep(0.1)

    senders = [asyncio.ensure_future(send_orders()) for _ in range(_OPERATORS)]
    await asyncio.sleep(_WARM_S)
    began = fleet.loop.time()
    work = asyncio.ensure_future(trouble(fleet, _core_at(fleet, place)))
    await asyncio.sleep(_PLAYED_S)
    ended = fleet.loop.time()
    stopped = True
    await asyncio.gather(work, *senders)
    heard = sorted(r.acknowledged for r in fleet.orders if r.acknowledged is not None)
    moments = [began, *(t for t in heard if began < t < ended), ended]
    gap = max(b - a for a, b in zip(moments, moments[1:], strict=False))
    return gap, max(r.ended - r.sent for r in fleet.orders if r.ended > began)


def control_gaps() -> int:
    """Seconds without acknowledgement for each trouble of one core, by its place in the chain and the cores' number."""
    print(
        f"{'trouble':>22} {'cores':>5} {'place':>6} {'none, median s':>14} {'none, longest s':>15} "
        f"{'one order, longest s':>20}"
    )
    for name, trouble in _TROUBLES.items():
        for losses in (1, 2):
            for place in ("head", "middle", "tail"):
                plays = [
                    inside(lambda f: _play(f, place, trouble), seed, ControlFleet, losses=losses)[0]
                    for seed in range(1, _SEEDS + 1)
                ]
                gaps = [gap for gap, _ in plays]
                print(
                    f"{name:>22} {2 * losses + 1:>5} {place:>6} {statistics.median(gaps):>14.2f} "
                    f"{max(gaps):>15.2f} {max(wait for _, wait in plays):>20.2f}",
                    flush=True,
                )
    return 0

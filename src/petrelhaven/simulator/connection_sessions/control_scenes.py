"""The worst days of control, each brought about on purpose; every scene returns what was violated."""

import asyncio

from petrelhaven.simulator.connection_sessions.control_fleet import CATCH_UP_S, ControlFleet
from petrelhaven.simulator.connection_sessions.control_storm import catches_up, sent_again
from petrelhaven.simulator.connection_sessions.operator_order import EvacuationOrder

__all__ = [
    "SCENES",
    "evacuation_delivered_late",
    "core_cut_off",
    "head_lost_in_view_change",
    "hundreds_of_changes",
    "number_overtaken",
    "orders_raced_and_sent_again",
    "replaced_planned_twice",
    "replaced_unplanned_in_turn",
]

_CUT_S = 22
_AT_ONCE = 8
_ROUTES = 1_000
_LOST_SHARE = 0.8
_LONGEST_WAIT_S = 5.0


async def core_cut_off(fleet: ControlFleet, place: int = 0, both: bool = True) -> list[tuple]:
    """A core cut from the others for over 20 s serves nothing old and confirms nothing; no order waits long."""
    await fleet.start()
    core = fleet.chain_order()[place]
    fleet.cut([core.name], [c.name for c in fleet.cores if c is not core], _CUT_S * 1_000_000, both)
    began = fleet.loop.time()
    while fleet.loop.time() < began + _CUT_S + 3:
        await fleet.operator().send(fleet.next_config(), first=core)
        await asyncio.gather(*[fleet.operator().read_back(first=c) for c in fleet.cores])
        await asyncio.sleep(0.5)
    waits = [r.ended - r.sent for r in fleet.orders]
    slow = [("SLOW ORDER", f"{max(waits):.2f} s")] if max(waits) > _LONGEST_WAIT_S else []
    return slow + await _ended(fleet)


async def orders_raced_and_sent_again(fleet: ControlFleet) -> list[tuple]:
    """Two contents under one number, each sent by four operators at once, most answers lost, heads killed."""
    await fleet.start()
    for i in range(4):
        one = fleet.next_config(1_500_000)
        raced = [one, fleet.config(one.version, 2_500_000)] * (_AT_ONCE // 2)
        sends = [asyncio.ensure_future(fleet.operator(_LOST_SHARE).send(o)) for o in raced]
        if i % 2:
            await asyncio.sleep(0.05)
            head = fleet.chain_order()[0]
            head.kill(silent=True)
        await asyncio.gather(*sends)
        if i % 2:
            await asyncio.sleep(1)
            fleet.boot_core(head)
    return await _ended(fleet)


async def number_overtaken(fleet: ControlFleet) -> list[tuple]:
    """A second content comes under a number after the next number was confirmed."""
    await fleet.start()
    one = fleet.next_config(1_500_000)
    await fleet.operator().send(one)
    await fleet.operator().send(fleet.next_config())
    await fleet.operator().send(fleet.config(one.version, 2_500_000))
    await fleet.operator().send(one)
    return await _ended(fleet)


async def replaced_planned_twice(fleet: ControlFleet) -> list[tuple]:
    """Two cores get successors, and are told to leave once those have had time to catch up."""
    await fleet.start()
    leaving = fleet.chain_order()[:2]
    new = [fleet.add_core(c.zone) for c in leaving]
    await asyncio.sleep(CATCH_UP_S)
    await asyncio.gather(*map(fleet.leave_for, leaving, new))
    return await _ended(fleet)


async def replaced_unplanned_in_turn(fleet: ControlFleet) -> list[tuple]:
    """Every core of the beginning is gone for good, one after the other, as soon as the last successor may be whole."""
    await fleet.start()
    for core in list(fleet.cores):
        await fleet.operator().send(fleet.next_config())
        await fleet.replace_unplanned(core, 1.0)
        while not fleet.may_lose_a_disk(fleet.cores[0]):
            await asyncio.sleep(0.1)
    return await _ended(fleet)


async def hundreds_of_changes(
    fleet: ControlFleet, wiped: bool = False, changes: int = 400
) -> list[tuple]:
    """A core that was down for hundreds of changes, one of them of many routes, comes back and leads soon after."""
    await fleet.start()
    core = fleet.chain_order()[1]
    if wiped:
        fleet.wipe(core)
    else:
        core.kill(silent=True)
    numbers = iter(range(changes))

    async def send() -> None:
        for number in numbers:
            routes = _ROUTES if number == changes // 2 else 0
            await fleet.operator().send(fleet.next_config(routes=routes))

    await asyncio.gather(*[send() for _ in range(_AT_ONCE)])
    fleet.boot_core(core)
    bad = await catches_up(fleet, CATCH_UP_S)
    if bad:
        return bad
    for other in [c for c in fleet.chain_order() if c is not core][: fleet.losses]:
        other.kill(silent=True)
    await fleet.operator().send(fleet.next_config())
    await fleet.operator().read_back()
    for other in fleet.cores:
        other.up or fleet.boot_core(other)
    return await _ended(fleet)


async def evacuation_delivered_late(fleet: ControlFleet) -> list[tuple]:
    """An evacuation is sent to a core that freezes, taken by another, ended, and delivered when the first one thaws."""
    await fleet.start()
    frozen = fleet.chain_order()[-1]
    frozen.freeze(15_000_000)
    head = fleet.chain_order()[0]
    for state, first in (("emptied", frozen), ("open", head)):
        if await fleet.operator().send(EvacuationOrder("c", state), first=first):
            fleet.zones_taken["c"] = state
        await asyncio.sleep(0.5)
    await asyncio.sleep(18)
    return await _ended(fleet)


async def head_lost_in_view_change(fleet: ControlFleet) -> list[tuple]:
    """The head of a new view is cut off, for long, at the moment the view is decided."""
    await fleet.start()
    old, head = fleet.chain_order()[:2]
    old.freeze(4_000_000)
    await fleet.until(lambda: fleet.chain_order()[0] is head, 5, "the next view")
    fleet.cut([head.name], [c.name for c in fleet.cores if c is not head], _CUT_S * 1_000_000)
    await asyncio.sleep(1)
    await fleet.operator().send(fleet.next_config())
    waited = fleet.orders[-1].ended - fleet.orders[-1].sent
    slow = [("SLOW ORDER", f"{waited:.2f} s")] if waited > _CUT_S / 2 else []
    await asyncio.sleep(_CUT_S)
    return slow + await _ended(fleet)


async def _ended(fleet: ControlFleet) -> list[tuple]:
    bad = await catches_up(fleet)
    if bad:
        return bad + fleet.verdict()
    return await sent_again(fleet) + await fleet.check_commits() + fleet.verdict()


SCENES = {
    f.__name__: f
    for f in (
        core_cut_off,
        orders_raced_and_sent_again,
        number_overtaken,
        replaced_planned_twice,
        replaced_unplanned_in_turn,
        hundreds_of_changes,
        evacuation_delivered_late,
        head_lost_in_view_change,
    )
}

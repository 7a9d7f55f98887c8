"""A second loss right after a repair: the head of a new view goes, with its disk, before it handed anything over."""

import asyncio

import pytest

from petrelhaven.simulator.connection_sessions.control_fleet import ControlFleet
from petrelhaven.simulator.connection_sessions.storm import inside


def whole(f):
    return all(
        b.node and b.node.chain.view and len(b.node.chain.view.chain) == 3 for b in f.cores
    ) and all(b.node.chain.is_confirmed for b in f.cores)


def note_handovers(machine):
    """The views in which `box` is told that it was handed everything, as they come."""
    views, append = [], machine.node.link.handlers["chain.append"]

    async def noted(channel, body):
        if body["done"]:
            views.append(body["view"])
        return await append(channel, body)

    machine.node.link.handlers["chain.append"] = noted
    return views


@pytest.mark.parametrize("seed,lose", [(1, True), (2, True), (3, True), (4, False)])
def test_the_head_of_a_new_view_is_lost_before_any_other_core_is_complete_in_it(seed, lose):
    async def go(f):
        await f.start()
        f.start_clients(5)
        await f.until(lambda: whole(f), 10, "chain whole")
        names = f.cores[0].node.chain.view.chain
        head, middle, tail = (f.net.machines[n] for n in names)
        f.history.trouble(f.loop.time(), f.loop.time() + 40, "core")
        tail.kill()
        await f.until(lambda: len(head.node.chain.view.chain) == 2, 10, "the tail is left out")
        assert await f.apply(2) is not None
        handed_over = note_handovers(middle)
        f.boot_core(tail)
        await f.until(
            lambda: (
                middle.node.chain.view.number == head.node.chain.view.number
                and len(middle.node.chain.view.chain) == 3
            ),
            10,
            "the new view is adopted",
        )
        assert middle.node.chain.view.number not in handed_over
        head.kill()
        if lose:
            head.disk.lose()
        await asyncio.sleep(1)
        f.boot_core(head)
        await f.until(lambda: whole(f), 15, "chain whole again")
        assert await f.apply(3) is not None
        await f.calm()
        await asyncio.sleep(1)
        return await f.check_commits() + f.verdict()

    bad, f = inside(go, seed)
    assert bad == []


@pytest.mark.parametrize("seed", range(1, 7))
def test_a_successor_that_started_inside_a_cut_counts_soon_after_its_end(seed):
    """The core that it replaces is gone for good, so a second loss right after the cut needs it."""

    async def go(fleet):
        await fleet.start()
        await fleet.until(fleet.is_complete, 10, "chain whole")
        gone = fleet.chain_order()[seed % 3]
        fleet.net.silent.add(gone.name)
        fleet.retire(gone)
        await asyncio.sleep(1)
        successor = fleet.add_core(gone.zone)
        others = [core for core in fleet.cores if core is not successor]
        cut_us = 6_000_000 + seed * 170_000
        fleet.cut([successor.name], [core.name for core in others], cut_us)
        await asyncio.sleep(cut_us / 1e6)
        healed = fleet.loop.time()
        await fleet.until(lambda: successor.node.chain.is_complete, 10, "the successor is whole")
        return fleet.loop.time() - healed

    took_s, _ = inside(go, seed, ControlFleet)
    assert took_s < 0.8

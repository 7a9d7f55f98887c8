"""A second node is lost right after the chain was repaired.

In the first test, the head of a new view is lost together with its disk before it has sent its records to
another node.
"""

import asyncio

import pytest

from petrelhaven.simulator.connection_sessions.control_fleet import ControlFleet
from petrelhaven.simulator.connection_sessions.storm import inside


def chain_is_full(fleet):
    """Whether all three nodes are in the chain and have a confirmed view."""
    return all(
        core.node and core.node.chain.view and len(core.node.chain.view.chain) == 3
        for core in fleet.cores
    ) and all(core.node.chain.is_confirmed for core in fleet.cores)


def record_handovers(machine):
    """Returns a list that receives each view in which the machine becomes complete."""
    views, append = [], machine.node.link.handlers["chain.append"]

    async def observed(channel, body):
        if body["done"]:
            views.append(body["view"])
        return await append(channel, body)

    machine.node.link.handlers["chain.append"] = observed
    return views


@pytest.mark.parametrize("seed,lose", [(1, True), (2, True), (3, True), (4, False)])
def test_the_head_of_a_new_view_is_lost_before_any_other_node_is_complete_in_it(seed, lose):
    async def go(fleet):
        await fleet.start()
        fleet.start_clients(5)
        await fleet.until(lambda: chain_is_full(fleet), 10, "the chain is full")
        names = fleet.cores[0].node.chain.view.chain
        head, middle, tail = (fleet.net.machines[name] for name in names)
        fleet.history.trouble(fleet.loop.time(), fleet.loop.time() + 40, "core")
        tail.kill()
        await fleet.until(
            lambda: len(head.node.chain.view.chain) == 2, 10, "the tail is removed from the chain"
        )
        assert await fleet.apply(2) is not None
        handovers = record_handovers(middle)
        fleet.boot_core(tail)
        await fleet.until(
            lambda: (
                middle.node.chain.view.number == head.node.chain.view.number
                and len(middle.node.chain.view.chain) == 3
            ),
            10,
            "the new view is adopted",
        )
        assert middle.node.chain.view.number not in handovers
        head.kill()
        if lose:
            head.disk.lose()
        await asyncio.sleep(1)
        fleet.boot_core(head)
        await fleet.until(lambda: chain_is_full(fleet), 15, "the chain is full again")
        assert await fleet.apply(3) is not None
        await fleet.calm()
        await asyncio.sleep(1)
        return await fleet.check_commits() + fleet.verdict()

    violations, _ = inside(go, seed)
    assert violations == []


@pytest.mark.parametrize("seed", range(1, 7))
def test_a_replacement_that_started_during_a_cut_is_complete_soon_after_the_cut(seed):
    """The replaced node is lost permanently, so a second loss right after the cut needs the replacement."""

    async def go(fleet):
        await fleet.start()
        await fleet.until(fleet.is_complete, 10, "the chain is full")
        lost = fleet.chain_order()[seed % 3]
        fleet.net.silent.add(lost.name)
        fleet.retire(lost)
        await asyncio.sleep(1)
        replacement = fleet.add_core(lost.zone)
        others = [core for core in fleet.cores if core is not replacement]
        cut_us = 6_000_000 + seed * 170_000
        fleet.cut([replacement.name], [core.name for core in others], cut_us)
        await asyncio.sleep(cut_us / 1e6)
        healed_at = fleet.loop.time()
        await fleet.until(
            lambda: replacement.node.chain.is_complete, 10, "the replacement is complete"
        )
        return fleet.loop.time() - healed_at

    took_s, _ = inside(go, seed, ControlFleet)
    assert took_s < 0.8

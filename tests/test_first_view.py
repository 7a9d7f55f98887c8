"""The first view of a new deployment, whose control nodes start in any order within a short time."""

import asyncio
import random

import pytest

from petrelhaven.control.consensus.view_maintenance import ViewMaintenance
from petrelhaven.simulator.connection_sessions.fleet import SimulatedFleet

START_WITHIN_S = 0.3
SETTLED_S = 20.0


@pytest.mark.parametrize("seed", [0, 250, *range(1, 9)])
def test_five_control_nodes_with_three_seeds_decide_one_first_view(warp, monkeypatch, seed):
    """Guards against two first views side by side, each with records of its own (LOST, no acknowledgement)."""
    first_views = set()
    distribute = ViewMaintenance.distribute

    def record_first_view(self, view):
        if view.number == 1:
            first_views.add(tuple(sorted(view.members)))
        distribute(self, view)

    monkeypatch.setattr(ViewMaintenance, "distribute", record_first_view)

    async def start_later(fleet, machine, delay_s):
        await asyncio.sleep(delay_s)
        fleet.boot_core(machine)

    async def go():
        fleet, rng = SimulatedFleet(seed, losses=2, edges=1), random.Random(seed)
        order = rng.sample(fleet.cores, len(fleet.cores))
        await asyncio.gather(
            *(start_later(fleet, machine, rng.uniform(0.0, START_WITHIN_S)) for machine in order)
        )
        await asyncio.sleep(SETTLED_S)
        return {machine.node.chain.view.chain for machine in fleet.cores}

    chains = warp(go())
    assert first_views == {("c1", "c2", "c3")}
    assert [len(chain) for chain in chains] == [5]

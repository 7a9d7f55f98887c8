"""Clients of resumable sessions run every kind of operation through proxies, control nodes and members."""

import asyncio

import pytest
from machine_time import wait_within

from petrelhaven.simulator.resumable.world import World


@pytest.mark.parametrize("size", ["small", "nordvik", "archivo"])
def test_every_operation_succeeds_in_virtual_time(warp, size):
    async def run_clients():
        world = World(1, size)
        await world.start()
        world.start_clients(20)
        await asyncio.sleep(10)
        await world.calm()
        assert world.verdict() == []
        kinds = {entry["t"] for entry in world.hist}
        assert kinds == {"write", "once", "both", "read", "show"}
        assert all(client.count["declined"] == 0 for client in world.clients)

    warp(run_clients())


def test_operations_succeed_in_real_processes(fleet):
    async def run_clients(processes):
        processes.start_clients(12, pause=0.1)
        await wait_within(processes, 30, lambda: _has_successes(processes, 150))
        await processes.calm()
        assert await processes.verdict() == []

    async def _has_successes(processes, expected):
        return sum(client.count["ok"] for client in processes.clients) >= expected

    fleet(run_clients)

import asyncio

import pytest
from machine_time import wait_within

from petrelhaven.simulator.resumable.world import World


@pytest.mark.parametrize("size", ["small", "nordvik", "archivo"])
def test_the_whole_path_serves_in_virtual_time(warp, size):
    async def go():
        w = World(1, size)
        await w.start()
        w.start_clients(20)
        await asyncio.sleep(10)
        await w.calm()
        assert w.verdict() == []
        kinds = {h["t"] for h in w.hist}
        assert kinds == {"write", "once", "both", "read", "show"}
        assert all(v.count["declined"] == 0 for v in w.clients)

    warp(go())


def test_the_whole_path_serves_in_real_processes(fleet):
    async def go(f):
        f.start_clients(12, pause=0.1)
        await wait_within(f, 30, lambda: _many(f, 150))
        await f.calm()
        assert await f.verdict() == []

    async def _many(f, n):
        return sum(v.count["ok"] for v in f.clients) >= n

    fleet(go)

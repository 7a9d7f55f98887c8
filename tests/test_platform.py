"""The stand-in platform: one caller at a time, fenced by epoch; routing by readiness; a warning has a deadline."""

import asyncio

import pytest
from virtual_io import LoopClock

from petrelhaven.emulator.balancer import LoadBalancer
from petrelhaven.emulator.platform import PlatformLogic
from petrelhaven.runtime.errors import Fenced, NotReady
from petrelhaven.runtime.tasks import BackgroundTasks


def test_one_caller_at_a_time_and_no_epoch_below_the_last(warp):
    told = []

    async def tell(member, verb, kw):
        told.append((member, verb, kw["epoch"]))

    async def go():
        p = PlatformLogic(LoopClock(), tell, lambda g: ["m1", "m2"])
        a, b = await asyncio.gather(
            p.promote("g", "m1", 3, "c1"), p.promote("g", "m2", 4, "c2"), return_exceptions=True
        )
        assert a["primary"] == "m1" and isinstance(b, NotReady)
        for m, n in (("m1", 2), ("m2", 3)):
            with pytest.raises(Fenced):
                await p.promote("g", m, n, "c2")
        assert (await p.promote("g", "m1", 3, "c2"))["epoch"] == 3
        p.unanswered = 1
        with pytest.raises(asyncio.TimeoutError):
            await asyncio.wait_for(p.promote("g", "m2", 5, "c2"), 5)
        assert ("m2", "promote", 5) in told and p.primary["g"] == ("m2", 5)

    warp(go())


def test_new_connections_go_to_ready_nodes_and_a_warning_ends_at_its_deadline(warp):
    async def go():
        up, killed = {"a": True, "b": True}, []

        async def ready(n):
            return up[n]

        async def warn(n):
            up[n] = False
            await asyncio.sleep(1.0)

        async def kill(n):
            killed.append((n, asyncio.get_running_loop().time()))

        u = LoadBalancer(LoopClock(), BackgroundTasks(), lambda: sorted(up), ready, warn, kill)
        t = asyncio.ensure_future(u.run())
        await asyncio.sleep(0.1)
        assert {u.pick() for _ in range(4)} == {"a", "b"}
        assert await u.stop("a", 3_000_000) is True
        assert {u.pick() for _ in range(4)} == {"b"}
        at = asyncio.get_running_loop().time()
        assert await u.stop("b", 300_000) is False
        assert [n for n, _ in killed] == ["a", "b"] and killed[1][1] - at < 0.35
        with pytest.raises(NotReady):
            u.pick()
        t.cancel()

    warp(go())

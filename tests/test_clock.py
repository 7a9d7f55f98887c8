"""The read clock against a simple model: a primary whose position rises, fetches that take any time, fail or stick."""

import asyncio
import random
from types import SimpleNamespace

import mutants
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from petrelhaven.proxy.reads.read_clock import LogicalClock, ReadClock
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

BOUNDS = SimpleNamespace(fetch_us=50_000, join_us=200_000, lanes=1)


class LoopClock(Clock):
    def now(self):
        return int(asyncio.get_running_loop().time() * 1e6)


def run(co):
    loop = WarpLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(co)
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


def clock(fetch, lanes=1):
    tasks = BackgroundTasks()
    b = SimpleNamespace(**{**vars(BOUNDS), "lanes": lanes})
    return ReadClock(LoopClock(), tasks, LogicalClock(), fetch, lambda: b)


async def drama(steps, lanes):
    """Random commits, reads, fetch outcomes, epoch changes; answers what each read was told and had to see."""
    world = {"pos": 0, "key": (1, "p1")}
    rng = random.Random(str(steps))
    told = []

    async def fetch(key):
        await asyncio.sleep(rng.choice([0.0, 0.004, 0.02]))
        if rng.random() < 0.15:
            raise Unreachable("fetch")
        pos = world["pos"] if key == world["key"] else None
        await asyncio.sleep(rng.choice([0.0, 0.01, 0.09]))
        if pos is None:
            raise Unreachable("former primary")
        return pos

    c = clock(fetch, lanes)
    c.set_leadership(world["key"])

    async def read():
        arr, must, key = c.logical_clock.next_timestamp(), world["pos"], c.leadership_key
        t0 = c.clock.now()
        pos = await c.request_position(arr)
        told.append((must, pos, c.clock.now() - t0, key))

    ts = []
    for kind, wait in steps:
        await asyncio.sleep(wait / 1000)
        if kind == "commit":
            world["pos"] += 1
        elif kind == "read":
            ts.append(asyncio.ensure_future(read()))
        else:
            world["key"] = (world["key"][0] + 1, "p2")
            world["pos"] += 10
            c.set_leadership(world["key"])
    await asyncio.gather(*ts)
    return told, c


STEPS = st.lists(
    st.tuples(st.sampled_from(["commit", "read", "read", "read", "epoch"]), st.integers(0, 15)),
    max_size=60,
)


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(STEPS, st.sampled_from([1, 3]))
def test_no_read_is_gated_below_a_commit_acknowledged_before_it(steps, lanes):
    told, c = run(drama(steps, lanes))
    for must, pos, took, _ in told:
        assert pos is None or pos >= must
        assert took <= BOUNDS.join_us + 1000
    assert c.count["fetches"] <= len(told) * 12


def test_without_the_guards_the_model_is_violated():
    for guard in ("any_pair_fits", "epoch_voids_nothing"):
        mp = pytest.MonkeyPatch()
        getattr(mutants, guard)(mp)
        rng = random.Random(3)
        try:
            bad = 0
            for _ in range(60):
                steps = [
                    (rng.choice(["commit", "read", "read", "epoch"]), rng.randrange(12))
                    for _ in range(40)
                ]
                told, c = run(drama(steps, 1))
                bad += any(pos is not None and pos < must for must, pos, _, _ in told) or any(
                    f.leadership_key != c.leadership_key for f in c._fetches
                )
            assert bad, guard
        finally:
            mp.undo()


def test_reads_that_arrive_together_share_one_fetch_and_one_after_it_fetches_anew():
    async def go():
        n = []

        async def fetch(key):
            n.append(key)
            await asyncio.sleep(0.01)
            return 7

        c = clock(fetch)
        arrivals = [c.logical_clock.next_timestamp() for _ in range(20)]
        first = c.logical_clock.next_timestamp()
        c.set_leadership((1, "p"))
        fs = [c.request_position(first)] + [c.request_position(a) for a in arrivals]
        assert await asyncio.gather(*fs) == [7] * 21
        assert len(n) == 1
        assert await c.request_position(arrivals[3]) == 7 and len(n) == 1
        await c.request_position(c.logical_clock.next_timestamp())
        assert len(n) == 2

    run(go())


def test_a_stuck_fetch_blocks_nobody_and_its_late_answer_never_replaces_a_newer_one():
    async def go():
        gates = []

        async def fetch(key):
            f = asyncio.get_running_loop().create_future()
            gates.append(f)
            return await f

        c = clock(fetch)
        c.set_leadership((1, "p"))
        a = c.request_position(c.logical_clock.next_timestamp())
        await asyncio.sleep(0.06)
        assert c.count["stuck"] == 1 and len(gates) == 2
        gates[1].set_result(9)
        assert await a == 9
        gates[0].set_result(3)
        await asyncio.sleep(0)
        assert c.latest.position == 9

    run(go())


def test_an_epoch_change_voids_the_cache_and_waiting_reads_fetch_anew_under_their_own_arrival():
    async def go():
        gates = {}

        async def fetch(key):
            f = gates[key] = asyncio.get_running_loop().create_future()
            return await f

        c = clock(fetch)
        c.set_leadership((1, "old"))
        r = c.request_position(c.logical_clock.next_timestamp())
        await asyncio.sleep(0.001)
        c.set_leadership((2, "new"))
        await asyncio.sleep(0.001)
        gates[(1, "old")].set_result(1000)
        await asyncio.sleep(0.001)
        assert not r.done() and c.latest is None
        gates[(2, "new")].set_result(40)
        assert await r == 40 and c.count["voided"] == 1

    run(go())


def test_the_bound_on_joining_gives_a_read_to_the_primary():
    async def go():
        async def fetch(key):
            raise Unreachable("down")

        c = clock(fetch)
        c.set_leadership((1, "p"))
        assert await c.request_position(c.logical_clock.next_timestamp()) is None
        assert c.clock.now() <= BOUNDS.join_us + 1000
        assert c.count["fetches"] < 12

    run(go())

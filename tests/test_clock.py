"""Tests the read clock against a model of a primary whose position advances.

Fetches take random times, fail, or never complete.
"""

import asyncio
import random
from types import SimpleNamespace

import mutants
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from virtual_io import LoopClock

from petrelhaven.proxy.reads.read_clock import LogicalClock, ReadClock
from petrelhaven.runtime.errors import Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

BOUNDS = SimpleNamespace(fetch_us=50_000, join_us=200_000, lanes=1)


def run(coroutine):
    loop = WarpLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


def make_read_clock(fetch, lanes=1):
    tasks = BackgroundTasks()
    bounds = SimpleNamespace(**{**vars(BOUNDS), "lanes": lanes})
    return ReadClock(LoopClock(), tasks, LogicalClock(), fetch, lambda: bounds)


async def run_scenario(steps, lanes):
    """Runs commits, reads and leadership changes with random fetch outcomes.

    Returns (required position, returned position, duration, leadership) of each read, and the clock.
    """
    world = {"pos": 0, "key": (1, "p1")}
    rng = random.Random(str(steps))
    results = []

    async def fetch(key):
        await asyncio.sleep(rng.choice([0.0, 0.004, 0.02]))
        if rng.random() < 0.15:
            raise Unreachable("fetch")
        position = world["pos"] if key == world["key"] else None
        await asyncio.sleep(rng.choice([0.0, 0.01, 0.09]))
        if position is None:
            raise Unreachable("former primary")
        return position

    read_clock = make_read_clock(fetch, lanes)
    read_clock.set_leadership(world["key"])

    async def read():
        arrival, required, key = (
            read_clock.logical_clock.next_timestamp(),
            world["pos"],
            read_clock.leadership_key,
        )
        started_at = read_clock.clock.now()
        position = await read_clock.request_position(arrival)
        results.append((required, position, read_clock.clock.now() - started_at, key))

    reads = []
    for kind, wait in steps:
        await asyncio.sleep(wait / 1000)
        if kind == "commit":
            world["pos"] += 1
        elif kind == "read":
            reads.append(asyncio.ensure_future(read()))
        else:
            world["key"] = (world["key"][0] + 1, "p2")
            world["pos"] += 10
            read_clock.set_leadership(world["key"])
    await asyncio.gather(*reads)
    return results, read_clock


STEPS = st.lists(
    st.tuples(st.sampled_from(["commit", "read", "read", "read", "epoch"]), st.integers(0, 15)),
    max_size=60,
)


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(STEPS, st.sampled_from([1, 3]))
def test_reads_never_miss_a_previously_acknowledged_commit(steps, lanes):
    results, read_clock = run(run_scenario(steps, lanes))
    for required, position, took_us, _ in results:
        assert position is None or position >= required
        assert took_us <= BOUNDS.join_us + 1000
    assert read_clock.count["fetches"] <= len(results) * 12


def test_mutants_without_a_guard_violate_the_model():
    for guard in ("any_pair_fits", "epoch_voids_nothing"):
        monkeypatch = pytest.MonkeyPatch()
        getattr(mutants, guard)(monkeypatch)
        rng = random.Random(3)
        try:
            violations = 0
            for _ in range(60):
                steps = [
                    (rng.choice(["commit", "read", "read", "epoch"]), rng.randrange(12))
                    for _ in range(40)
                ]
                results, read_clock = run(run_scenario(steps, 1))
                violations += any(
                    position is not None and position < required
                    for required, position, _, _ in results
                ) or any(
                    fetch.leadership_key != read_clock.leadership_key
                    for fetch in read_clock._fetches
                )
            assert violations, guard
        finally:
            monkeypatch.undo()


def test_concurrent_reads_share_one_fetch_and_a_later_read_starts_another():
    async def go():
        fetches = []

        async def fetch(key):
            fetches.append(key)
            await asyncio.sleep(0.01)
            return 7

        read_clock = make_read_clock(fetch)
        arrivals = [read_clock.logical_clock.next_timestamp() for _ in range(20)]
        first = read_clock.logical_clock.next_timestamp()
        read_clock.set_leadership((1, "p"))
        positions = [read_clock.request_position(first)] + [
            read_clock.request_position(arrival) for arrival in arrivals
        ]
        assert await asyncio.gather(*positions) == [7] * 21
        assert len(fetches) == 1
        assert await read_clock.request_position(arrivals[3]) == 7 and len(fetches) == 1
        await read_clock.request_position(read_clock.logical_clock.next_timestamp())
        assert len(fetches) == 2

    run(go())


def test_a_stuck_fetch_blocks_no_reads_and_its_late_answer_never_replaces_a_newer_one():
    async def go():
        answers = []

        async def fetch(key):
            answer = asyncio.get_running_loop().create_future()
            answers.append(answer)
            return await answer

        read_clock = make_read_clock(fetch)
        read_clock.set_leadership((1, "p"))
        position = read_clock.request_position(read_clock.logical_clock.next_timestamp())
        await asyncio.sleep(0.06)
        assert read_clock.count["stuck"] == 1 and len(answers) == 2
        answers[1].set_result(9)
        assert await position == 9
        answers[0].set_result(3)
        await asyncio.sleep(0)
        assert read_clock.latest.position == 9

    run(go())


def test_a_leadership_change_discards_the_position_and_waiting_reads_fetch_again():
    async def go():
        answers = {}

        async def fetch(key):
            answer = answers[key] = asyncio.get_running_loop().create_future()
            return await answer

        read_clock = make_read_clock(fetch)
        read_clock.set_leadership((1, "old"))
        position = read_clock.request_position(read_clock.logical_clock.next_timestamp())
        await asyncio.sleep(0.001)
        read_clock.set_leadership((2, "new"))
        await asyncio.sleep(0.001)
        answers[(1, "old")].set_result(1000)
        await asyncio.sleep(0.001)
        assert not position.done() and read_clock.latest is None
        answers[(2, "new")].set_result(40)
        assert await position == 40 and read_clock.count["voided"] == 1

    run(go())


def test_a_read_without_a_position_gives_up_after_the_time_limit():
    async def go():
        async def fetch(key):
            raise Unreachable("down")

        read_clock = make_read_clock(fetch)
        read_clock.set_leadership((1, "p"))
        assert await read_clock.request_position(read_clock.logical_clock.next_timestamp()) is None
        assert read_clock.clock.now() <= BOUNDS.join_us + 1000
        assert read_clock.count["fetches"] < 12

    run(go())

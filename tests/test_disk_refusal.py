"""Cores whose disk refuses writes, stalls or is slow: control goes on without them, and they come back themselves."""

import asyncio

import pytest

from petrelhaven.control.consensus.disk_watch import DiskWatch
from petrelhaven.simulator.connection_sessions.faults import DISK_KINDS, KINDS
from petrelhaven.simulator.connection_sessions.storm import inside, run, schedule


def identities(f):
    return {b.name: b.node.store.disk_id for b in f.cores if b.node}


def whole(f):
    views = [b.node.chain.view for b in f.cores if b.node]
    return (
        len(views) == 3
        and all(v and len(v.chain) == 3 for v in views)
        and all(b.node.chain.is_confirmed for b in f.cores)
    )


async def change(f, version, by=0):
    """An ordinary change; the seconds until it was acknowledged."""
    at = f.loop.time()
    assert await f.apply(version, by) is not None
    return f.loop.time() - at


async def end(f):
    await f.calm()
    await asyncio.sleep(1)
    return await f.check_commits() + f.verdict()


@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_core_whose_disk_is_full_leaves_the_chain_and_comes_back_under_its_identity(place):
    async def go(f):
        await f.start()
        f.start_clients(5)
        await f.until(lambda: whole(f), 10, "chain whole")
        was = identities(f)
        b = f.net.machines[f.cores[0].node.chain.view.chain[place]]
        b.disk.full = True
        f.history.trouble(f.loop.time(), f.loop.time() + 6, "core")
        took = [await change(f, v, v) for v in range(2, 7)]
        assert max(took) < 2.5, took
        assert b.node.store.refuses_writes and not b.node.chain.is_confirmed
        b.disk.full = False
        await f.until(lambda: whole(f), 10, "chain whole again")
        assert identities(f) == was
        return await end(f)

    bad, f = inside(go, 3 + place)
    assert bad == []


@pytest.mark.parametrize("seed", range(6))
def test_full_disk_early_then_a_core_lost_for_good_and_the_others_losing_power(seed):
    """The issue's day: of three disks one was gone, one had emptied itself, and no majority came ever again."""

    async def go(f):
        await f.start()
        f.start_clients(5)
        await f.until(lambda: whole(f), 10, "chain whole")
        was = identities(f)
        full, lost = f.cores[seed % 3], f.cores[(seed + 1 + seed // 3) % 3]
        full.disk.full = True
        f.history.trouble(f.loop.time(), f.loop.time() + 60, "core")
        version = 1
        for _ in range(3):
            version += 1
            await change(f, version, version)
        full.disk.full = False
        for _ in range(4):
            version += 1
            await change(f, version, version)
        await f.until(lambda: whole(f), 10, "chain whole again")
        await change(f, version + 1)
        for b in f.cores:
            b.kill()
        lost.disk.lose()
        await asyncio.sleep(0.5)
        for b in f.cores:
            f.boot_core(b)
        await f.until(lambda: whole(f), 20, "chain whole after the loss")
        now = identities(f)
        assert {n for n in now if now[n] != was[n]} == {lost.name}
        await change(f, version + 2)
        return await end(f)

    bad, f = inside(go, 40 + seed)
    assert bad == []


def test_a_full_disk_at_every_core_halts_control_and_ends_with_it():
    async def go(f):
        await f.start()
        await f.until(lambda: whole(f), 10, "chain whole")
        was = identities(f)
        for b in f.cores:
            b.disk.full = True
        f.history.trouble(f.loop.time(), f.loop.time() + 10, "core")
        waiting = asyncio.ensure_future(change(f, 2))
        await asyncio.sleep(5)
        assert not waiting.done()
        for b in f.cores:
            b.disk.full = False
        await waiting
        await f.until(lambda: whole(f), 10, "chain whole again")
        assert identities(f) == was
        return await end(f)

    bad, f = inside(go, 9)
    assert bad == []


def test_a_core_that_starts_on_a_full_disk_is_let_in_once_there_is_room():
    async def go(f):
        await f.start()
        await f.until(lambda: whole(f), 10, "chain whole")
        was = identities(f)
        b = f.cores[1]
        b.kill()
        b.disk.full = True
        f.history.trouble(f.loop.time(), f.loop.time() + 10, "core")
        f.boot_core(b)
        await change(f, 2)
        assert b.node.store.refuses_writes
        b.disk.full = False
        await f.until(lambda: whole(f), 10, "chain whole again")
        assert identities(f) == was
        return await end(f)

    bad, f = inside(go, 10)
    assert bad == []


@pytest.mark.parametrize("seed", range(12))
def test_storms_with_disks_in_trouble_break_no_rule(seed):
    rows = schedule(seed, 7, [*KINDS, *DISK_KINDS * 5])
    bad, f = run(seed, rows)
    assert bad == []


def test_without_being_left_out_of_the_next_view_a_refusing_core_halts_control(monkeypatch):
    monkeypatch.setattr(DiskWatch, "takes_writes", lambda self, name: True)

    async def go(f):
        await f.start()
        await f.until(lambda: whole(f), 10, "chain whole")
        f.net.machines[f.cores[0].node.chain.view.chain[0]].disk.full = True
        waiting = asyncio.ensure_future(change(f, 2))
        await asyncio.sleep(10)
        return waiting.done()

    assert inside(go, 3)[0] is False


def test_a_refusal_told_in_the_name_of_an_unknown_core_is_not_kept():
    async def go(f):
        await f.start()
        await f.until(lambda: whole(f), 10, "chain whole")
        watch = f.cores[0].node.disk_watch
        for name in ("nobody", "c2"):
            await watch.handle_notice(None, {"name": name, "refuses": True})
        return sorted(watch._refused_at)

    assert inside(go, 3)[0] == ["c2"]

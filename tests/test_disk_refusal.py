"""Control nodes whose disk refuses writes, stalls or is slow.

The other nodes continue without such a node, and it rejoins by itself.
"""

import asyncio

import pytest

from petrelhaven.control.consensus.disk_watch import DiskWatch
from petrelhaven.simulator.connection_sessions.faults import DISK_KINDS, KINDS
from petrelhaven.simulator.connection_sessions.storm import inside, run, schedule


def disk_identities(fleet):
    return {core.name: core.node.store.disk_id for core in fleet.cores if core.node}


def chain_is_full(fleet):
    """Whether all three nodes are in the chain and have a confirmed view."""
    views = [core.node.chain.view for core in fleet.cores if core.node]
    return (
        len(views) == 3
        and all(view and len(view.chain) == 3 for view in views)
        and all(core.node.chain.is_confirmed for core in fleet.cores)
    )


async def apply_change(fleet, version, by=0):
    """Applies a configuration; returns the seconds until it was acknowledged."""
    sent_at = fleet.loop.time()
    assert await fleet.apply(version, by) is not None
    return fleet.loop.time() - sent_at


async def final_violations(fleet):
    await fleet.calm()
    await asyncio.sleep(1)
    return await fleet.check_commits() + fleet.verdict()


@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_node_with_a_full_disk_leaves_the_chain_and_rejoins_with_the_same_disk_identity(place):
    async def go(fleet):
        await fleet.start()
        fleet.start_clients(5)
        await fleet.until(lambda: chain_is_full(fleet), 10, "the chain is full")
        identities_before = disk_identities(fleet)
        faulty = fleet.net.machines[fleet.cores[0].node.chain.view.chain[place]]
        faulty.disk.full = True
        fleet.history.trouble(fleet.loop.time(), fleet.loop.time() + 6, "core")
        durations = [await apply_change(fleet, version, version) for version in range(2, 7)]
        assert max(durations) < 2.5, durations
        assert faulty.node.store.refuses_writes and not faulty.node.chain.is_confirmed
        faulty.disk.full = False
        await fleet.until(lambda: chain_is_full(fleet), 10, "the chain is full again")
        assert disk_identities(fleet) == identities_before
        return await final_violations(fleet)

    violations, _ = inside(go, 3 + place)
    assert violations == []


@pytest.mark.parametrize("seed", range(6))
def test_a_full_disk_then_a_lost_disk_and_a_power_failure_leave_a_majority(seed):
    """Guards against the loss of the majority: of three disks, one was lost and one had emptied itself."""

    async def go(fleet):
        await fleet.start()
        fleet.start_clients(5)
        await fleet.until(lambda: chain_is_full(fleet), 10, "the chain is full")
        identities_before = disk_identities(fleet)
        full, lost = fleet.cores[seed % 3], fleet.cores[(seed + 1 + seed // 3) % 3]
        full.disk.full = True
        fleet.history.trouble(fleet.loop.time(), fleet.loop.time() + 60, "core")
        version = 1
        for _ in range(3):
            version += 1
            await apply_change(fleet, version, version)
        full.disk.full = False
        for _ in range(4):
            version += 1
            await apply_change(fleet, version, version)
        await fleet.until(lambda: chain_is_full(fleet), 10, "the chain is full again")
        await apply_change(fleet, version + 1)
        for core in fleet.cores:
            core.kill()
        lost.disk.lose()
        await asyncio.sleep(0.5)
        for core in fleet.cores:
            fleet.boot_core(core)
        await fleet.until(lambda: chain_is_full(fleet), 20, "the chain is full after the loss")
        identities = disk_identities(fleet)
        assert {name for name in identities if identities[name] != identities_before[name]} == {
            lost.name
        }
        await apply_change(fleet, version + 2)
        return await final_violations(fleet)

    violations, _ = inside(go, 40 + seed)
    assert violations == []


def test_full_disks_on_all_nodes_stop_control_until_they_take_writes():
    async def go(fleet):
        await fleet.start()
        await fleet.until(lambda: chain_is_full(fleet), 10, "the chain is full")
        identities_before = disk_identities(fleet)
        for core in fleet.cores:
            core.disk.full = True
        fleet.history.trouble(fleet.loop.time(), fleet.loop.time() + 10, "core")
        waiting = asyncio.ensure_future(apply_change(fleet, 2))
        await asyncio.sleep(5)
        assert not waiting.done()
        for core in fleet.cores:
            core.disk.full = False
        await waiting
        await fleet.until(lambda: chain_is_full(fleet), 10, "the chain is full again")
        assert disk_identities(fleet) == identities_before
        return await final_violations(fleet)

    violations, _ = inside(go, 9)
    assert violations == []


def test_a_node_that_starts_with_a_full_disk_rejoins_when_there_is_space():
    async def go(fleet):
        await fleet.start()
        await fleet.until(lambda: chain_is_full(fleet), 10, "the chain is full")
        identities_before = disk_identities(fleet)
        faulty = fleet.cores[1]
        faulty.kill()
        faulty.disk.full = True
        fleet.history.trouble(fleet.loop.time(), fleet.loop.time() + 10, "core")
        fleet.boot_core(faulty)
        await apply_change(fleet, 2)
        assert faulty.node.store.refuses_writes
        faulty.disk.full = False
        await fleet.until(lambda: chain_is_full(fleet), 10, "the chain is full again")
        assert disk_identities(fleet) == identities_before
        return await final_violations(fleet)

    violations, _ = inside(go, 10)
    assert violations == []


@pytest.mark.parametrize("seed", range(12))
def test_randomized_fault_runs_with_disk_faults_violate_no_rule(seed):
    faults = schedule(seed, 7, [*KINDS, *DISK_KINDS * 5])
    violations, _ = run(seed, faults)
    assert violations == []


def test_control_stops_if_a_node_with_a_refusing_disk_stays_in_the_chain(monkeypatch):
    monkeypatch.setattr(DiskWatch, "takes_writes", lambda self, name: True)

    async def go(fleet):
        await fleet.start()
        await fleet.until(lambda: chain_is_full(fleet), 10, "the chain is full")
        fleet.net.machines[fleet.cores[0].node.chain.view.chain[0]].disk.full = True
        waiting = asyncio.ensure_future(apply_change(fleet, 2))
        await asyncio.sleep(10)
        return waiting.done()

    assert inside(go, 3)[0] is False


def test_a_disk_notice_in_the_name_of_an_unknown_node_is_ignored():
    async def go(fleet):
        await fleet.start()
        await fleet.until(lambda: chain_is_full(fleet), 10, "the chain is full")
        watch = fleet.cores[0].node.disk_watch
        for name in ("nobody", "c2"):
            await watch.handle_notice(None, {"name": name, "refuses": True})
        return sorted(watch._refused_at)

    assert inside(go, 3)[0] == ["c2"]

"""A control node that comes back after all others were replaced at other addresses."""

import asyncio

import pytest

from petrelhaven.simulator.connection_sessions.control_fleet import CATCH_UP_S, ControlFleet

ABSENCE_S = 60.0
PAUSE_S = 2.0
JOIN_TIMEOUT_S = 10.0
SEEDS = 3


def _freeze(fleet, core):
    core.freeze(int(ABSENCE_S * 1e6))


def _cut_off(fleet, core):
    names = [machine.name for machine in [*fleet.cores, *fleet.edges] if machine is not core]
    later = [f"c{number}" for number in range(6, 10)]
    fleet.cut([core.name], [*names, *later], int(ABSENCE_S * 1e6), True)


def _power_off(fleet, core):
    core.kill(True)
    fleet.net.silent.add(core.name)

    async def power_on():
        await asyncio.sleep(ABSENCE_S)
        fleet.net.silent.discard(core.name)
        fleet.boot_core(core)

    fleet.loop.create_task(power_on())


def _chain_of(core):
    return core.node.chain.view.chain


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("absence", [_freeze, _cut_off, _power_off])
def test_a_control_node_that_was_away_while_all_others_were_replaced_joins_again(
    warp, absence, seed
):
    """Guards against a control node that knows only addresses that are gone, and goes by old records (CONFIG)."""

    async def go():
        fleet = ControlFleet(seed, losses=2)
        await fleet.start()
        away, *others = fleet.cores
        absence(fleet, away)
        await asyncio.sleep(CATCH_UP_S)
        started_at = fleet.loop.time()
        for core in others:
            new = await fleet.replace_unplanned(core, PAUSE_S)
            await fleet.until(
                lambda name=new.name: name in [machine.name for machine in fleet.chain_order()],
                JOIN_TIMEOUT_S,
                f"{new.name} is in the chain",
            )
            seeds = [core.name for core in fleet.cores if core is not away]
            fleet.exchange_seeds(seeds[-SEEDS:])
            assert await fleet.operator().send(fleet.next_config())
            await asyncio.sleep(CATCH_UP_S)
        assert fleet.loop.time() - started_at < ABSENCE_S - CATCH_UP_S
        assert away.name not in [machine.name for machine in fleet.chain_order()]
        await asyncio.sleep(ABSENCE_S + CATCH_UP_S - (fleet.loop.time() - started_at))
        chains = [_chain_of(core) for core in fleet.cores]
        versions = [
            machine.node.store.control_state.doc["manifest"]["version"] for machine in fleet.cores
        ]
        return away.name, chains, versions, fleet.config_number

    name, chains, versions, newest = warp(go())
    assert all(name in chain and chain == chains[0] for chain in chains)
    assert versions == [newest] * len(chains)

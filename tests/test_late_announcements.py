"""Announcements that arrive after their member has signed off, is draining or was replaced."""

import asyncio
import json

import pytest
from model.cluster import Cluster, Shape
from model.departing_members import play_departures

from petrelhaven.control.state.control_state import ControlState
from petrelhaven.runtime.errors import NotReady, Stale
from petrelhaven.simulator.connection_sessions.control_fleet import ControlFleet
from petrelhaven.simulator.connection_sessions.storm import inside

CHAIN_POSITIONS = pytest.mark.parametrize("place", [0, 1, 2], ids=["head", "middle", "tail"])


def heartbeat(count, state="ready", role="replica", member="m1", address="10.0.0.1:1"):
    return {
        "member": member,
        "group": "g1",
        "hall": "a",
        "addr": address,
        "role": role,
        "state": state,
        "slots": 5,
        "count": count,
    }


def node_at(fleet, place):
    """The control node at a place of the chain."""
    view = next(machine.node.chain.view for machine in fleet.cores if machine.node)
    return next(machine.node for machine in fleet.cores if machine.name == view.chain[place])


async def committed_state(fleet, member="m1"):
    """The state of a member, read as proxies and operators see it; None if it isn't stored."""
    document = await node_at(fleet, 0).control_state()
    row = document["members"].get(member)
    return row and row["state"]


async def sign_off_elsewhere(fleet, place):
    """A member sends beats to the node at `place`, its last one and its sign-off to another node."""
    await fleet.start()
    listener, other = node_at(fleet, place), node_at(fleet, (place + 1) % 3)
    await listener.announce(heartbeat(1))
    for count in (2, 3):
        await listener.announce(heartbeat(count))
    await other.announce(heartbeat(5))
    await other.deregister_member("m1")
    assert await committed_state(fleet) == "gone"
    return listener


@CHAIN_POSITIONS
@pytest.mark.parametrize("state", ["ready", "draining"])
@pytest.mark.parametrize("role", ["primary", "replica"])
def test_a_late_heartbeat_does_not_bring_back_a_member_that_signed_off(place, state, role):
    """Guards against statements that reach a member long after its acknowledged sign-off (DRAIN)."""

    async def scenario(fleet):
        listener = await sign_off_elsewhere(fleet, place)
        await asyncio.sleep(3)
        for count in (4, 6):
            await listener.announce(heartbeat(count, state, role))
        return await committed_state(fleet)

    assert inside(scenario, 1, ControlFleet, losses=1)[0] == "gone"


async def restart_head(fleet):
    machine = next(m for m in fleet.cores if m.node.chain.is_head)
    machine.kill()
    await asyncio.sleep(2)
    fleet.boot_core(machine)


async def restart_all(fleet):
    for machine in fleet.cores:
        machine.kill()
    await asyncio.sleep(1)
    for machine in fleet.cores:
        fleet.boot_core(machine)


@pytest.mark.parametrize("disrupt", [restart_head, restart_all])
def test_a_sign_off_is_final_after_a_leader_change_and_a_restart(disrupt):
    """Guards against control nodes that forget a sign-off with their memory (DRAIN)."""

    async def scenario(fleet):
        await sign_off_elsewhere(fleet, 1)
        await disrupt(fleet)
        await asyncio.sleep(8)
        for place in range(3):
            await node_at(fleet, place).announce(heartbeat(4))
        return await committed_state(fleet)

    assert inside(scenario, 1, ControlFleet, losses=1)[0] == "gone"


@pytest.mark.parametrize("place", [1, 2], ids=["middle", "tail"])
def test_a_sign_off_at_a_node_that_does_not_have_the_member_yet_is_recorded(place):
    """Guards against a sign-off that a node acknowledges unrecorded because its state is older."""

    async def scenario(fleet):
        await fleet.start()
        node = node_at(fleet, place)
        announced = asyncio.ensure_future(node_at(fleet, 0).announce(heartbeat(1)))
        await asyncio.sleep(0.001)
        assert "m1" not in node.chain.control_state.doc["members"]
        await node.deregister_member("m1")
        await announced
        return await committed_state(fleet)

    assert inside(scenario, 1, ControlFleet, losses=1)[0] == "gone"


@CHAIN_POSITIONS
def test_a_sign_off_of_a_member_that_nobody_recorded_is_not_acknowledged(place):
    """Guards against a late first heartbeat after an acknowledged sign-off (DRAIN)."""

    async def scenario(fleet):
        await fleet.start()
        with pytest.raises(NotReady):
            await node_at(fleet, place).deregister_member("m1")

    inside(scenario, 1, ControlFleet, losses=1)


def record(count, name="m1", state="ready", address="10.0.0.1:1", role="replica"):
    document = heartbeat(count, state, role, name, address)
    del document["member"]
    return {"t": "member", "name": name, **document}


def departure(name="m1", address="10.0.0.1:1", **count):
    return {"t": "member", "name": name, "state": "gone", "addr": address, **count}


def state_after(*records):
    control_state = ControlState()
    for document in records:
        control_state.check(document)
        control_state.apply(control_state.seq + 1, document)
    return control_state


@pytest.mark.parametrize("count", [1, 7, 8])
@pytest.mark.parametrize("state", ["ready", "draining"])
def test_a_departure_with_a_count_declines_announcements_up_to_it(count, state):
    """Guards against a departure that keeps no count above which an announcement is new (DRAIN)."""
    stored = state_after(record(1), departure(count=8)).snapshot()
    control_state = ControlState(json.loads(json.dumps(stored)))
    with pytest.raises(Stale):
        control_state.check(record(count, state=state))
    control_state.check(record(9))


def test_a_departed_member_does_not_come_back_as_draining():
    """Guards against a second drain time of a member that is draining or gone already (DRAIN)."""
    control_state = state_after(record(1), record(2, state="draining"), departure())
    with pytest.raises(Stale):
        control_state.check(record(9, state="draining"))


def test_a_late_announcement_does_not_displace_the_successor_at_the_address():
    """Guards against a replaced member whose late heartbeat takes its address back."""
    control_state = state_after(record(1, "m1"), record(1, "m2"))
    with pytest.raises(Stale):
        control_state.check(record(9, "m1"))
    control_state.check(record(9, "m1", address="10.0.0.1:2"))
    control_state.apply(control_state.seq + 1, departure("m2"))
    control_state.check(record(9, "m1"))


def test_a_departure_is_kept_while_others_depart():
    """Guards against dropping the newest departure, of the member that was recorded first."""
    control_state = state_after(record(1, "m1"))
    for index in range(80):
        name, address = f"n{index}", f"10.0.1.{index}:1"
        for document in (record(1, name, address=address), departure(name, address)):
            control_state.apply(control_state.seq + 1, document)
    control_state.apply(control_state.seq + 1, departure(count=8))
    control_state.apply(control_state.seq + 1, record(1, "m2", address="10.0.2.1:1"))
    with pytest.raises(Stale):
        control_state.check(record(7, "m1"))


def test_as_many_departures_are_kept_as_there_are_members():
    """Guards against forgetting departures within seconds while a large fleet is replaced."""
    control_state = ControlState()
    for name, address in [
        (f"n{index}", f"10.0.{index // 100}.{index % 100}:1") for index in range(300)
    ]:
        control_state.apply(control_state.seq + 1, record(1, name, address=address))
    for index in range(300):
        address = f"10.0.{index // 100}.{index % 100}:1"
        control_state.apply(control_state.seq + 1, departure(f"n{index}", address, count=8))
        new = record(1, f"s{index}", address=f"10.1.{index // 100}.{index % 100}:1")
        control_state.apply(control_state.seq + 1, new)
    for index in range(300):
        with pytest.raises(Stale):
            control_state.check(record(7, f"n{index}"))


async def violations_of_departures(seed, disturbed):
    """What breaks when the calls of departing members are delayed, doubled and reordered."""
    cluster = Cluster(Shape(), seed)
    assert await cluster.start()
    members = await play_departures(cluster, seed, disturbed=disturbed)
    assert all(member.departed_at for member in members)
    return dict(cluster.observer.broken)


@pytest.mark.parametrize("disturbed", [False, True], ids=["calm", "disturbed"])
@pytest.mark.parametrize("seed", range(12))
def test_no_order_of_a_departing_members_calls_brings_it_back(warp, seed, disturbed):
    """Guards against late, doubled and reordered calls that undo an acknowledged departure (DRAIN)."""
    assert warp(violations_of_departures(seed, disturbed)) == {}

"""The prober meets whoever sends it probes, also a peer that everybody else counts as well known."""

import asyncio
import random

from petrelhaven.membership.prober import Prober
from petrelhaven.membership.roster import NodeIdentity, Roster
from petrelhaven.simulator.net import Net, SimulatedMachine

WELL_KNOWN = 3


def member(net, name, seeds):
    machine = SimulatedMachine(net, name, "a")
    machine.boot()
    identity = NodeIdentity(name, "core", "a", machine.link.addr, 1)
    machine.node = Roster(machine.clock, identity, machine.log)
    machine.node.transmit_limit = WELL_KNOWN
    prober = Prober(
        machine.clock, machine.link, machine.tasks, random.Random(7), machine.node, seeds
    )
    prober.join_period_us = 60_000_000
    machine.tasks.spawn(prober.run())
    return machine


def test_a_new_node_finds_a_peer_that_no_longer_announces_itself(warp):
    async def go():
        net = Net(asyncio.get_running_loop(), random.Random(1), 1_000)
        old = [member(net, name, ["sim:a", "sim:b"]) for name in ("a", "b")]
        await asyncio.sleep(10)
        # all that a and b may pass on of themselves in probes has been passed on
        assert all(machine.node._own_transmit_count >= WELL_KNOWN for machine in old)
        new = member(net, "n", ["sim:a"])
        while new.node.state("a") is None or old[1].node.state("n") is None:
            await asyncio.sleep(0.01)
        old[0].kill(silent=True)
        new.node.peers.pop("b", None)
        await asyncio.sleep(1)
        assert new.node.state("b") == "alive"

    warp(go())


def test_a_known_sender_causes_no_roster_exchange(warp):
    async def go():
        net = Net(asyncio.get_running_loop(), random.Random(1), 1_000)
        a, b = (member(net, name, ["sim:a", "sim:b"]) for name in ("a", "b"))
        joins = []
        join = b.link.handlers["kith.join"]

        async def counted(channel, body):
            joins.append(body["src"])
            return await join(channel, body)

        b.link.handlers["kith.join"] = counted
        await asyncio.sleep(10)
        assert a.node.state("b") == "alive"
        assert len(joins) <= 3, joins

    warp(go())

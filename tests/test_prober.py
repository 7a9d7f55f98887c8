"""A prober exchanges rosters with senders of probes that are missing from its roster.

Guards against a new node that never learns of a peer: nodes stop announcing themselves once they
have reached the transmit limit, and the node that could report them may be gone.
"""

import asyncio
import random

from petrelhaven.membership.prober import Prober
from petrelhaven.membership.roster import NodeIdentity, Roster
from petrelhaven.simulator.net import Net, SimulatedMachine

TRANSMIT_LIMIT = 3


def start_node(net, name, seeds):
    machine = SimulatedMachine(net, name, "a")
    machine.boot()
    identity = NodeIdentity(name, "core", "a", machine.link.addr, 1)
    machine.node = Roster(machine.clock, identity, machine.log)
    machine.node.transmit_limit = TRANSMIT_LIMIT
    prober = Prober(
        machine.clock, machine.link, machine.tasks, random.Random(7), machine.node, seeds
    )
    prober.join_period_us = 60_000_000
    machine.tasks.spawn(prober.run())
    return machine


def test_a_new_node_finds_a_peer_that_no_longer_announces_itself(warp):
    async def scenario():
        net = Net(asyncio.get_running_loop(), random.Random(1), 1_000)
        old_nodes = [start_node(net, name, ["sim:a", "sim:b"]) for name in ("a", "b")]
        await asyncio.sleep(10)
        # a and b have reached the transmit limit: their probes no longer announce them
        assert all(machine.node._own_transmit_count >= TRANSMIT_LIMIT for machine in old_nodes)
        new_node = start_node(net, "n", ["sim:a"])
        while new_node.node.state("a") is None or old_nodes[1].node.state("n") is None:
            await asyncio.sleep(0.01)
        old_nodes[0].kill(silent=True)
        new_node.node.peers.pop("b", None)
        await asyncio.sleep(1)
        assert new_node.node.state("b") == "alive"

    warp(scenario())


def test_a_known_sender_causes_no_roster_exchange(warp):
    async def scenario():
        net = Net(asyncio.get_running_loop(), random.Random(1), 1_000)
        first, second = (start_node(net, name, ["sim:a", "sim:b"]) for name in ("a", "b"))
        joins = []
        handle_join = second.link.handlers["kith.join"]

        async def count_joins(channel, body):
            joins.append(body["src"])
            return await handle_join(channel, body)

        second.link.handlers["kith.join"] = count_joins
        await asyncio.sleep(10)
        assert first.node.state("b") == "alive"
        assert len(joins) <= 3, joins

    warp(scenario())

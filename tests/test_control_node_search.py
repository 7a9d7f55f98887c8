"""How a proxy finds a control node after it has lost the one that it was connected to."""

import asyncio
import random

import pytest
from virtual_io import LoopClock

from petrelhaven.proxy.core_connection import CoreConnection
from petrelhaven.runtime.errors import NotSent
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.connection_sessions.fleet import SimulatedFleet
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.proxy_messages import ControlNodeAddress, LeaseAnswer

CONTACT_S = 4.0
"""The least time after which the users count a machine as in touch again (ContactMs)."""
SILENCE_S = 1.0
"""After this time without an answer, the link gives up an attempt to connect."""
ATTEMPT_DELAY_S = 0.25
"""How much later the next address is tried while an attempt is not answered."""
OWN_ZONE, OTHER_ZONE = "a", "b"


class _Channel:
    """A connection to a control node that grants leases and names the nodes of its view."""

    def __init__(self, network, address):
        self._network, self.address = network, address
        self.gone = asyncio.get_running_loop().create_future()

    async def call(self, kind, body, timeout_us):
        if self.gone.done():
            raise NotSent(self.address)
        if kind == MessageKind.PROXY_CONNECT:
            return {"ok": self.address not in self._network.declining, "note": ""}
        return LeaseAnswer(
            granted=True,
            lease_us=700_000,
            confirmation_age_us=0,
            required_seq=0,
            view_number=self._network.view_number,
            proxy_count=1,
            control_nodes=self._network.view,
        ).to_body()

    def close(self):
        if not self.gone.done():
            self.gone.set_result(None)


class _Network:
    """A link to control nodes; addresses that aren't `alive` are silent, as without power.

    Nodes in `declining` accept connections and decline subscriptions; `delays` slows connecting, in seconds.
    """

    def __init__(self, alive):
        self.alive, self.view, self.view_number = set(alive), (), 0
        self.declining, self.delays, self.fails_next_attempts = set(), {}, 0
        self.opened = []

    def on(self, kind, handler):
        pass

    def set_view(self, number, addresses):
        """Sets the nodes of the view; those of even position are in the proxy's own zone."""
        self.view_number = number
        self.view = tuple(
            ControlNodeAddress(f"c-{address}", OTHER_ZONE if i % 2 else OWN_ZONE, address)
            for i, address in enumerate(addresses)
        )

    async def open(self, address):
        if self.fails_next_attempts:
            self.fails_next_attempts -= 1
            raise OSError(9, "Bad file descriptor")
        if address not in self.alive:
            await asyncio.sleep(SILENCE_S)
            raise NotSent(address)
        await asyncio.sleep(self.delays.get(address, 0.001))
        channel = _Channel(self, address)
        self.opened.append(channel)
        return channel

    def open_addresses(self):
        """Returns the addresses of the channels that are open."""
        return [channel.address for channel in self.opened if not channel.gone.done()]

    def lose(self, *addresses):
        self.alive.difference_update(addresses)
        for channel in self.opened:
            if channel.address in addresses:
                channel.close()


class _Proxy:
    """A core connection that knows the control nodes `known` of a view, and is configured."""

    def __init__(self, network, seeds, known):
        self.network, self.tasks = network, BackgroundTasks()
        self.connection = CoreConnection(
            LoopClock(),
            self.tasks,
            network,
            random.Random(1),
            "e1",
            list(seeds),
            lambda zone: 0 if zone == OWN_ZONE else 1,
        )
        self._known = known

    async def __aenter__(self):
        self.network.set_view(1, self._known)
        self.connection.start()
        await self.connected_within(1.0)
        self.connection.has_control_state = True
        return self

    async def __aexit__(self, *_):
        await self.tasks.close()

    async def connected_within(self, seconds):
        """Waits for a lease; returns how long that took, None if there was none within `seconds`."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while loop.time() < started_at + seconds:
            await asyncio.sleep(0.01)
            if self.connection.holds_lease:
                return loop.time() - started_at
        return None


def _addresses(prefix, count):
    return [f"{prefix}{i}:7580" for i in range(count)]


@pytest.mark.parametrize("count", [3, 14])
def test_a_proxy_whose_known_control_nodes_are_all_gone_connects_by_its_seeds(warp, count):
    """Guards against an outdated configuration for good: the known addresses were tried forever (CONFIG)."""
    old, new = _addresses("old", count), _addresses("new", 3)

    async def go():
        async with _Proxy(_Network(old), old[:3], old) as proxy:
            proxy.network.lose(*old)
            await asyncio.sleep(20.0)
            proxy.network.set_view(2, new)
            proxy.network.alive.update(new)
            proxy.connection.search.seeds[:] = new
            return await proxy.connected_within(CONTACT_S)

    assert warp(go()) is not None


def test_seeds_that_change_during_the_search_are_tried(warp):
    """Guards against a proxy out of contact that passes over addresses which were configured since (CONFIG)."""
    old, gone, new = _addresses("old", 3), _addresses("gone", 3), _addresses("new", 3)

    async def go():
        async with _Proxy(_Network(old), old, old) as proxy:
            proxy.network.lose(*old)
            for seeds in ([old[0], *gone[:2]], gone):
                await asyncio.sleep(9.0)
                proxy.connection.search.seeds[:] = seeds
            await asyncio.sleep(9.0)
            proxy.network.set_view(2, new)
            proxy.network.alive.update(new)
            proxy.connection.search.seeds[:] = [gone[0], gone[1], new[2]]
            return await proxy.connected_within(CONTACT_S)

    assert warp(go()) is not None


def test_known_nodes_that_decline_do_not_keep_a_proxy_from_its_seeds(warp):
    """Guards against a proxy that stays with control nodes which left the view and still run (CONFIG)."""
    old, new = _addresses("old", 3), _addresses("new", 3)

    async def go():
        async with _Proxy(_Network(old + new), new, old) as proxy:
            proxy.network.declining.update(old)
            for channel in proxy.network.opened:
                channel.close()
            await asyncio.sleep(1.0)
            proxy.network.set_view(2, new)
            return await proxy.connected_within(CONTACT_S)

    assert warp(go()) is not None


def test_a_near_known_node_comes_before_far_ones_and_seeds(warp):
    near, far, seed = "near0:7580", "far0:7580", "seed0:7580"

    async def go():
        async with _Proxy(_Network([near, far, seed]), [seed], [near, far]) as proxy:
            await asyncio.sleep(2.0)
            assert proxy.network.open_addresses() == [near]
            proxy.network.lose(near)
            proxy.network.alive.add(near)
            await asyncio.sleep(2.0)
            return proxy.network.open_addresses()

    assert warp(go()) == [near]


def test_a_silent_node_costs_a_short_delay_and_no_lease(warp):
    known = ["near0:7580", "far0:7580", "near1:7580"]

    async def go():
        async with _Proxy(_Network(known), known, known) as proxy:
            await asyncio.sleep(1.0)
            proxy.network.lose(known[0], known[2])
            lapses = 0
            for _ in range(300):
                await asyncio.sleep(0.01)
                lapses += not proxy.connection.holds_lease
            assert proxy.network.open_addresses() == [known[1]]
            return lapses

    assert warp(go()) == 0


def test_a_channel_that_opens_after_another_one_is_closed(warp):
    """Guards against leaked connections, which a control node would push records to."""
    known = _addresses("known", 3)

    async def go():
        async with _Proxy(_Network(known), known, known) as proxy:
            proxy.network.lose(*known)
            proxy.network.alive.update(known)
            proxy.network.delays.update({known[0]: 0.9, known[2]: 0.7})
            assert await proxy.connected_within(CONTACT_S) is not None
            await asyncio.sleep(20.0)
            return proxy.network.open_addresses()

    assert len(warp(go())) == 1


def test_an_unexpected_error_does_not_end_the_search(warp):
    """Guards against a proxy that searches no more: one OSError of the link ended the task for good (CONFIG)."""
    known = _addresses("known", 3)

    async def go():
        async with _Proxy(_Network(known), known, known) as proxy:
            proxy.network.fails_next_attempts = 2
            for channel in proxy.network.opened:
                channel.close()
            await asyncio.sleep(1.0)
            return await proxy.connected_within(CONTACT_S)

    assert warp(go()) is not None


def test_control_nodes_whose_addresses_were_unknown_at_first_become_known_to_proxies(warp):
    """Guards against a proxy that knows too few control nodes until the next view (CONFIG)."""

    async def go():
        fleet = SimulatedFleet(1)
        await fleet.start()
        search = fleet.edges[0].node.core_connection.search
        addresses, view_number = set(search.distances), search.view_number
        near = next(m.node for m in fleet.cores if m.zone == fleet.edges[0].zone)
        missing = next(name for name in near.chain.view.members if name != near.name)
        address_of = near.roster.address_of
        near.roster.address_of = lambda name: None if name == missing else address_of(name)
        search.view_number, search.distances = -1, {}
        await asyncio.sleep(0.3)
        incomplete = set(search.distances)
        near.roster.address_of = address_of
        await asyncio.sleep(0.3)
        assert near.chain.view.number == view_number
        return addresses, incomplete, set(search.distances)

    addresses, incomplete, known = warp(go())
    assert len(addresses) == 3 and len(incomplete) == 2
    assert known == addresses


@pytest.mark.parametrize("draw", range(40))
def test_whichever_control_node_is_left_is_found(warp, draw):
    """Guards against addresses that a search never comes to, in whatever state the others are (CONFIG)."""
    rng = random.Random(draw)
    known = _addresses("known", rng.choice([1, 3, 5, 14]))
    seeds = rng.sample(known, 1) + _addresses("seed", rng.randint(1, 3))
    left = rng.choice(sorted({*known, *seeds}))

    async def go():
        async with _Proxy(_Network(known), seeds, known) as proxy:
            proxy.network.lose(*known)
            await asyncio.sleep(rng.uniform(0.0, 30.0))
            proxy.network.set_view(2, [left])
            declining = rng.sample(known, rng.randrange(len(known) + 1))
            proxy.network.declining.update(set(declining) - {left})
            proxy.network.alive.update([left, *declining])
            proxy.network.delays[left] = rng.uniform(0.0, 0.1)
            return await proxy.connected_within(CONTACT_S + len(known) * ATTEMPT_DELAY_S)

    assert warp(go()) is not None

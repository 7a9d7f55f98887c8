"""How a proxy finds a control node after it has lost the one that it was connected to."""

import asyncio
import random

import pytest
from virtual_io import LoopClock

from petrelhaven.proxy.core_connection import CoreConnection
from petrelhaven.runtime.errors import NotSent
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.proxy_messages import ControlNodeAddress, LeaseAnswer

CONTACT_S = 4.0
"""The least time after which the users count a machine as in touch again (ContactMs)."""
SILENCE_S = 1.0
"""After this time without an answer, the link gives up an attempt to connect."""
OWN_ZONE = "a"


class _Channel:
    """A connection to a control node that grants leases and names the nodes of its view."""

    def __init__(self, network, address):
        self._network, self.address = network, address
        self.gone = asyncio.get_running_loop().create_future()

    async def call(self, kind, body, timeout_us):
        if self.gone.done():
            raise NotSent(self.address)
        if kind == MessageKind.PROXY_CONNECT:
            return {"ok": True}
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
    """A link to control nodes; addresses that aren't `alive` are silent, as without power."""

    def __init__(self, alive):
        self.alive, self.view, self.view_number = set(alive), (), 0
        self.opened, self.attempts = [], []

    def on(self, kind, handler):
        pass

    def set_view(self, number, addresses, zone=OWN_ZONE):
        self.view_number = number
        self.view = tuple(ControlNodeAddress(f"c-{a}", zone, a) for a in addresses)

    async def open(self, address):
        self.attempts.append((asyncio.get_running_loop().time(), address))
        if address not in self.alive:
            await asyncio.sleep(SILENCE_S)
            raise NotSent(address)
        channel = _Channel(self, address)
        self.opened.append(channel)
        return channel

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

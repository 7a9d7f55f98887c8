"""Failure detection in the manner of SWIM: probes, indirect probes and suspicion."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from petrelhaven.membership.messages import Probe
from petrelhaven.membership.update import ALIVE, GONE
from petrelhaven.runtime.errors import Fault
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from petrelhaven.membership.peer import Peer
    from petrelhaven.membership.roster import Roster
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.link import Channel, Link

__all__ = ["Prober"]

_PROBE_PERIOD_US = 200_000
_PROBE_TIMEOUT_US = 90_000
_MAX_INDIRECT_PROBES = 3
_JOIN_PERIOD_US = 2_000_000
_FIRST_JOIN_PERIOD_US = 200_000
_JOIN_TIMEOUT_US = 800_000
_SEED_PROBE_DELAY_US = 1_000_000
_SEED_PROBE_PERIOD_US = 100_000
_GONE_PEER_PROBE_PROBABILITY = 0.2
_INDIRECT_TIMEOUT_FACTOR = 3
_UNAWAITED_NONCE = 0


class Prober:
    """Keeps a roster up to date by probing one peer per period.

    Attributes:
        join_period_us: How often this node exchanges rosters with the seeds, once it has a peer.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (dependencies that the node injects)
        self,
        clock: Clock,
        link: Link,
        tasks: BackgroundTasks,
        rng: random.Random,
        roster: Roster,
        seeds: Sequence[str],
        period_us: int = _PROBE_PERIOD_US,
        probe_timeout_us: int = _PROBE_TIMEOUT_US,
        indirect_probes: int = _MAX_INDIRECT_PROBES,
    ) -> None:
        """Registers the message handlers; `run` starts this node's own probes.

        If a peer does not acknowledge a probe within `probe_timeout_us`, up to `indirect_probes`
        other peers are asked to probe it.
        """
        self.clock, self.link, self.tasks, self.rng = clock, link, tasks, rng
        self.roster, self.seeds = roster, seeds
        self.period_us, self.probe_timeout_us = period_us, probe_timeout_us
        self.indirect_probes = indirect_probes
        self.join_period_us = _JOIN_PERIOD_US
        self._pending_probes: dict[int, asyncio.Future[None]] = {}
        self._probe_queue: list[str] = []
        self._last_nonce = _UNAWAITED_NONCE
        self._contacted_senders: set[str] = set()
        self._joining = False
        link.on(MessageKind.PEER_PROBE, self._on_probe)
        link.on(MessageKind.PEER_ACKNOWLEDGE, self._on_acknowledge)
        link.on(MessageKind.PEER_PROBE_FOR, self._on_probe_for)
        link.on(MessageKind.PEER_JOIN, self._on_join)

    async def run(self) -> None:
        """Starts joining through the seeds, then probes peers until cancelled."""
        if not self._joining:
            self._joining = True
            self.tasks.spawn_service(self._join)
            self.tasks.spawn_service(self._probe_seeds)
        while True:
            await self.clock.sleep(self.period_us)
            self.roster.expire_suspicions()
            peer = self._next_peer()
            if peer is not None:
                self.tasks.spawn(self._probe_peer(peer))

    def leave(self, limit: int | None = None) -> None:
        """Notifies up to `wait_for` living peers (None: all of them) that this node is leaving."""
        self.roster.leaving = True
        body = self._introduction().to_body()
        for name in self.roster.living_peers()[:limit]:
            address = self.roster.address_of(name)
            if address is not None:
                self.link.send_datagram(address, MessageKind.PEER_ACKNOWLEDGE, body)

    async def _join(self) -> None:
        """Exchanges rosters with the seeds periodically."""
        while True:
            for address in self.seeds:
                if address != self.link.addr:
                    await self._exchange_rosters(address)
            pause_us = self.join_period_us if self.roster.peers else _FIRST_JOIN_PERIOD_US
            await self.clock.sleep(pause_us)

    async def _exchange_rosters(self, address: str) -> None:
        """Sends the full roster to the node at `address` and merges the roster that it returns."""
        body = {"src": self.link.addr, "news": self.roster.all_rows()}
        with contextlib.suppress(Fault):
            reply = await self.link.call(address, MessageKind.PEER_JOIN, body, _JOIN_TIMEOUT_US)
            self.roster.merge(reply["news"])

    async def _fetch_unknown_sender(self, address: str) -> None:
        """Exchanges rosters with the sender of a probe that is missing from this roster."""
        try:
            await self._exchange_rosters(address)
        finally:
            self._contacted_senders.discard(address)

    async def _probe_seeds(self) -> None:
        """Sends datagrams to the seeds frequently until the roster has a peer.

        A join over a connection may hang during a partition. Datagrams let a node that started
        inside a partition become known soon after the partition heals.
        """
        await self.clock.sleep(_SEED_PROBE_DELAY_US)
        while not self.roster.peers:
            body = self._introduction().to_body()
            for address in self.seeds:
                if address != self.link.addr:
                    self.link.send_datagram(address, MessageKind.PEER_PROBE, body)
            await self.clock.sleep(_SEED_PROBE_PERIOD_US)

    def _next_peer(self) -> Peer | None:
        """Returns the next peer of a shuffled round, which skips most peers that are gone."""
        while self._probe_queue:
            peer = self.roster.peers.get(self._probe_queue.pop())
            if peer is None:
                continue
            if peer.state != GONE or self.rng.random() < _GONE_PEER_PROBE_PROBABILITY:
                return peer
        self._probe_queue = sorted(self.roster.peers)
        self.rng.shuffle(self._probe_queue)
        return self.roster.peers.get(self._probe_queue.pop()) if self._probe_queue else None

    async def _probe_peer(self, peer: Peer) -> None:
        """Probes a peer directly, then indirectly; suspects it if every probe fails."""
        if await self._probe_address(peer.addr, MessageKind.PEER_PROBE):
            return
        others = [
            other
            for name, other in sorted(self.roster.peers.items())
            if name != peer.name and other.state == ALIVE
        ]
        self.rng.shuffle(others)
        indirect_probes = [
            self._probe_indirectly(other.addr, peer.addr)
            for other in others[: self.indirect_probes]
        ]
        reached = await asyncio.gather(*indirect_probes)
        if not any(reached):
            self.roster.suspect(peer.name)

    async def _probe_indirectly(self, address: str, target: str) -> bool:
        """Returns whether the node at `address` reports that `target` answered its probe."""
        kind = MessageKind.PEER_PROBE_FOR
        return await self._probe_address(address, kind, target, _INDIRECT_TIMEOUT_FACTOR)

    async def _probe_address(
        self, address: str, kind: str, target: str | None = None, timeout_factor: int = 1
    ) -> bool:
        """Sends a message of `kind` and returns whether it is acknowledged in time.

        The timeout is `timeout_factor` times the probe timeout.
        """
        self._last_nonce += 1
        nonce = self._last_nonce
        acknowledged = self._pending_probes[nonce] = asyncio.get_running_loop().create_future()
        self._send_probe(address, kind, nonce, target)
        try:
            await self.clock.wait_for(acknowledged, self.probe_timeout_us * timeout_factor)
        except Fault:
            return False
        else:
            return True
        finally:
            self._pending_probes.pop(nonce, None)

    def _introduction(self) -> Probe:
        """Returns a message with only the update about this node; no acknowledgement is awaited."""
        return Probe(_UNAWAITED_NONCE, self._own_address(), [self.roster.own_update().to_wire()])

    def _own_address(self) -> str:
        assert self.link.addr is not None, "the link must listen before the prober runs"
        return self.link.addr

    def _send_probe(self, address: str, kind: str, nonce: int, target: str | None = None) -> None:
        probe = Probe(nonce, self._own_address(), self.roster.rows(), target)
        self.link.send_datagram(address, kind, probe.to_body())

    def _acknowledge(self, probe: Probe) -> None:
        self._send_probe(probe.source, MessageKind.PEER_ACKNOWLEDGE, probe.nonce)

    def _on_probe(self, body: dict[str, Any]) -> None:
        self._acknowledge(self._merge_message(body))

    def _merge_message(self, body: dict[str, Any]) -> Probe:
        """Merges the updates of a received message and returns the message.

        A node omits itself from its probes once it has reached the transmit limit. A node that
        starts later may then hear of it from nobody, so it exchanges rosters with unknown senders.
        """
        probe = Probe.from_body(body)
        self.roster.record_contact(probe.source)
        self.roster.merge(probe.rows, probe.source)
        if probe.source not in self._contacted_senders and not self.roster.knows_address(
            probe.source
        ):
            self._contacted_senders.add(probe.source)
            self.tasks.spawn(self._fetch_unknown_sender(probe.source))
        return probe

    def _on_acknowledge(self, body: dict[str, Any]) -> None:
        probe = self._merge_message(body)
        acknowledged = self._pending_probes.get(probe.nonce)
        if acknowledged is not None and not acknowledged.done():
            acknowledged.set_result(None)

    def _on_probe_for(self, body: dict[str, Any]) -> None:
        self.tasks.spawn(self._probe_for(self._merge_message(body)))

    async def _probe_for(self, request: Probe) -> None:
        """Probes a peer for another node, and acknowledges the request only if the peer answers."""
        assert request.target is not None, "the contract requires the field"
        if await self._probe_address(request.target, MessageKind.PEER_PROBE):
            self._acknowledge(request)

    async def _on_join(self, channel: Channel, body: dict[str, Any]) -> dict[str, Any]:
        self.roster.merge(body["news"])
        return {"news": self.roster.all_rows()}

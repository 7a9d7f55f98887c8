"""Failure detection: probes in turn, second opinions of other nodes, suspicion before removal."""

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

_PERIOD_US = 200_000
_ANSWER_US = 90_000
_SECOND_OPINIONS = 3
_JOIN_PERIOD_US = 2_000_000
_FIRST_JOIN_PERIOD_US = 200_000
_JOIN_ANSWER_US = 800_000
_ALONE_US = 1_000_000
_SEED_PROBE_US = 100_000
_GONE_PROBED_SHARE = 0.2
_SECOND_OPINION_TIMES = 3
_NOBODY_WAITS = 0


class Prober:
    """Keeps a roster up to date by probing one peer a period.

    `join_period_us` is how often the seeds are asked for the whole roster once a peer is known.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (whoever runs it gives each)
        self,
        clock: Clock,
        link: Link,
        tasks: BackgroundTasks,
        rng: random.Random,
        roster: Roster,
        seeds: Sequence[str],
        period_us: int = _PERIOD_US,
        answer_us: int = _ANSWER_US,
        indirect_probes: int = _SECOND_OPINIONS,
    ) -> None:
        """Answers others' probes from now on; `run` starts this node's own.

        A peer has `answer_us` to answer; else `indirect_probes` others are asked to probe it.
        """
        self.clock, self.link, self.tasks, self.rng = clock, link, tasks, rng
        self.roster, self.seeds = roster, seeds
        self.period_us, self.answer_us, self.indirect_probes = period_us, answer_us, indirect_probes
        self.join_period_us = _JOIN_PERIOD_US
        self._waiting: dict[int, asyncio.Future[None]] = {}
        self._round: list[str] = []
        self._nonce = _NOBODY_WAITS
        self._meeting: set[str] = set()
        link.on(MessageKind.PEER_PROBE, self._on_probe)
        link.on(MessageKind.PEER_ACKNOWLEDGE, self._on_acknowledge)
        link.on(MessageKind.PEER_PROBE_FOR, self._on_probe_for)
        link.on(MessageKind.PEER_JOIN, self._on_join)

    async def run(self) -> None:
        """Joins through the seeds, then probes for good."""
        self.tasks.spawn(self._join())
        self.tasks.spawn(self._probe_seeds())
        while True:
            await self.clock.sleep(self.period_us)
            self.roster.expire_suspicions()
            peer = self._next()
            if peer is not None:
                self.tasks.spawn(self._check(peer))

    def leave(self, limit: int | None = None) -> None:
        """Notifies living peers, at most `limit` of them, that this node is leaving."""
        self.roster.leaving = True
        body = self._introduction().to_body()
        for name in self.roster.living_peers()[:limit]:
            address = self.roster.address_of(name)
            if address is not None:
                self.link.send_datagram(address, MessageKind.PEER_ACKNOWLEDGE, body)

    async def _join(self) -> None:
        while True:
            for address in self.seeds:
                if address != self.link.addr:
                    await self._exchange_rosters(address)
            pause_us = self.join_period_us if self.roster.peers else _FIRST_JOIN_PERIOD_US
            await self.clock.sleep(pause_us)

    async def _exchange_rosters(self, address: str) -> None:
        """Sends the whole roster to the node at `address` and merges its roster."""
        body = {"src": self.link.addr, "news": self.roster.all_rows()}
        with contextlib.suppress(Fault):
            reply = await self.link.call(address, MessageKind.PEER_JOIN, body, _JOIN_ANSWER_US)
            self.roster.merge(reply["news"])

    async def _meet(self, address: str) -> None:
        """Gets to know a node that sends probes but does not introduce itself in them."""
        try:
            await self._exchange_rosters(address)
        finally:
            self._meeting.discard(address)

    async def _probe_seeds(self) -> None:
        """Until a peer is known, probes the seeds often, without connections that hang.

        A node that starts inside a partition is known outside within a moment of its end.
        """
        await self.clock.sleep(_ALONE_US)
        while not self.roster.peers:
            body = self._introduction().to_body()
            for address in self.seeds:
                if address != self.link.addr:
                    self.link.send_datagram(address, MessageKind.PEER_PROBE, body)
            await self.clock.sleep(_SEED_PROBE_US)

    def _next(self) -> Peer | None:
        """The next peer of a shuffled round; of those gone, only some."""
        while self._round:
            peer = self.roster.peers.get(self._round.pop())
            if peer is None:
                continue
            if peer.state != GONE or self.rng.random() < _GONE_PROBED_SHARE:
                return peer
        self._round = sorted(self.roster.peers)
        self.rng.shuffle(self._round)
        return self.roster.peers.get(self._round.pop()) if self._round else None

    async def _check(self, peer: Peer) -> None:
        """Probes a peer; suspects it if neither this node nor the third parties reach it."""
        if await self._ping(peer.addr, MessageKind.PEER_PROBE):
            return
        others = [
            other
            for name, other in sorted(self.roster.peers.items())
            if name != peer.name and other.state == ALIVE
        ]
        self.rng.shuffle(others)
        opinions = [
            self._is_reached_by(other.addr, peer.addr) for other in others[: self.indirect_probes]
        ]
        reached = await asyncio.gather(*opinions)
        if not any(reached):
            self.roster.suspect(peer.name)

    async def _is_reached_by(self, address: str, target: str) -> bool:
        """Whether the node at `address` reports that it reaches the one at `target`."""
        kind = MessageKind.PEER_PROBE_FOR
        return await self._ping(address, kind, target, _SECOND_OPINION_TIMES)

    async def _ping(
        self, address: str, kind: str, target: str | None = None, times: int = 1
    ) -> bool:
        """Whether `address` acknowledges a message of `kind` in `times` the usual wait."""
        self._nonce += 1
        nonce = self._nonce
        answered = self._waiting[nonce] = asyncio.get_running_loop().create_future()
        self._send(address, kind, nonce, target)
        try:
            await self.clock.limit(answered, self.answer_us * times)
        except Fault:
            return False
        else:
            return True
        finally:
            self._waiting.pop(nonce, None)

    def _introduction(self) -> Probe:
        """An update about this node alone, which nobody has to acknowledge."""
        return Probe(_NOBODY_WAITS, self._own_address(), [self.roster.own_update().to_wire()])

    def _own_address(self) -> str:
        assert self.link.addr is not None, "the link listens before the prober runs"
        return self.link.addr

    def _send(self, address: str, kind: str, nonce: int, target: str | None = None) -> None:
        probe = Probe(nonce, self._own_address(), self.roster.rows(), target)
        self.link.send_datagram(address, kind, probe.to_body())

    def _acknowledge(self, probe: Probe) -> None:
        self._send(probe.source, MessageKind.PEER_ACKNOWLEDGE, probe.nonce)

    def _on_probe(self, body: dict[str, Any]) -> None:
        self._acknowledge(self._merge_sender(body))

    def _merge_sender(self, body: dict[str, Any]) -> Probe:
        """Reads a probe and merges what its sender reports.

        A sender that counts as well known leaves itself out of its probes. A node that started
        only now may not know it, and whoever did may be gone: so it asks.
        """
        probe = Probe.from_body(body)
        self.roster.record_contact(probe.source)
        self.roster.merge(probe.rows, probe.source)
        if probe.source not in self._meeting and not self.roster.knows_address(probe.source):
            self._meeting.add(probe.source)
            self.tasks.spawn(self._meet(probe.source))
        return probe

    def _on_acknowledge(self, body: dict[str, Any]) -> None:
        probe = self._merge_sender(body)
        answered = self._waiting.get(probe.nonce)
        if answered is not None and not answered.done():
            answered.set_result(None)

    def _on_probe_for(self, body: dict[str, Any]) -> None:
        self.tasks.spawn(self._second_opinion(self._merge_sender(body)))

    async def _second_opinion(self, request: Probe) -> None:
        """Probes a peer for another node, which learns only if it answers."""
        assert request.target is not None, "its contract has the field"
        if await self._ping(request.target, MessageKind.PEER_PROBE):
            self._acknowledge(request)

    async def _on_join(self, channel: Channel, body: dict[str, Any]) -> dict[str, Any]:
        self.roster.merge(body["news"])
        return {"news": self.roster.all_rows()}

"""The roster of peers that one node keeps, merged from updates."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, NamedTuple

from petrelhaven.membership.peer import Peer
from petrelhaven.membership.update import ALIVE, GONE, SUSPECT, PeerUpdate
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    import logbook

    from petrelhaven.runtime.clock import Clock

__all__ = ["NodeIdentity", "Roster"]

_EVENTS = {
    ALIVE: Events.PEER_RETURNED,
    SUSPECT: Events.PEER_SUSPECTED,
    GONE: Events.PEER_GONE,
}
_SUSPICION_US = 900_000
_ROWS_A_PROBE = 6

WireRow = list[str | int]


class NodeIdentity(NamedTuple):
    """Who and where a node is."""

    name: str
    role: str
    zone: str
    address: str
    incarnation: int


class Roster:
    """What one node knows of its peers.

    Attributes:
        peers: every peer by its name.
        on_change: called with a peer and its former state (None for a new one) at every change.
        spread_limit: how often an update is passed on before it counts as well known; 0 for no
            limit.
        leaving: whether this node is leaving.
    """

    def __init__(
        self,
        clock: Clock,
        identity: NodeIdentity,
        log: logbook.Logger | None = None,
        suspect_us: int = _SUSPICION_US,
    ) -> None:
        """Knows only this node.

        Args:
            clock: measures how long peers are suspected.
            identity: this node.
            log: takes the events of peers that come and go.
            suspect_us: after how many microseconds of suspicion, which the peer did not refute, it
                counts as gone.
        """
        self.clock, self.log = clock, log
        self.name, self.role, self.zone, self.addr, self.incarnation = identity
        self.peers: dict[str, Peer] = {}
        self.on_change: list[Callable[[Peer, str | None], object]] = []
        self.suspect_us = suspect_us
        self.leaving = False
        self.transmit_limit = 0
        self._own_transmit_count = 0

    def own_update(self) -> PeerUpdate:
        """What this node reports of itself."""
        state = GONE if self.leaving else ALIVE
        return PeerUpdate(self.name, self.role, self.zone, self.addr, self.incarnation, state)

    def knows_address(self, address: str) -> bool:
        """Whether a peer, or this node, has the link address `address`."""
        return address == self.addr or any(peer.addr == address for peer in self.peers.values())

    def record_contact(self, address: str) -> None:
        """Notes that the peer at `address` sent a message to this node itself."""
        for peer in self.peers.values():
            if peer.addr == address:
                peer.last_contact = self.clock.now()

    def merge(self, rows: Any, source: str | None = None) -> None:  # noqa: ANN401 (from the wire)
        """Merges rows of updates that the node at the address `source` sent.

        A peer that others report as gone is only suspected while it sends to this node itself.

        Raises:
            Malformed: a row is not an update.
        """
        for update in PeerUpdate.parse_rows(rows):
            if update.name == self.name:
                self._refute(update)
                continue
            peer = self.peers.get(update.name)
            if peer is None:
                self._add(update)
            elif update.supersedes(peer.state, peer.incarnation):
                self._update(peer, update, source)

    def _refute(self, update: PeerUpdate) -> None:
        """Refutes that this node is suspect or gone; exceeds the incarnation of a former run."""
        if self.leaving:
            return
        denied = update.state != ALIVE and update.incarnation >= self.incarnation
        if denied:
            self._own_transmit_count = 0
        if denied or update.incarnation > self.incarnation:
            self.incarnation = update.incarnation + 1

    def _add(self, update: PeerUpdate) -> None:
        peer = self.peers[update.name] = Peer(update, self.clock.now())
        if update.state != ALIVE:
            self._change_state(peer, update.state, update.incarnation)
            return
        emit(self.log, Events.PEER_JOINED, peer=update.name, incarnation=update.incarnation)
        for notify in self.on_change:
            notify(peer, None)

    def _update(self, peer: Peer, update: PeerUpdate, source: str | None) -> None:
        if update.state == GONE and self._is_hearsay(peer, update, source):
            if peer.state == ALIVE:
                self._change_state(peer, SUSPECT, update.incarnation)
            return
        peer.role, peer.zone, peer.addr = update.role, update.zone, update.address
        self._change_state(peer, update.state, update.incarnation)
        peer.departed = update.state == GONE and update.address == source

    def gone_duration_us(self, name: str) -> int | None:
        """Microseconds since peer `name` counts as gone; None if it does not, or is not known."""
        peer = self.peers.get(name)
        if peer is None or peer.state != GONE:
            return None
        return self.clock.now() - peer.changed_at

    def has_departed(self, name: str) -> bool:
        """Whether peer `name` told this node itself that it leaves, and has not come back."""
        peer = self.peers.get(name)
        return peer is not None and peer.departed

    def _is_hearsay(self, peer: Peer, update: PeerUpdate, source: str | None) -> bool:
        """Whether a report of others contradicts the peer's own messages to this node."""
        if update.address == source or update.incarnation != peer.incarnation:
            return False
        return self.clock.now() - peer.last_contact < self.suspect_us

    def _change_state(self, peer: Peer, state: str, incarnation: int) -> None:
        old = peer.state
        peer.apply(state, incarnation, self.clock.now())
        if old == state:
            return
        emit(self.log, _EVENTS[state], peer=peer.name, incarnation=incarnation)
        for notify in self.on_change:
            notify(peer, old)

    def suspect(self, name: str) -> None:
        """Suspects a peer that did not answer."""
        peer = self.peers.get(name)
        if peer is not None and peer.state == ALIVE:
            self._change_state(peer, SUSPECT, peer.incarnation)

    def expire_suspicions(self) -> None:
        """Counts peers as gone whose suspicion nobody refuted in time."""
        now = self.clock.now()
        for peer in list(self.peers.values()):
            if peer.state == SUSPECT and now - peer.changed_at >= self.suspect_us:
                self._change_state(peer, GONE, peer.incarnation)

    def rows(self, most: int = _ROWS_A_PROBE) -> list[WireRow]:
        """At most `most` rows for a probe: this node first, then the least spread.

        With `transmit_limit`, only what is not well known yet.
        """
        if self.transmit_limit:
            return self._little_known_rows(most)
        peers = sorted(self.peers.values(), key=lambda peer: (peer.spread, peer.name))
        return [self.own_update().to_wire(), *self._pass_on(peers[:most])]

    def _little_known_rows(self, most: int) -> list[WireRow]:
        self._own_transmit_count += 1
        peers = [
            peer
            for _, peer in sorted(self.peers.items())
            if peer.spread < self.transmit_limit or peer.state == SUSPECT
        ]
        rows = self._pass_on(peers[:most])
        if self._own_transmit_count < self.transmit_limit or self.leaving:
            rows.insert(0, self.own_update().to_wire())
        return rows

    @staticmethod
    def _pass_on(peers: Sequence[Peer]) -> list[WireRow]:
        for peer in peers:
            peer.spread += 1
        return [peer.update().to_wire() for peer in peers]

    def all_rows(self) -> list[WireRow]:
        """Every row."""
        peers = [peer for _, peer in sorted(self.peers.items())]
        return [self.own_update().to_wire(), *(peer.update().to_wire() for peer in peers)]

    def living_peers(self, role: str | None = None) -> list[str]:
        """Names of peers not gone, by role."""
        return [
            name
            for name, peer in sorted(self.peers.items())
            if peer.state != GONE and role in (None, peer.role)
        ]

    def state(self, name: str) -> str | None:
        """ALIVE, SUSPECT or GONE; None for a node that is not known."""
        if name == self.name:
            return ALIVE
        peer = self.peers.get(name)
        return peer.state if peer is not None else None

    def address_of(self, name: str) -> str | None:
        """The link address of `name`."""
        if name == self.name:
            return self.addr
        peer = self.peers.get(name)
        return peer.addr if peer is not None else None

"""The roster: one node's list of its peers, merged from received updates."""

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

_STATE_EVENTS = {
    ALIVE: Events.PEER_RETURNED,
    SUSPECT: Events.PEER_SUSPECTED,
    GONE: Events.PEER_GONE,
}
_SUSPICION_TIMEOUT_US = 900_000
_MAX_PEERS_PER_PROBE = 6

WireRow = list[str | int]


class NodeIdentity(NamedTuple):
    """The name, role, zone, link address and incarnation of a node."""

    name: str
    role: str
    zone: str
    address: str
    incarnation: int


class Roster:
    """The peers of one node and their membership states.

    Attributes:
        peers: every peer, by name.
        on_change: listeners, called with a peer and its previous state (None for a new peer) after
            each change.
        transmit_limit: how often an update is sent before probes omit it; 0 for no limit.
        leaving: whether this node is leaving.
    """

    def __init__(
        self,
        clock: Clock,
        identity: NodeIdentity,
        log: logbook.Logger | None = None,
        suspect_us: int = _SUSPICION_TIMEOUT_US,
    ) -> None:
        """Creates a roster without peers.

        Args:
            clock: monotonic clock in microseconds.
            identity: the identity of this node.
            log: receives events about peers.
            suspect_us: how long a peer may refute a suspicion before it counts as gone, in
                microseconds.
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
        """Returns the update about this node itself."""
        state = GONE if self.leaving else ALIVE
        return PeerUpdate(self.name, self.role, self.zone, self.addr, self.incarnation, state)

    def knows_address(self, address: str) -> bool:
        """Whether `address` is the link address of a peer or of this node."""
        return address == self.addr or any(peer.addr == address for peer in self.peers.values())

    def record_contact(self, address: str) -> None:
        """Records that the peer at `address` sent a message to this node."""
        for peer in self.peers.values():
            if peer.addr == address:
                peer.last_contact = self.clock.now()

    def merge(self, rows: Any, source: str | None = None) -> None:  # noqa: ANN401 (received, not validated)
        """Merges the rows that the node at the address `source` sent.

        A peer that others report as gone is only suspected if it recently sent a message to this
        node.

        Raises:
            Malformed: A row is not a valid update.
        """
        for update in PeerUpdate.parse_rows(rows):
            if update.name == self.name:
                self._refute(update)
                continue
            peer = self.peers.get(update.name)
            if peer is None:
                self._add_peer(update)
            elif update.supersedes(peer.state, peer.incarnation):
                self._update_peer(peer, update, source)

    def _refute(self, update: PeerUpdate) -> None:
        """Refutes a report that this node is suspect or gone, by a higher incarnation.

        The incarnation also exceeds that of an earlier run of this node.
        """
        if self.leaving:
            return
        must_refute = update.state != ALIVE and update.incarnation >= self.incarnation
        if must_refute:
            self._own_transmit_count = 0
        if must_refute or update.incarnation > self.incarnation:
            self.incarnation = update.incarnation + 1

    def _add_peer(self, update: PeerUpdate) -> None:
        peer = self.peers[update.name] = Peer(update, self.clock.now())
        if update.state != ALIVE:
            self._change_state(peer, update.state, update.incarnation)
            return
        emit(self.log, Events.PEER_JOINED, peer=update.name, incarnation=update.incarnation)
        for listener in self.on_change:
            listener(peer, None)

    def _update_peer(self, peer: Peer, update: PeerUpdate, source: str | None) -> None:
        if update.state == GONE and self._contradicts_contact(peer, update, source):
            if peer.state == ALIVE:
                self._change_state(peer, SUSPECT, update.incarnation)
            return
        peer.role, peer.zone, peer.addr = update.role, update.zone, update.address
        self._change_state(peer, update.state, update.incarnation)
        peer.departed = update.state == GONE and update.address == source

    def gone_duration_us(self, name: str) -> int | None:
        """Returns how long peer `name` has been gone; None if it is not gone, or unknown."""
        peer = self.peers.get(name)
        if peer is None or peer.state != GONE:
            return None
        return self.clock.now() - peer.changed_at

    def has_departed(self, name: str) -> bool:
        """Whether peer `name` announced to this node that it leaves, and has not returned."""
        peer = self.peers.get(name)
        return peer is not None and peer.departed

    def _contradicts_contact(self, peer: Peer, update: PeerUpdate, source: str | None) -> bool:
        """Whether a third party's report contradicts recent messages of the peer to this node."""
        if update.address == source or update.incarnation != peer.incarnation:
            return False
        return self.clock.now() - peer.last_contact < self.suspect_us

    def _change_state(self, peer: Peer, state: str, incarnation: int) -> None:
        previous_state = peer.state
        peer.apply(state, incarnation, self.clock.now())
        if previous_state == state:
            return
        emit(self.log, _STATE_EVENTS[state], peer=peer.name, incarnation=incarnation)
        for listener in self.on_change:
            listener(peer, previous_state)

    def suspect(self, name: str) -> None:
        """Suspects peer `name`, which answered no probe, unless it is gone already."""
        peer = self.peers.get(name)
        if peer is not None and peer.state == ALIVE:
            self._change_state(peer, SUSPECT, peer.incarnation)

    def expire_suspicions(self) -> None:
        """Marks peers as gone whose suspicion was not refuted in time."""
        now = self.clock.now()
        for peer in list(self.peers.values()):
            if peer.state == SUSPECT and now - peer.changed_at >= self.suspect_us:
                self._change_state(peer, GONE, peer.incarnation)

    def rows(self, max_peers: int = _MAX_PEERS_PER_PROBE) -> list[WireRow]:
        """Returns the rows for a probe: this node first, then peers by rising transmit count.

        With a `transmit_limit`, updates that were sent that often are omitted.
        """
        if self.transmit_limit:
            return self._rows_below_limit(max_peers)
        peers = sorted(self.peers.values(), key=lambda peer: (peer.transmit_count, peer.name))
        return [self.own_update().to_wire(), *self._transmit_rows(peers[:max_peers])]

    def _rows_below_limit(self, max_peers: int) -> list[WireRow]:
        """Returns the rows below the transmit limit; suspected peers are included at any count."""
        self._own_transmit_count += 1
        peers = [
            peer
            for _, peer in sorted(self.peers.items())
            if peer.transmit_count < self.transmit_limit or peer.state == SUSPECT
        ]
        rows = self._transmit_rows(peers[:max_peers])
        if self._own_transmit_count < self.transmit_limit or self.leaving:
            rows.insert(0, self.own_update().to_wire())
        return rows

    @staticmethod
    def _transmit_rows(peers: Sequence[Peer]) -> list[WireRow]:
        """Returns the rows of `peers` and counts their transmission."""
        for peer in peers:
            peer.transmit_count += 1
        return [peer.update().to_wire() for peer in peers]

    def all_rows(self) -> list[WireRow]:
        """Returns the rows of this node and all peers."""
        peers = [peer for _, peer in sorted(self.peers.items())]
        return [self.own_update().to_wire(), *(peer.update().to_wire() for peer in peers)]

    def living_peers(self, role: str | None = None) -> list[str]:
        """Returns the sorted names of the peers that are not gone, of one role if given."""
        return [
            name
            for name, peer in sorted(self.peers.items())
            if peer.state != GONE and role in (None, peer.role)
        ]

    def state(self, name: str) -> str | None:
        """Returns ALIVE, SUSPECT or GONE for the node `name`; None if it is unknown."""
        if name == self.name:
            return ALIVE
        peer = self.peers.get(name)
        return peer.state if peer is not None else None

    def address_of(self, name: str) -> str | None:
        """Returns the link address of the node `name`; None if it is unknown."""
        if name == self.name:
            return self.addr
        peer = self.peers.get(name)
        return peer.addr if peer is not None else None

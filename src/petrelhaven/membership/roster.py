"""The roster of peers that one node keeps, merged from news."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from petrelhaven.membership.news import ALIVE, GONE, SUSPECT, PeerNews
from petrelhaven.membership.peer import Peer
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    import logbook

    from petrelhaven.runtime.clock import Clock

__all__ = ["Roster"]

_EVENTS = {
    ALIVE: Events.PEER_RETURNED,
    SUSPECT: Events.PEER_SUSPECTED,
    GONE: Events.PEER_GONE,
}
_SUSPICION_US = 900_000
_ROWS_A_PROBE = 6

WireRow = list[str | int]


class Roster:
    """Merges news; tells of changes through `on_turn(peer, old_state)`.

    `quiet`, unless 0, is how often news is passed on before it counts as well known. `left` tells
    that this node is leaving.
    """

    def __init__(
        self,
        clock: Clock,
        me: tuple[str, str, str, str, int],
        log: logbook.Logger | None = None,
        suspect_us: int = _SUSPICION_US,
    ) -> None:
        """Knows only this node, `me`: name, role, zone, link address, incarnation.

        A peer that is suspected for `suspect_us` without denying it counts as gone.
        """
        self.clock, self.log = clock, log
        self.name, self.role, self.zone, self.addr, self.incarnation = me
        self.peers: dict[str, Peer] = {}
        self.on_turn: list[Callable[[Peer, str | None], object]] = []
        self.suspect_us = suspect_us
        self.left = False
        self.quiet = 0
        self._told_of_me = 0

    def me(self) -> PeerNews:
        """What this node says of itself."""
        state = GONE if self.left else ALIVE
        return PeerNews(self.name, self.role, self.zone, self.addr, self.incarnation, state)

    def heard(self, address: str) -> None:
        """A peer spoke to this node itself."""
        for peer in self.peers.values():
            if peer.addr == address:
                peer.heard = self.clock.now()

    def merge(self, rows: Any, source: str | None = None) -> None:  # noqa: ANN401 (from the wire)
        """Takes rows of news that the node at the address `source` sent.

        That a peer is gone is only suspected while it speaks to this node itself.

        Raises:
            Malformed: a row is not news.
        """
        for news in PeerNews.read_all(rows):
            if news.name == self.name:
                self._merge_me(news)
                continue
            peer = self.peers.get(news.name)
            if peer is None:
                self._add(news)
            elif news.supersedes(peer.state, peer.incarnation):
                self._update(peer, news, source)

    def _merge_me(self, news: PeerNews) -> None:
        """Denies that this node is suspect or gone, and passes what a former run of it said."""
        if self.left:
            return
        denied = news.state != ALIVE and news.incarnation >= self.incarnation
        if denied:
            self._told_of_me = 0
        if denied or news.incarnation > self.incarnation:
            self.incarnation = news.incarnation + 1

    def _add(self, news: PeerNews) -> None:
        peer = self.peers[news.name] = Peer(news, self.clock.now())
        if news.state != ALIVE:
            self._turn(peer, news.state, news.incarnation)
            return
        emit(self.log, Events.PEER_JOINED, peer=news.name, incarnation=news.incarnation)
        for tell in self.on_turn:
            tell(peer, None)

    def _update(self, peer: Peer, news: PeerNews, source: str | None) -> None:
        if news.state == GONE and self._is_hearsay(peer, news, source):
            if peer.state == ALIVE:
                self._turn(peer, SUSPECT, news.incarnation)
            return
        peer.role, peer.zone, peer.addr = news.role, news.zone, news.address
        self._turn(peer, news.state, news.incarnation)
        peer.departed = news.state == GONE and news.address == source

    def gone_for(self, name: str) -> int | None:
        """Microseconds since peer `name` counts as gone; None if it does not, or is not known."""
        peer = self.peers.get(name)
        if peer is None or peer.state != GONE:
            return None
        return self.clock.now() - peer.since

    def departed(self, name: str) -> bool:
        """Whether peer `name` said to this node itself that it leaves, and has not come back."""
        peer = self.peers.get(name)
        return peer is not None and peer.departed

    def _is_hearsay(self, peer: Peer, news: PeerNews, source: str | None) -> bool:
        """Whether others say what the peer's own words to this node contradict."""
        if news.address == source or news.incarnation != peer.incarnation:
            return False
        return self.clock.now() - peer.heard < self.suspect_us

    def _turn(self, peer: Peer, state: str, incarnation: int) -> None:
        old = peer.state
        peer.turn(state, incarnation, self.clock.now())
        if old == state:
            return
        emit(self.log, _EVENTS[state], peer=peer.name, incarnation=incarnation)
        for tell in self.on_turn:
            tell(peer, old)

    def suspect(self, name: str) -> None:
        """Suspects a peer that did not answer."""
        peer = self.peers.get(name)
        if peer is not None and peer.state == ALIVE:
            self._turn(peer, SUSPECT, peer.incarnation)

    def ripen(self) -> None:
        """Turns suspicion that nobody denied into gone."""
        now = self.clock.now()
        for peer in list(self.peers.values()):
            if peer.state == SUSPECT and now - peer.since >= self.suspect_us:
                self._turn(peer, GONE, peer.incarnation)

    def news(self, most: int = _ROWS_A_PROBE) -> list[WireRow]:
        """Rows for a probe: this node first, then the least spread.

        With `quiet`, only what is not well known yet.
        """
        if self.quiet:
            return self._quiet_news(most)
        peers = sorted(self.peers.values(), key=lambda peer: (peer.spread, peer.name))
        return [self.me().to_wire(), *self._pass_on(peers[:most])]

    def _quiet_news(self, most: int) -> list[WireRow]:
        self._told_of_me += 1
        peers = [
            peer
            for _, peer in sorted(self.peers.items())
            if peer.spread < self.quiet or peer.state == SUSPECT
        ]
        rows = self._pass_on(peers[:most])
        if self._told_of_me < self.quiet or self.left:
            rows.insert(0, self.me().to_wire())
        return rows

    @staticmethod
    def _pass_on(peers: Sequence[Peer]) -> list[WireRow]:
        for peer in peers:
            peer.spread += 1
        return [peer.news().to_wire() for peer in peers]

    def full(self) -> list[WireRow]:
        """Every row."""
        peers = [peer for _, peer in sorted(self.peers.items())]
        return [self.me().to_wire(), *(peer.news().to_wire() for peer in peers)]

    def living(self, role: str | None = None) -> list[str]:
        """Names of peers not gone, by role."""
        return [
            name
            for name, peer in sorted(self.peers.items())
            if peer.state != GONE and role in (None, peer.role)
        ]

    def state(self, name: str) -> str | None:
        """Alive, suspect, gone, or None for a stranger."""
        if name == self.name:
            return ALIVE
        peer = self.peers.get(name)
        return peer.state if peer is not None else None

    def addr_of(self, name: str) -> str | None:
        """The link address of `name`."""
        if name == self.name:
            return self.addr
        peer = self.peers.get(name)
        return peer.addr if peer is not None else None

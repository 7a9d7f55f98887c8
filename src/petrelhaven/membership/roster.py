"""The roster of peers that one node keeps, merged from news."""

from petrelhaven.membership.peer import Peer, rank
from petrelhaven.runtime.errors import Malformed
from petrelhaven.runtime.events import emit

__all__ = ["Roster"]


def _sound(rows):
    if not isinstance(rows, list):
        raise Malformed("news must be a list")
    for r in rows:
        if (
            not isinstance(r, list)
            or len(r) != 6
            or not all(isinstance(x, str) for x in r[:4])
            or type(r[4]) is not int
            or r[4] < 0
            or r[5] not in ("alive", "suspect", "gone")
        ):
            raise Malformed("news row must be name, role, hall, addr, inc, state")
    return rows


class Roster:
    """Merges news; tells of changes through `on_turn(peer, old_state)`."""

    def __init__(self, clock, me, log=None, suspect_us=900_000, spread=6):
        self.clock, self.log = clock, log
        self.name, self.role, self.hall, self.addr, self.inc = me
        self.peers = {}
        self.on_turn = []
        self.suspect_us = suspect_us
        self.left = False
        self._spread = spread
        self._mine = 0
        self.quiet = 0

    def me(self):
        """This node's own row."""
        return [
            self.name,
            self.role,
            self.hall,
            self.addr,
            self.inc,
            "gone" if self.left else "alive",
        ]

    def heard(self, addr):
        """A peer spoke to this node itself."""
        for p in self.peers.values():
            if p.addr == addr:
                p.heard = self.clock.now()

    def merge(self, rows, src=None):
        """Takes rows of news from `src`. That a peer is gone is only suspected while it speaks to this node itself."""
        for n, role, hall, addr, inc, st in _sound(rows):
            if n == self.name:
                if not self.left and st != "alive" and inc >= self.inc:
                    self.inc = inc + 1
                    self._mine = 0
                elif not self.left and inc > self.inc:
                    self.inc = inc + 1
                continue
            p = self.peers.get(n)
            if p is None:
                p = self.peers[n] = Peer(n, role, hall, addr, inc, self.clock.now())
                if st == "alive":
                    emit(self.log, 201, peer=n, inc=inc)
                    for f in self.on_turn:
                        f(p, None)
                else:
                    self._turn(p, st, inc)
            elif rank(st, inc) > rank(p.state, p.inc):
                if (
                    st == "gone"
                    and addr != src
                    and inc == p.inc
                    and self.clock.now() - p.heard < self.suspect_us
                ):
                    if p.state == "alive":
                        self._turn(p, "suspect", inc)
                    continue
                p.role, p.hall, p.addr = role, hall, addr
                self._turn(p, st, inc)

    def _turn(self, p, st, inc):
        old = p.state
        p.turn(st, inc, self.clock.now())
        if old != st:
            emit(self.log, {"alive": 204, "suspect": 202, "gone": 203}[st], peer=p.name, inc=inc)
            for f in self.on_turn:
                f(p, old)

    def doubt(self, name):
        """Suspects a peer that did not answer."""
        p = self.peers.get(name)
        if p and p.state == "alive":
            self._turn(p, "suspect", p.inc)

    def ripen(self):
        """Turns suspicion that nobody denied into gone."""
        now = self.clock.now()
        for p in list(self.peers.values()):
            if p.state == "suspect" and now - p.since >= self.suspect_us:
                self._turn(p, "gone", p.inc)

    def news(self, most=6):
        """Rows to piggyback: this node first, then the least spread; with `quiet`, only what is not well known yet."""
        if self.quiet:
            self._mine += 1
            ps = [
                p
                for _, p in sorted(self.peers.items())
                if p.spread < self.quiet or p.state == "suspect"
            ][:most]
            for p in ps:
                p.spread += 1
            return ([self.me()] if self._mine < self.quiet or self.left else []) + [
                p.news() for p in ps
            ]
        rows = [self.me()]
        for p in sorted(self.peers.values(), key=lambda p: (p.spread, p.name))[:most]:
            p.spread += 1
            rows.append(p.news())
        return rows

    def full(self):
        """Every row."""
        return [self.me()] + [p.news() for _, p in sorted(self.peers.items())]

    def living(self, role=None):
        """Names of peers not gone, by role."""
        return [
            n for n, p in sorted(self.peers.items()) if p.state != "gone" and role in (None, p.role)
        ]

    def state(self, name):
        """alive, suspect, gone, or None for a stranger."""
        if name == self.name:
            return "alive"
        p = self.peers.get(name)
        return p.state if p else None

    def addr_of(self, name):
        """The link address of `name`."""
        if name == self.name:
            return self.addr
        p = self.peers.get(name)
        return p.addr if p else None

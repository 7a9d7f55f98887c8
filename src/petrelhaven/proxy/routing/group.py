"""One database group as an edge sees it where sessions live with their connection: office, members, read clock."""

import asyncio

from petrelhaven.control.failover.evidence import NO_POSITION
from petrelhaven.proxy.pool.connection_pool import Stock
from petrelhaven.proxy.reads.log_progress import Tide
from petrelhaven.proxy.reads.read_clock import ReadClock
from petrelhaven.runtime.errors import Fault, Gone, Late, Unreached, Unsent

__all__ = ["Band", "Berth"]

_DOWN_US = 250_000
_DOWN_MOST_US = 2_000_000
_OPEN_US = 450_000
_QUIET_US = 350_000


class Berth:
    """One member: its connections, how it does, and what is known of its log."""

    __slots__ = (
        "name",
        "addr",
        "hall",
        "state",
        "slots",
        "rank",
        "stock",
        "tide",
        "shared",
        "down",
        "bad",
        "out",
        "heard",
        "stop_at",
        "lags",
        "lag_till",
        "slow",
    )

    def __init__(self, name, m, rank):
        self.name, self.addr, self.hall, self.state, self.slots = (
            name,
            m["addr"],
            m["hall"],
            m["state"],
            m["slots"],
        )
        self.rank = rank
        self.stock = self.tide = self.shared = None
        self.down, self.bad, self.out, self.heard = 0, 0, 0, 0
        self.stop_at = None
        self.lags, self.lag_till, self.slow = 0, 0, 0


class Band:
    """Follows the office and the members of one group."""

    def __init__(self, name, gate):
        self.name, self.g = name, gate
        self.clock, self.nest = gate.clock, gate.nest
        self.berths, self.office = {}, None
        self.cap, self.sync, self.size, self.visits = 40, 0, 0, 0
        self.floor = NO_POSITION
        self.reads = ReadClock(self.clock, self.nest, gate.order, self._fetch, gate.bounds)
        self._turned = None
        self._tokens = 10.0

    @property
    def key(self):
        """(office, primary) while a primary serves, else None."""
        o = self.office
        return (o["n"], o["primary"]) if o and o["phase"] != "move" else None

    @property
    def reading(self):
        """What the read clock's pairs belong to: (office, primary), also while the office moves."""
        o = self.office
        return (o["n"], o["primary"]) if o else None

    @property
    def primary(self):
        """The berth of the primary that serves, or None."""
        return self.berths.get(self.office["primary"]) if self.key else None

    def turn(self, ledger, fresh):
        """Takes the office, the members and the halls as the ledger has them."""
        now = self.clock.now()
        ms = ledger.group(self.name)
        self.size = ledger.doc["sizes"].get(self.name, 0)
        self.floor = ledger.evidence(self.name).floor
        for n, m in ms.items():
            b = self.berths.get(n)
            if b is not None and b.addr != m["addr"]:
                b.stock.close()
                b = None
            if b is None:
                b = self.berths[n] = Berth(n, m, self.g.near(m["hall"]))
                b.stock = Stock(self.clock, self.nest, self._opener(b), 1, lambda: self.visits + 2)
                b.tide = Tide(self.clock, self.nest, None)
                b.tide.log = (0, 0)
            b.state = m["state"]
            b.stock.most = max(1, (self.cap - 4) // max(self.g.tie.edges, 3) - 1)
            leaves = b.state == "draining", ledger.hall(b.hall) != "open"
            if any(leaves):
                if b.stop_at is None:
                    us = min(
                        self.g.drain_us if leaves[0] else 1 << 60,
                        self.g.empty_us if leaves[1] else 1 << 60,
                    )
                    b.stop_at = now + (0 if fresh else us)
            else:
                b.stop_at = None
        for n in [n for n in self.berths if n not in ms]:
            b = self.berths.pop(n)
            b.stock.close()
            if b.shared is not None:
                b.shared.close()
        o = ledger.doc["offices"].get(self.name)
        if o != self.office:
            self.office = o
            self.reads.turn(self.reading)
            p = self.primary
            if p is not None and o["phase"] == "serve":
                p.down = p.bad = 0
            f, self._turned = self._turned, None
            if f is not None:
                f.set_result(None)

    def turned(self):
        """A future that is done at the next change of the office."""
        if self._turned is None:
            self._turned = asyncio.get_running_loop().create_future()
        return self._turned

    def serves(self, b):
        """Whether statements that begin anew may go to the primary `b` now."""
        return b.stop_at is None or self.clock.now() < b.stop_at

    def pick(self, pos, bad, exclude_primary=False):
        """The member for a read: well, near, not full; one known to hold `pos` first."""
        now = self.clock.now()
        p = self.office["primary"] if self.office else None
        best = None
        for n, b in self.berths.items():
            if n in bad or b.stop_at is not None and (n != p or now >= b.stop_at):
                continue
            lags = b.slow > now and b.tide.log < pos
            k = (
                b.down > now,
                lags,
                b.out >= max(2, b.slots - 1),
                b.rank,
                n == p and b.rank > 0,
                b.out,
                n,
            )
            if best is None or k < best[0]:
                best = (k, b)
        return best[1] if best else None

    def spend(self):
        """Whether a second try is within the budget of this group."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def earn(self):
        """A request came: a tenth of a second try is earned."""
        self._tokens = min(20.0, self._tokens + 0.1)

    def fine(self, b, pos=None):
        """Member `b` has answered, its log at `pos`."""
        b.heard = self.clock.now()
        b.bad = b.down = 0
        if pos is not None and pos > b.tide.log:
            b.tide.note(pos, 0)

    @property
    def sure(self):
        """The primary that is in office under this edge's lease, or None; asked right before a send."""
        o = self.office
        if o is None or o["phase"] != "serve" or not self.g.tie.holds:
            return None
        return self.berths.get(o["primary"])

    def missed(self, b, how):
        """Member `b` did not answer; a primary that is silent or refuses is doubted."""
        now = self.clock.now()
        if how != "mute" or now - b.heard > _QUIET_US:
            b.bad = min(b.bad + 1, 4)
            b.down = now + min(_DOWN_US << (b.bad - 1), _DOWN_MOST_US)
            if self.office and self.office["primary"] == b.name and self.office["phase"] != "move":
                self.g.tie.doubt(self.name, b.name, how)

    def _opener(self, b):
        async def opened():
            try:
                c = await self.g.wire.open(b.addr, self.name, b.name, _OPEN_US)
            except Gone:
                b.down = self.clock.now() + 5_000_000
                raise
            except Unsent as e:
                self.missed(b, e.note)
                raise
            except (Late, Unreached):
                self.missed(b, "mute")
                raise
            self.fine(b)
            return c

        return opened

    async def _status(self, b):
        if b.shared is None or b.shared.lost:
            b.shared = await self._opener(b)()
        try:
            r = await self.clock.limit(b.shared.own("status"), self.g.bounds().join_us // 2)
        except (Late, Unreached):
            b.shared.close()
            self.missed(b, "mute")
            raise
        self.fine(b)
        return r

    async def _fetch(self, key):
        """The primary's position; where it does not answer, what all others together prove.

        A commit is acknowledged once a replica has it (`sync`), so the highest log of all members but one holds every
        acknowledged commit, whoever of them leads.
        """
        b = self.berths.get(key[1])
        if self.reading != key:
            raise Unreached("no primary to ask")
        if b is None or b.down > self.clock.now():
            return await self._fetch_others(key[1])
        try:
            r = await self._status(b)
        except Fault:
            return await self._fetch_others(key[1])
        if r["role"] != "primary":
            self.g.tie.doubt(self.name, b.name, "replica")
            raise Unreached("not the primary")
        return r["pos"]

    async def _fetch_others(self, name):
        bs = [b for n, b in self.berths.items() if n != name]
        if not self.sync or len(bs) < max(self.sync + 1, self.size - 1) or not self.g.tie.holds:
            raise Unreached("no primary to ask")
        rs = await asyncio.gather(*[self._status(b) for b in bs], return_exceptions=True)
        bad = next((r for r in rs if isinstance(r, BaseException)), None)
        if bad is not None:
            raise bad if isinstance(bad, Fault) else Unreached("not all others answered")
        for b, r in zip(bs, rs):
            if r["pos"] > b.tide.log:
                b.tide.note(r["pos"], 0)
        highest = max(r["pos"] for r in rs)
        if highest < self.floor:
            raise Unreached("a member that left had more")
        self.g.count["fetched_others"] += 1
        return highest

    def dark(self):
        """Microseconds since the primary last answered here, if it fails now."""
        b = self.berths.get(self.office["primary"]) if self.office else None
        return self.clock.now() - b.heard if b is not None and b.bad and b.heard else 0

    def close(self):
        """The group left the manifest."""
        for b in self.berths.values():
            b.stock.close()
            if b.shared is not None:
                b.shared.close()
        self.reads.turn(None)

    async def settle(self, conn, b, num):
        """Rolls a connection back at its visitor's word and keeps it, if that works within the bound."""
        try:
            r = await self.clock.limit(conn.plain("rollback", (), num), 500_000)
            ok = r.state == "I"
        except Fault:
            ok = False
        b.stock.give(conn) if ok else b.stock.drop(conn)

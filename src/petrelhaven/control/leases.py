"""The lease desk: which edges may send, what they have acknowledged, and when a change is in force."""

import asyncio

from petrelhaven.control.consensus.chain import CONFIRM_US, DRIFT
from petrelhaven.runtime.errors import DeadlineExceeded, Fault
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.channel import Channel
from petrelhaven.transport.message_kinds import MessageKind

__all__ = ["LeaseTable", "LEASE_US", "LAPSE_US", "ConnectionLeaseTable"]

LEASE_US = 1_500_000
LAPSE_US = int((LEASE_US + CONFIRM_US) * DRIFT)


class LeaseTable:
    """Grants leases under the newest held change and counts acknowledgements."""

    def __init__(self, clock, tasks, chain, call, log=None, lapse_us=LAPSE_US):
        self.clock, self.tasks, self.chain, self._call, self.log = clock, tasks, chain, call, log
        self._lapse = lapse_us
        self.live = {}
        self.acked = {}
        self.floor = clock.now() + lapse_us
        self._hold: dict[Channel, asyncio.Task] = {}
        chain.on_view.append(self._viewed)
        chain.on_commit.append(self._wake)
        self._news = asyncio.Event()

    def _viewed(self):
        self.floor = max(self.floor, self.clock.now() + self._lapse)

    def _wake(self):
        e, self._news = self._news, asyncio.Event()
        e.set()

    async def lease(self, ch, b):
        """Renews an edge's lease, or says why not."""
        c = self.chain
        e = c.control_state.doc["edges"].get(b["edge"])
        same = bool(e) and e["inc"] == b["inc"] and e.get("boot", b["boot"]) == b["boot"]
        if same:
            self.acked[b["edge"]] = max(self.acked.get(b["edge"], 0), b["acked"])
            self._wake()
        ok = bool(c.ruling and same and e["state"] != "gone")
        need = c.control_state.seq
        if ok:
            self.live[b["edge"]] = self.clock.now() + int(LEASE_US * DRIFT)
        return {"ok": ok, "us": LEASE_US, "need": need}

    async def hold(self, ch, b):
        """Takes an edge's held connection and pushes numbered changes down it."""
        if not self.chain.complete:
            return {"ok": False, "note": "not in the chain"}
        # Connections may be heard in another order than they were opened in: each has pushes of its own, which end
        # with it, and the edge closes those that it did not mean.
        old = self._hold.pop(ch, None)
        if old:
            old.cancel()
        task = self.tasks.spawn(self._push(ch, b["edge"], b["applied"]))
        if task is not None:
            self._hold[ch] = task
            task.add_done_callback(lambda _: self._forget(ch, task))
        return {"ok": True, "note": ""}

    def _forget(self, channel: Channel, task: asyncio.Task) -> None:
        if self._hold.get(channel) is task:
            del self._hold[channel]

    async def _push(self, ch, edge, at):
        c = self.chain
        while not ch.gone.done():
            news = self._news
            if not c.complete:
                ch.close()
                return
            if c.commit > at or at < 0:
                body = {"frame": None, "recs": [], "commit": c.commit}
                rs = c.mem.since(at) if at >= 0 else None
                if rs is None or at == 0:
                    if c.commit != c.control_state.seq:
                        await self.clock.sleep(20_000)
                        continue
                    body["frame"] = c.control_state.snapshot()
                else:
                    body["recs"] = self.slim([[s, r] for s, _, r in rs if s <= c.commit][:200])
                try:
                    r = await ch.call(MessageKind.PROXY_PUSH, body, 1_000_000)
                except Fault:
                    ch.close()
                    return
                at = r["applied"]
                self.acked[edge] = max(self.acked.get(edge, 0), r["acked"])
                self._wake()
                continue
            t = asyncio.ensure_future(news.wait())
            try:
                await asyncio.wait([t, ch.gone], return_when=asyncio.FIRST_COMPLETED)
            finally:
                t.cancel()

    def slim(self, rows):
        """What of the records is worth sending."""
        return rows

    async def force(self, ch, b):
        """What this core knows of who has acknowledged `seq`."""
        now = self.clock.now()
        return {
            "acked": dict(self.acked),
            "live": {e: t - now for e, t in self.live.items() if t > now},
            "floor": max(self.floor - now, 0),
            "commit": self.chain.commit,
        }

    async def in_force(self, seq, grace=0, horizon=15_000_000):
        """Waits until every edge acknowledged `seq` or its lease has certainly lapsed; returns who lapsed."""
        t0 = self.clock.now()
        sure = t0 + self._lapse + int(grace * DRIFT)
        while True:
            v = self.chain.view
            news = self._news
            rs = await asyncio.gather(*[self._ask(n, seq) for n in v.chain])
            if self.chain.view is v and self._held(rs, seq, sure):
                emit(self.log, Events.RECORD_IN_FORCE, seq=seq, us=self.clock.now() - t0)
                return self.clock.now() - t0
            if self.clock.now() - t0 > horizon:
                raise DeadlineExceeded("not in force yet; it stays committed")
            try:
                await self.clock.limit(news.wait(), 40_000)
            except DeadlineExceeded:
                pass

    def _held(self, rs, seq, sure):
        got = [r for r in rs if r is not None]
        acked, live = {}, set()
        for r in got:
            live.update(r["live"])
            for e, s in r["acked"].items():
                acked[e] = max(acked.get(e, 0), s)
        known = live | {
            n
            for n, e in self.chain.control_state.doc["edges"].items()
            if e["state"] != "gone" or not e.get("lapsed")
        }
        late = {e for e in known if acked.get(e, 0) < seq}
        if len(got) == len(rs):
            return (
                not late
                or not late & live
                and (all(r["floor"] == 0 for r in rs) or self.clock.now() >= sure)
            )
        return self.clock.now() >= sure + self._lapse and not late & live

    async def _ask(self, name, seq):
        try:
            return await self._call(name, MessageKind.CHAIN_IN_FORCE, {"seq": seq}, 500_000)
        except Fault:
            return None


class ConnectionLeaseTable(LeaseTable):
    """The desk of ties: edges stand in no record, so those that a lost core may have lent to are waited for by time."""

    def slim(self, rows):
        """A manifest that a later one in the same push replaces is passed over."""
        last = max((s for s, r in rows if r["t"] == "manifest"), default=0)
        return [[s, {"t": "pass"} if r["t"] == "manifest" and s < last else r] for s, r in rows]

    def grant(self, edge, us):
        """Notes that `edge` may hold a lease for `us` from now."""
        self.live[edge] = self.clock.now() + int(us * DRIFT)

    def _held(self, rs, seq, sure):
        got = [r for r in rs if r is not None]
        acked = {}
        for r in got:
            for e, s in r["acked"].items():
                acked[e] = max(acked.get(e, 0), s)
        if any(acked.get(e, 0) < seq for r in got for e in r["live"]):
            return False
        now = self.clock.now()
        if len(got) < len(rs):
            return now >= sure + self._lapse
        return all(r["floor"] == 0 for r in got) or now >= sure

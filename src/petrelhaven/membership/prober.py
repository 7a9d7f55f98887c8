"""Probes in turn, second opinions through third parties, suspicion before removal."""

import asyncio

from petrelhaven.runtime.errors import Fault

__all__ = ["Prober"]


class Prober:
    """Keeps a roster true by probing one peer a period."""

    def __init__(
        self, clock, link, nest, rng, roster, seeds, period_us=200_000, wait_us=90_000, aides=3
    ):
        self.clock, self.link, self.nest, self.rng = clock, link, nest, rng
        self.roster, self.seeds = roster, seeds
        self.period_us, self.wait_us, self.aides = period_us, wait_us, aides
        self.join_us = 2_000_000
        self._wait = {}
        self._round = []
        self._nonce = 0
        link.on("kith.probe", self._probed)
        link.on("kith.ack", self._acked)
        link.on("kith.ask", self._asked)
        link.on("kith.join", self._joined)

    async def run(self):
        """Joins through the seeds, then probes for good."""
        self.nest.spawn(self._join())
        while True:
            await self.clock.sleep(self.period_us)
            self.roster.ripen()
            p = self._next()
            if p is not None:
                self.nest.spawn(self._check(p))

    def leave(self, most=None):
        """Says to living peers, `most` of them, that this node is leaving."""
        self.roster.left = True
        for n in self.roster.living()[:most]:
            self.link.tell(
                self.roster.addr_of(n),
                "kith.ack",
                {"nonce": 0, "src": self.link.addr, "news": [self.roster.me()]},
            )

    async def _join(self):
        while True:
            for a in self.seeds:
                if a == self.link.addr:
                    continue
                try:
                    r = await self.link.call(
                        a, "kith.join", {"src": self.link.addr, "news": self.roster.full()}, 800_000
                    )
                    self.roster.merge(r["news"])
                except Fault:
                    pass
            await self.clock.sleep(self.join_us if self.roster.peers else 200_000)

    def _next(self):
        while self._round:
            p = self.roster.peers.get(self._round.pop())
            if p is not None and (p.state != "gone" or self.rng.random() < 0.2):
                return p
        self._round = sorted(self.roster.peers)
        self.rng.shuffle(self._round)
        return self.roster.peers.get(self._round.pop()) if self._round else None

    async def _check(self, p):
        if await self._ping(p.addr, "kith.probe", {}):
            return
        others = [
            q for n, q in sorted(self.roster.peers.items()) if n != p.name and q.state == "alive"
        ]
        self.rng.shuffle(others)
        ok = await asyncio.gather(
            *[self._ping(q.addr, "kith.ask", {"to": p.addr}, 3) for q in others[: self.aides]]
        )
        if not any(ok):
            self.roster.doubt(p.name)

    async def _ping(self, addr, kind, more, times=1):
        self._nonce += 1
        n = self._nonce
        f = self._wait[n] = asyncio.get_running_loop().create_future()
        self.link.tell(
            addr, kind, {"nonce": n, "src": self.link.addr, "news": self.roster.news(), **more}
        )
        try:
            await self.clock.limit(f, self.wait_us * times)
            return True
        except Fault:
            return False
        finally:
            self._wait.pop(n, None)

    def _probed(self, b):
        self._spoke(b)
        self.link.tell(
            b["src"],
            "kith.ack",
            {"nonce": b["nonce"], "src": self.link.addr, "news": self.roster.news()},
        )

    def _spoke(self, b):
        self.roster.heard(b["src"])
        self.roster.merge(b["news"], b["src"])

    def _acked(self, b):
        self._spoke(b)
        f = self._wait.get(b["nonce"])
        if f is not None and not f.done():
            f.set_result(None)

    def _asked(self, b):
        self._spoke(b)
        self.nest.spawn(self._aid(b))

    async def _aid(self, b):
        if await self._ping(b["to"], "kith.probe", {}):
            self.link.tell(
                b["src"],
                "kith.ack",
                {"nonce": b["nonce"], "src": self.link.addr, "news": self.roster.news()},
            )

    async def _joined(self, ch, b):
        self.roster.merge(b["news"])
        return {"news": self.roster.full()}

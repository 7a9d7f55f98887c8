"""A visitor: a long-lived session with small statements, which writes down what it saw."""

import asyncio

from petrelhaven.runtime.errors import DeadlineExceeded, Fault, Unreachable

__all__ = ["LoadClient"]


class LoadClient:
    """Runs a mix of statements against a world; the same mix drives the real fleet."""

    def __init__(
        self,
        world,
        num,
        rng,
        pause=0.15,
        writes=0.25,
        browse=0.3,
        txns=0.1,
        values=0.1,
        idle=0.0,
        pin=None,
        paced=False,
    ):
        self.w, self.num, self.rng = world, num, rng
        self.pause, self.mix = pause, (writes, browse, txns, values)
        self.idle, self.pin, self.paced = idle, pin, paced
        self.sid = None
        self.n = self.k = 0
        self.vals = {}
        self.want = {}
        self.stop = self.done = False
        self.gaps = []
        self.last, self.bad, self.at = [], {}, None
        self.count = {"ok": 0, "declined": 0, "unknown": 0}

    def _now(self):
        return int(self.w.loop.time() * 1e6)

    async def _call(self, fn):
        now = self.w.loop.time()
        es = [e for e in self.w.edges if self.bad.get(id(e), -99) < now - 10] or self.w.edges
        b = self.pin or (self.rng.choice(es) if self.at is None else self.at)
        try:
            r = await self.w.ask(b, fn, 5_000_000)
            self.at = b
            return r
        except Fault as e:
            self.last.append((round(self.w.loop.time(), 3), getattr(b, "name", ""), e.code, e.note))
            del self.last[:-20]
            if (
                isinstance(e, (DeadlineExceeded, Unreachable))
                and e.retry_after_us is not None
                and self.w.loop.time() - now > 0.9
            ):
                self.bad[id(b)] = now
            if (
                not isinstance(e, (DeadlineExceeded, Unreachable))
                and e.status in (503, 504)
                and e.code not in ("moving", "no-lease", "leaving", "not-ready")
                and self.rng.random() < 0.7
            ):
                self.at = b
            else:
                self.at = None
            raise

    async def _statement(self, d, tries=60):
        """Says a statement until it has an outcome; a declined one is said again, an unknown one is asked after."""
        self.k += 1
        d = {**d, "say": self.k}
        for _ in range(tries):
            try:
                r = await self._call(lambda e: e.statement(self.sid, d))
                self.count["ok"] += 1
                if r.get("outcome") == "unknown" and not r.get("repeated"):
                    await asyncio.sleep(0.3)
                    continue
                return r
            except Fault as e:
                self.count["declined"] += 1
                if e.code == "no-session":
                    self.w.hist.append(
                        {"t": "closed", "sid": self.sid, "at": self._now(), "by": self.num}
                    )
                    self.stop = True
                    raise
                if e.status in (400, 404, 409, 422):
                    raise
                await asyncio.sleep(
                    min((e.retry_after_us or 200_000) / 1e6, 1.0) * (0.5 + self.rng.random())
                )
        return {"outcome": "unknown", "gave_up": True}

    async def run(self):
        """The visitor's life."""
        try:
            while self.sid is None and not self.stop:
                self.at = self.w.route()
                try:
                    self.sid = (await self._call(lambda e: e.open_session()))["session"]
                except Fault:
                    await asyncio.sleep(0.2)
            took = 0.0
            while not self.stop:
                us = self.pause * (0.5 + self.rng.random()) + (
                    self.idle if self.rng.random() < 0.1 else 0
                )
                await asyncio.sleep(max(0.0, us - took) if self.paced else us)
                t0 = self.w.loop.time()
                try:
                    await self._step()
                except Fault:
                    pass
                took = self.w.loop.time() - t0
                self.gaps.append((t0, took))
        finally:
            self.done = True

    def _group(self):
        return f"g{self.rng.randrange(self.w.z['groups']) + 1}"

    async def _step(self):
        w, b, t, v = self.mix
        x = self.rng.random()
        if x < w / 2:
            await self._put()
        elif x < w:
            await self._once()
        elif x < w + t:
            await self._both()
        elif x < w + t + v:
            await self._value()
        else:
            await self._read(x < w + t + v + b)

    async def _put(self):
        g, self.n = self._group(), self.n + 1
        k = f"v{self.num}"
        val = self.vals[(g, k)] = self.vals.get((g, k), 0) + 1
        t0 = self._now()
        r = await self._try({"route": g, "verb": "put", "key": k, "value": val, "try": self.n})
        self.w.hist.append(
            {
                "t": "write",
                "key": f"{g}:{k}",
                "val": val,
                "by": self.num,
                "try": self.n,
                "start": t0,
                "end": self._now(),
                "outcome": r,
            }
        )

    async def _try(self, d):
        try:
            return (await self._statement(d)).get("outcome", "unknown")
        except Fault:
            return "unknown"

    async def _once(self):
        g, self.n = self._group(), self.n + 1
        k = f"o{self.num}-{self.n}"
        r = await self._try({"route": g, "verb": "add", "key": k, "value": 1, "try": self.n})
        self.w.hist.append(
            {
                "t": "once",
                "key": f"{g}:{k}",
                "outcome": r,
                "by": self.num,
                "try": self.n,
                "sid": self.sid,
                "at": self._now(),
            }
        )

    async def _both(self):
        g, self.n = self._group(), self.n + 1
        ks = [f"b{self.num}-{self.n}-{i}" for i in (1, 2)]
        out = "not kept"
        try:
            x = (await self._statement({"route": g, "verb": "begin"})).get("txn")
            for k in ks:
                r = await self._call(
                    lambda e, k=k: e.statement(
                        self.sid, {"verb": "add", "key": k, "value": 1, "txn": x}
                    )
                )
            if self.rng.random() < 0.1:
                await self._call(lambda e: e.statement(self.sid, {"verb": "rollback", "txn": x}))
            else:
                out = "unknown"
                r = await self._statement({"verb": "commit", "txn": x, "try": self.n})
                out = r["outcome"]
        except Fault as e:
            if e.code == "unordered" and "txn" in e.details:
                await self._undo(e.details["txn"])
            elif out == "not kept" and e.code != "transaction-ended":
                await self._undo(None)
            elif e.code == "transaction-ended" and out == "unknown":
                out = "unknown"
        self.w.hist.append(
            {
                "t": "both",
                "keys": [f"{g}:{k}" for k in ks],
                "outcome": out,
                "by": self.num,
                "try": self.n,
            }
        )

    async def _undo(self, x):
        for _ in range(20):
            try:
                await self._call(
                    lambda e: e.statement(
                        self.sid, {"verb": "rollback", **({"txn": x} if x else {})}
                    )
                )
                return
            except Fault as e:
                if e.code == "unordered" and "txn" in e.details:
                    x = e.details["txn"]
                elif e.code in ("unordered", "transaction-ended"):
                    return
                else:
                    await asyncio.sleep(0.2)

    async def _value(self):
        g, x = self._group(), self.rng.random()
        if x < 0.4:
            v = f"{self.num}-{self.rng.randrange(1 << 30)}"
            self.want.setdefault("who", [None]).append(v)
            try:
                r = await self._statement({"verb": "set", "name": "who", "value": v})
                if r.get("ok"):
                    self.want["who"] = [v]
            except Fault:
                pass
        elif x < 0.5:
            try:
                r = await self._statement(
                    {
                        "verb": "prepare",
                        "name": "mine",
                        "statement": {"verb": "get", "key": f"p{self.num}-$1"},
                    }
                )
                r = await self._statement(
                    {"verb": "prepare", "name": "who", "statement": {"verb": "show", "name": "who"}}
                )
                if r.get("ok"):
                    self.want["prepared"] = True
            except Fault:
                pass
        else:
            want = list(self.want.get("who", [None]))
            d = (
                {"route": g, "verb": "exec", "name": "who", "args": []}
                if self.want.get("prepared") and self.rng.random() < 0.5
                else {"route": g, "verb": "show", "name": "who"}
            )
            try:
                r = await self._statement(d)
            except Fault as e:
                if e.code == "unordered" and "prepared" in e.note:
                    self.w.hist.append({"t": "show", "want": [], "got": e.note, "by": self.num})
                return
            if "value" in r:
                self.w.hist.append(
                    {"t": "show", "want": want, "got": r["value"], "by": self.num, "sid": self.sid}
                )

    async def _read(self, browse):
        g = self._group()
        k = f"v{self.rng.randrange(len(self.w.clients))}"
        t0 = self._now()
        try:
            r = await self._call(
                lambda e: e.statement(
                    self.sid, {"route": g + ("-browse" if browse else ""), "verb": "get", "key": k}
                )
            )
        except Fault as e:
            self.count["declined"] += 1
            if e.code == "no-session":
                self.w.hist.append(
                    {"t": "closed", "sid": self.sid, "at": self._now(), "by": self.num}
                )
                self.stop = True
            elif e.retry_after_us:
                await asyncio.sleep(min(e.retry_after_us / 1e6, 0.5))
            return
        self.count["ok"] += 1
        if "value" in r:
            self.w.hist.append(
                {
                    "t": "read",
                    "key": f"{g}:{k}",
                    "start": t0,
                    "end": self._now(),
                    "val": r["value"],
                    "browse": browse,
                    "from": r.get("from"),
                    "after": r.get("after"),
                    "by": self.num,
                }
            )

"""One agreed register: the view. A majority of the configured cores decides it; nobody leads and no log is kept."""

import asyncio

from petrelhaven.control.consensus.view import View
from petrelhaven.runtime.errors import Conflict, Fault

__all__ = ["Voter", "Proposer"]


class Voter:
    """The voting half. It never votes under a disk identity that the others do not know.

    Ballots run under the identities of the newest view known to be decided; those of a view that was only accepted
    count once it is decided, or two voters that accepted different ones could wait for each other for good.
    """

    def __init__(self, mem):
        self._mem = mem

    def _fits(self, ids):
        o = self._mem.vote
        own = o["ids"] or (o["value"]["ids"] if o["value"] else None)
        return ids.get(self._mem.name) == self._mem.disk and own in (None, ids)

    async def prepare(self, ch, b):
        """Answers a prepare."""
        o = self._mem.vote
        ok = self._fits(b["ids"]) and (b["num"], b["who"]) > (o["num"], o["who"])
        if ok:
            self._mem.put_vote(num=b["num"], who=b["who"])
        return {
            "ok": ok,
            "num": o["anum"],
            "who": o["awho"],
            "value": o["value"],
            "seen": max(o["num"], o["anum"]),
        }

    async def accept(self, ch, b):
        """Answers an accept."""
        o = self._mem.vote
        ok = self._fits(b["ids"]) and (b["num"], b["who"]) >= (o["num"], o["who"])
        if ok:
            self._mem.put_vote(
                num=b["num"], who=b["who"], anum=b["num"], awho=b["who"], value=b["value"]
            )
        return {"ok": ok, "seen": max(o["num"], o["anum"])}


class Proposer:
    """The asking half."""

    def __init__(self, mem, call):
        self._mem, self._call = mem, call
        self._seen = 0

    async def change(self, ids, fn):
        """Decides `fn(newest view)`; returns the decided view, or Racing."""
        need = len(ids) // 2 + 1
        num = self._seen = max(self._seen, self._mem.vote["num"]) + 1
        me = self._mem.name
        got = await self._round(ids, "vote.prepare", {"num": num, "who": me, "ids": ids})
        ok = [r for r in got if r["ok"]]
        best = max(got, key=lambda r: (r["num"], r["who"]), default=None)
        if len(ok) < need:
            v = View.from_optional(best["value"]) if best else None
            raise Conflict("no majority promised", details={"value": v})
        best = max(ok, key=lambda r: (r["num"], r["who"]))
        new = fn(View.from_optional(best["value"]))
        got = await self._round(
            ids, "vote.accept", {"num": num, "who": me, "ids": ids, "value": new.to_document()}
        )
        if sum(r["ok"] for r in got) < need:
            raise Conflict("no majority accepted")
        return new

    async def _round(self, ids, kind, body):
        """Asks all; answers once a majority agreed, or all have spoken."""

        async def one(n):
            try:
                return await self._call(n, kind, body, 600_000)
            except Fault:
                return None

        ts = [asyncio.ensure_future(one(n)) for n in sorted(ids)]
        while True:
            rs = [t.result() for t in ts if t.done() and t.result()]
            if sum(r["ok"] for r in rs) > len(ids) // 2 or all(t.done() for t in ts):
                break
            await asyncio.wait([t for t in ts if not t.done()], return_when=asyncio.FIRST_COMPLETED)
        self._seen = max([self._seen] + [r["seen"] for r in rs])
        return rs

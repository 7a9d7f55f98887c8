"""Statements for sessions at home elsewhere: found, delivered, and taken from other edges."""
import asyncio

from ..creed.fault import Fault, Moving, NoLease, NoSession, Unsent, rebuild
from .verb import WRITES

__all__ = ["Deliver"]


class Deliver:
    """Both ends of a delivery."""

    def __init__(self, edge):
        self.e = edge
        self.at = {}

    async def where(self, ch, b):
        """Tells another edge what this one is to a session."""
        sid = b["sid"]
        r, n = self.e.vault.role(sid)
        return {"role": "home" if r == "unsure" else r, "epoch": n}

    async def _find(self, sid):
        es = [
            n for n, e in sorted(self.e.control.realm.doc["edges"].items()) if e["state"] != "gone" and n != self.e.name
        ]

        async def ask(n):
            try:
                return n, await self.e.reach.call(n, "span.where", {"sid": sid}, 600_000)
            except Fault:
                return n, None
        rs = await asyncio.gather(*[ask(n) for n in es])
        homes = [(r["epoch"], n) for n, r in rs if r and r["role"] == "home"]
        if homes:
            return max(homes)[1]
        if sid in self.e.vault.kept or any(r is None or r["role"] == "kept" for _, r in rs) or sid in self.e.homes:
            raise Moving("the session is being moved")
        raise NoSession("no edge knows this session")

    async def out(self, sid, d):
        """Has a statement served at the session's home."""
        if not self.e.control.sends:
            raise NoLease("this edge does not know the fleet now")
        n = self.at.get(sid)
        for again in (0, 1):
            if n is None:
                n = await self._find(sid)
            try:
                r = await self.e.reach.call(
                    n, "span.deliver", {"sid": sid, "ask": d}, self.e.bounds().statement_us + 2_000_000, again=False
                )
                break
            except Unsent:
                self.at.pop(sid, None)
                n = None
                if again:
                    raise Moving("the session's home can't be reached") from None
            except Fault:
                self.at.pop(sid, None)
                if d["verb"] == "commit" or (d["verb"] in WRITES or d["verb"] == "exec") and "txn" not in d:
                    return {"outcome": "unknown", "retry_after_us": 500_000}
                raise
        if r["res"].get("not_here"):
            self.at.pop(sid, None)
            raise Moving("the session is being moved")
        if len(self.at) > 10_000:
            self.at.clear()
        self.at[sid] = n
        if "status" in r["res"]:
            raise rebuild(r["res"]["doc"])
        return r["res"]["doc"]

    async def taken(self, ch, b):
        """Serves a statement that another edge delivers."""
        if b["sid"] not in self.e.homes:
            return {"res": {"not_here": True}}
        try:
            return {"res": {"doc": await self.e.statement(b["sid"], b["ask"])}}
        except Fault as e:
            return {"res": {"status": e.status, "doc": e.doc()}}

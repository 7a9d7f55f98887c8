"""Statements for sessions at home elsewhere: found, delivered, and taken from other edges."""

import asyncio

from petrelhaven.proxy.resumable.verbs import WRITES
from petrelhaven.runtime.errors import Fault, NoLease, NoSession, NotSent, SessionMoving, rebuild
from petrelhaven.transport.message_kinds import MessageKind

__all__ = ["Delivery"]


class Delivery:
    """Both ends of a delivery."""

    def __init__(self, edge):
        self.e = edge
        self.at = {}

    async def _find(self, sid):
        es = self.e.control.others()
        got = await asyncio.gather(*[self.e.session_replicas.ask(n, [sid], 600_000) for n in es])
        rs = [(n, *(rows[0][1:] if rows else (None, 0))) for n, rows in zip(es, got)]
        homes = [(epoch, n) for n, role, epoch in rs if role in ("home", "unsure")]
        if homes:
            return max(homes)[1]
        if (
            sid in self.e.session_replicas.stored
            or any(role in (None, "kept") for _, role, _ in rs)
            or sid in self.e.homes
        ):
            raise SessionMoving("the session is being moved")
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
                r = await self.e.node_caller.call(
                    n,
                    MessageKind.SESSION_DELIVER,
                    {"sid": sid, "ask": d},
                    self.e.bounds().statement_us + 2_000_000,
                )
                break
            except NotSent:
                self.at.pop(sid, None)
                n = None
                if again:
                    raise SessionMoving("the session's home can't be reached") from None
            except Fault:
                self.at.pop(sid, None)
                if (
                    d["verb"] == "commit"
                    or (d["verb"] in WRITES or d["verb"] == "exec")
                    and "txn" not in d
                ):
                    return {"outcome": "unknown", "retry_after_us": 500_000}
                raise
        if r["res"].get("not_here"):
            self.at.pop(sid, None)
            raise SessionMoving("the session is being moved")
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

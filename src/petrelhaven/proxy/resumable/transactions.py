"""Transactions: pinned to one connection of one member from begin to end."""

from petrelhaven.proxy.resumable.session import Txn
from petrelhaven.proxy.resumable.verbs import WRITES
from petrelhaven.runtime.errors import (
    DeadlineExceeded,
    InvalidSequence,
    Malformed,
    MemberDeclined,
    NoLease,
    NoPrimary,
    NotSent,
    StatementRejected,
    TransactionEnded,
    Unreachable,
)
from petrelhaven.runtime.events import Events, emit

__all__ = ["TransactionRunner"]


class TransactionRunner:
    """Runs transactions."""

    def __init__(self, edge):
        self.e = edge

    def begin(self, s, d, arr, end):
        """Opens a transaction pinned to one connection."""
        e = self.e
        if s.txn is not None:
            raise InvalidSequence("a transaction is open already", details={"txn": s.txn.num})
        mode = d.get("mode", "write")
        if mode not in ("read", "write"):
            raise Malformed("mode must be read or write")
        t, r = self.e.flow.member_group(d)
        ops = [{"v": "begin", "mode": mode}]
        if mode == "read":
            b = e.bounds()
            since = e.clock.now() - b.browse_us + b.margin_us if r.reads == "browsing" else None
            post, pos, c = yield from self.e.flow.reader.place(s, ops, t, arr, since, end, pin=True)
        else:
            post, pos, c = yield from self.e.flow.reader.try_at(
                self.e.flow.writer.open(t),
                s,
                ops,
                end,
                [{"v": "ready", "role": "primary", "term": t.epoch["term"]}],
                None,
                True,
            )
        s.txns += 1
        s.txn = Txn(s.txns, post.name, c, mode, t.name, e.clock.now(), t.epoch["term"], post)
        e.watch_txn(s, s.txn)
        return {"txn": s.txns, "from": post.name, "after": pos}

    def inside(self, s, op, kind, end):
        """One statement inside the open transaction."""
        e, x = self.e, s.txn
        if kind in WRITES and x.mode == "read":
            raise InvalidSequence("the transaction only reads")
        x.since = e.clock.now()
        try:
            rs = yield from self.e.flow.sender.on(
                x.pool, x.conn, s, [op], e.bounds().statement_us // 2, pinned=True
            )
        except (DeadlineExceeded, Unreachable, MemberDeclined):
            e.end_txn(s)
            raise TransactionEnded(
                "the transaction's connection was lost; nothing of it was kept",
                details={"txn": x.num},
            ) from None
        except (NoLease, NoPrimary):
            raise
        return {**rs[-1], "from": x.member}

    def finish(self, s, d, end):
        """Commits or rolls back."""
        e, x = self.e, s.txn
        if x is None:
            raise InvalidSequence(f"{d['verb']} without a transaction")
        if d["verb"] == "rollback" or x.mode == "read":
            try:
                yield from self.e.flow.sender.on(
                    x.pool, x.conn, s, [{"v": "rollback"}], 500_000, pinned=True
                )
            except (DeadlineExceeded, Unreachable, MemberDeclined, NoLease, NoPrimary):
                x.conn.lost = True
            e.end_txn(s, clean=True)
            return {"outcome": "kept" if d["verb"] == "commit" else "not kept"}
        n, seen = self.e.flow.writer.try_of(s, d)
        if seen:
            return seen
        if not e.control.sends:
            raise NoLease("this edge may not send now")
        s.begin_try(n)
        try:
            yield e.tasks.spawn(e.keeper.keep(s))
        except BaseException:
            s.tries.pop(n, None)
            raise
        t = e.member_groups.get(x.route)
        if s.txn is not x or x.conn.lost or t is None or t.epoch["term"] != x.epoch:
            s.tries.pop(n, None)
            e.end_txn(s)
            raise TransactionEnded(
                "the transaction ended before its commit left; nothing was kept",
                details={"txn": x.num},
            )
        x.pool.writes += 1
        try:
            rs = yield from self.e.flow.sender.on(
                x.pool, x.conn, s, [{"v": "commit"}], e.bounds().statement_us // 2, pinned=True
            )
        except (NotSent, NoLease, NoPrimary):
            s.tries.pop(n, None)
            raise
        except MemberDeclined:
            e.end_txn(s)
            s.tries.pop(n, None)
            raise TransactionEnded(
                "the member declined the commit; nothing was kept", details={"txn": x.num}
            ) from None
        except StatementRejected as f:
            e.end_txn(s)
            return (yield from self.e.flow.writer.settled(s, n, {"outcome": "not kept", **f.doc()}))
        except (DeadlineExceeded, Unreachable):
            e.end_txn(s)
            emit(e.log, Events.STATEMENT_OUTCOME_UNKNOWN, sid=s.sid, n=n)
            return {"outcome": "unknown", "retry_after_us": 300_000}
        finally:
            x.pool.writes -= 1
        e.end_txn(s, clean=True)
        return (yield from self.e.flow.writer.committed(s, n, t, x.pool, x.epoch, rs[-1]))

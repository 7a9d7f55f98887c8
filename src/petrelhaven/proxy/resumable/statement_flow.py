"""The way of a statement: a continuation that the slab resumes, handed to what the statement is."""

from petrelhaven.proxy.resumable.reads import Reader
from petrelhaven.proxy.resumable.sender import Sender
from petrelhaven.proxy.resumable.transactions import TransactionRunner
from petrelhaven.proxy.resumable.value_changes import ValueChanger
from petrelhaven.proxy.resumable.verbs import WRITES, op
from petrelhaven.proxy.resumable.writes import Writer
from petrelhaven.runtime.errors import (
    Busy,
    InvalidSequence,
    Malformed,
    NoPrimary,
    NoRoute,
    NoSession,
    Superseded,
    TransactionEnded,
)

__all__ = ["StatementFlow"]


class StatementFlow:
    """Runs one statement of one session on an edge."""

    def __init__(self, edge):
        self.e = edge
        self.sender, self.reader, self.writer = Sender(edge), Reader(edge), Writer(edge)
        self.changer, self.transaction_runner = ValueChanger(edge), TransactionRunner(edge)

    def run(self, s, d, arr, end):
        """The continuation of statement `d`, which arrived at order point `arr`."""
        e = self.e
        v = d.get("verb")
        lk = s.lock(e.bounds().queue)
        if lk is None:
            raise Busy("too many statements wait in this session")
        try:
            yield lk
            if s.state != "home":
                raise e.moved(s)
            if s.over:
                raise NoSession("the session has ended")
            if not s.is_replicated:
                yield e.tasks.spawn(e.keeper.settle(s))
            self._check_order(s, d)
            if s.txn is not None and s.txn.conn.lost:
                e.end_txn(s)
            if "txn" in d and (s.txn is None or d["txn"] != s.txn.num):
                if v == "commit" and type(d.get("try")) is int and d["try"] in s.tries:
                    return {**s.tries[d["try"]], "repeated": True}
                raise TransactionEnded(
                    "that transaction has ended; nothing of it was kept unless a commit said so",
                    details={"txn": d["txn"]},
                )
            if s.txn is not None and "txn" not in d:
                raise InvalidSequence(
                    "a transaction is open; name it by txn", details={"txn": s.txn.num}
                )
            if v in ("set", "unset"):
                return (yield from self.changer.set(s, d))
            if v == "prepare":
                return (yield from self.changer.prepare(s, d))
            if v == "begin":
                return (yield from self.transaction_runner.begin(s, d, arr, end))
            if v in ("commit", "rollback"):
                return (yield from self.transaction_runner.finish(s, d, end))
            step = op(d)
            kind = v
            if v == "exec":
                if d["name"] not in s.prepared:
                    raise InvalidSequence(f"no prepared statement {d['name'][:40]}")
                kind = s.prepared[d["name"]]["verb"]
            if s.txn is not None:
                return (yield from self.transaction_runner.inside(s, step, kind, end))
            t, r = self.member_group(d)
            if kind in WRITES:
                return (yield from self.writer.run(s, d, step, t, end))
            return (yield from self.reader.run(s, step, t, r.reads == "browsing", arr, end))
        finally:
            if lk.done():
                s.unlock()
            else:
                lk.cancel()

    @staticmethod
    def _check_order(s, d):
        k = d.get("say")
        if k is None:
            return
        if type(k) is not int or not 0 < k < 1 << 53:
            raise Malformed("say must be a rising whole number")
        if k < s.statement_number:
            raise Superseded(
                "a later statement of this session was served already",
                details={"said": s.statement_number},
            )
        s.statement_number = k

    def member_group(self, d):
        """The group that a statement's route names, and the route."""
        if not isinstance(d.get("route"), str):
            raise Malformed("route must be the name of a route")
        r = self.e.routes.get(d["route"])
        if r is None:
            raise NoRoute(f"no route {str(d.get('route'))[:40]}")
        t = self.e.member_groups.get(r.group)
        if t is None or t.epoch is None:
            raise NoPrimary("the group has no epoch yet")
        return t, r

"""Single writes: the try written down, sent once, held by the in-sync replicas, its outcome written down."""

from petrelhaven.runtime.errors import (
    DeadlineExceeded,
    Fault,
    Malformed,
    MemberDeclined,
    NoLease,
    NoPrimary,
    NotSent,
    StatementRejected,
    Unreachable,
)
from petrelhaven.runtime.events import Events, emit

__all__ = ["Writer"]


class Writer:
    """Runs writes and settles outcomes."""

    def __init__(self, edge):
        self.e = edge

    def try_of(self, s, d):
        """(number, first outcome) of a statement's try."""
        n = d.get("try")
        if type(n) is not int or not 0 < n < 1 << 53:
            raise Malformed("a write needs its try, a rising whole number")
        if n in s.tries:
            return n, {**s.tries[n], "repeated": True}
        if n <= s.forgotten_tries:
            return n, {"outcome": "unknown", "repeated": True}
        return n, None

    def open(self, t):
        """The primary, if writes are taken now."""
        if t.key is None:
            raise NoPrimary(
                "writes are stopped while a primary is elected", details={"epoch": t.epoch["n"]}
            )
        if not t.epoch["open"]:
            raise NoPrimary(
                "too few in-sync replicas to keep a write safe", details={"epoch": t.epoch["n"]}
            )
        return t.posts[t.epoch["primary"]]

    def run(self, s, d, op, t, end):
        """One write under its try."""
        e = self.e
        n, seen = self.try_of(s, d)
        if seen:
            return seen
        self.open(t)
        if not e.control.sends:
            raise NoLease("this edge may not send now")
        s.begin_try(n)
        post = None
        try:
            yield e.tasks.spawn(e.keeper.keep(s))
            post = self.open(t)
            c = yield from self.e.flow.sender.take(
                post, s, min(max(end - e.clock.now(), 1000), 500_000)
            )
        except BaseException:
            s.tries.pop(n, None)
            raise
        ok = False
        post.writes += 1
        key = t.key
        try:
            if key is None or key[1] != post.name:
                raise NoPrimary("the primary changed")
            first = [{"v": "ready", "role": "primary", "term": t.epoch["term"]}]
            term = t.epoch["term"]
            rs = yield from self.e.flow.sender.on(
                post, c, s, [op], e.bounds().statement_us // 2, first
            )
            ok = True
        except (NotSent, MemberDeclined, NoLease, NoPrimary) as f:
            ok = not c.lost
            s.tries.pop(n, None)
            raise (
                f
                if not isinstance(f, MemberDeclined)
                else NoPrimary(f"the primary declined: {f.note}")
            ) from None
        except StatementRejected as f:
            ok = True
            return (yield from self.settled(s, n, {"outcome": "not kept", **f.doc()}))
        except (DeadlineExceeded, Unreachable):
            emit(e.log, Events.STATEMENT_OUTCOME_UNKNOWN, sid=s.sid, n=n)
            return {"outcome": "unknown", "retry_after_us": 300_000}
        finally:
            post.writes -= 1
            post.pool.give(c) if ok and not c.lost else post.pool.drop(c)
        return (yield from self.committed(s, n, t, post, term, rs[-1]))

    def committed(self, s, n, t, post, term, r):
        """The outcome once every in-sync replica holds `r`, or unknown."""
        e = self.e
        try:
            replicated = yield e.tasks.spawn(e.wait_replicated(t, post.name, term, r["pos"]))
        except DeadlineExceeded:
            replicated = False
        if not replicated:
            emit(e.log, Events.STATEMENT_OUTCOME_UNKNOWN, sid=s.sid, n=n, pos=r["pos"])
            return {"outcome": "unknown", "retry_after_us": 300_000}
        return (
            yield from self.settled(
                s,
                n,
                {
                    "outcome": "kept",
                    "pos": r["pos"],
                    **({"value": r["value"]} if "value" in r else {}),
                },
            )
        )

    def settled(self, s, n, out):
        """Has an outcome written down by the keepers, then tells it."""
        if n in s.tries:
            s.tries[n] = out
        try:
            yield self.e.tasks.spawn(self.e.keeper.keep(s))
        except Fault:
            return {"outcome": "unknown", "retry_after_us": 300_000}
        return out

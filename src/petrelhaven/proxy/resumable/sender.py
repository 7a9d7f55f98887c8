"""Putting a batch on a connection: set up for its session, the lease looked at right before it leaves."""

from petrelhaven.runtime.errors import (
    Busy,
    DeadlineExceeded,
    MemberDeclined,
    NoLease,
    NoPrimary,
    StatementRejected,
    Unreachable,
)
from petrelhaven.runtime.events import Events, emit

__all__ = ["Sender"]

_NOTHING = {"NOCONN", "READONLY", "FULL", "COLD", "DRAINING", "LAGGING", "TERM"}


class Sender:
    """Sends batches of one session."""

    def __init__(self, edge):
        self.e = edge

    def tag(self, s):
        """What a connection is set up for."""
        return (s.sid, s.epoch, s.revision)

    def on(self, post, conn, s, ops, us, first=(), pinned=False):
        """Sends one batch on a connection; the lease is checked right before the send."""
        e = self.e
        tag = self.tag(s)
        pre = []
        if not pinned and conn.tag != tag:
            pre = (
                [{"v": "reset"}]
                + [{"v": "set", "name": n, "value": v} for n, v in s.values.items()]
                + [{"v": "prepare", "name": n, "statement": st} for n, st in s.prepared.items()]
            )
        if not e.sends(post):
            raise (
                NoLease("this edge may not send now")
                if not e.control.sends
                else NoPrimary("the member is leaving")
            )
        was, conn.tag = conn.tag, None
        try:
            rs = yield e.tasks.spawn(conn.run(list(first) + pre + ops, us))
        except MemberDeclined as f:
            if f.note == "LAGGING":
                conn.tag = was
            elif f.note == "NOCONN":
                conn.lost = True
            if f.note not in _NOTHING:
                raise StatementRejected(
                    f.note, details={k: v for k, v in f.details.items() if k != "fault"}
                ) from None
            raise
        except (DeadlineExceeded, Unreachable) as f:
            conn.lost = True
            emit(e.log, Events.MEMBER_CONNECTION_LOST, member=post.name, fault=f.code)
            raise
        conn.tag = tag
        e.sent += 1
        return rs[len(first) + len(pre) :]

    def take(self, post, s, us):
        """A connection to `post`, waited for at most `us`."""
        e = self.e
        f = post.pool.take(self.tag(s))
        try:
            c = yield e.tasks.spawn(e.clock.wait_for(f, us, keep_running=True))
            if not f.done():
                raise Busy("no connection in time")
            return c
        except BaseException:
            post.pool.quit(f)
            raise

    def once(self, post, s, ops, end, first=()):
        """Takes a connection, sends one batch, gives the connection back."""
        us = end - self.e.clock.now()
        c = yield from self.take(post, s, min(us, 500_000))
        ok = False
        try:
            b = self.e.bounds()
            rs = yield from self.on(
                post, c, s, ops, max(1000, min(us, b.wait_us + b.join_us)), first
            )
            ok = True
            return rs
        except (MemberDeclined, StatementRejected, NoLease, NoPrimary):
            ok = not c.lost
            raise
        finally:
            post.pool.give(c) if ok and not c.lost else post.pool.drop(c)

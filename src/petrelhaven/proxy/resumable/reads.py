"""Single reads: a position, a member whose log holds it, the primary as the last resort."""

from petrelhaven.runtime.errors import (
    Busy,
    DeadlineExceeded,
    MemberDeclined,
    NoPrimary,
    Unreachable,
)

__all__ = ["Reader"]


class Reader:
    """Runs reads through the clock."""

    def __init__(self, edge):
        self.e = edge

    def run(self, s, op, t, browse, arr, end):
        """One read, strong or browsing."""
        e = self.e
        b = e.bounds()
        since = e.clock.now() - b.browse_us + b.margin_us if browse else None
        got = yield from self.place(s, [op], t, arr, since, end)
        post, pos, rs = got
        return {**rs[-1], "from": post.name, "after": pos}

    def place(self, s, ops, t, arr, since, end, pin=False):
        """Finds a member that may serve and sends; answers (post, position, results or connection)."""
        e = self.e
        b = e.bounds()
        stop = e.clock.now() + b.wait_us + b.join_us
        bad, key, pos, last = set(), None, None, None
        while e.clock.now() < min(end, stop) and t.epoch is not None:
            if key is None or key != t.key:
                pos = yield t.reads.request_position(arr, since)
                key = t.key
                if pos is None or key is None:
                    break
                e.waits["gated"] += 1
            post = e.pick(t, pos, bad)
            if post is None:
                break
            if post.log_progress.is_polling and post.log_progress.position < pos:
                e.waits["tide"] += 1
                try:
                    yield e.tasks.spawn(
                        e.clock.limit(post.log_progress.poll_until_reached(pos), b.wait_us // 2)
                    )
                except DeadlineExceeded:
                    e.waits["stalled"] += 1
                    bad.add(post.name)
                    continue
                if key != t.key:
                    continue
            try:
                return (
                    yield from self.try_at(
                        post,
                        s,
                        ops,
                        end,
                        [{"v": "after", "pos": pos, "term": t.epoch["term"]}],
                        pos,
                        pin,
                    )
                )
            except MemberDeclined as f:
                last = f
                if f.note == "LAGGING":
                    e.waits["lagging"] += 1
                    post.log_progress.note_position(
                        f.details.get("log", -1), f.details.get("term", -1)
                    )
                    left = min(stop, e.clock.now() + b.wait_us // 2) - e.clock.now()
                    try:
                        yield e.tasks.spawn(
                            e.clock.limit(
                                post.log_progress.poll_until_reached(pos), max(left, 1000)
                            )
                        )
                        continue
                    except DeadlineExceeded:
                        e.waits["stalled"] += 1
                bad.add(post.name)
            except (DeadlineExceeded, Unreachable, Busy) as f:
                if isinstance(f, DeadlineExceeded) and e.clock.now() >= end:
                    raise
                last = f
                bad.add(post.name)
        return (yield from self.at_primary(s, ops, t, end, pin, last))

    def at_primary(self, s, ops, t, end, pin, last):
        """The last resort: the primary, which needs no AFTER."""
        e = self.e
        if t.key is None:
            raise NoPrimary("the group has no primary now", details={"epoch": t.epoch["n"]})
        post = t.posts[t.epoch["primary"]]
        e.waits["primary"] += 1
        try:
            return (
                yield from self.try_at(
                    post,
                    s,
                    ops,
                    end,
                    [{"v": "ready", "role": "primary", "term": t.epoch["term"]}],
                    None,
                    pin,
                )
            )
        except MemberDeclined as f:
            raise NoPrimary(f"the primary declined: {f.note}") from None

    def try_at(self, post, s, ops, end, first, pos, pin):
        """One try at one member: results, or with `pin` the connection itself."""
        if not pin:
            return post, pos, (yield from self.e.flow.sender.once(post, s, ops, end, first))
        c = yield from self.e.flow.sender.take(post, s, min(end - self.e.clock.now(), 500_000))
        try:
            yield from self.e.flow.sender.on(post, c, s, ops, 1_000_000, first)
        except BaseException:
            post.pool.drop(c)
            raise
        return post, pos, c

"""What clients, members and operators saw, held against what must never happen."""

import bisect
import collections
import itertools

__all__ = ["judge"]


def judge(history, drain_s=5.0, empty_s=5.0, contact_s=5.0):
    """Violations: tuples that begin with the rule's name.

    Bounds in time bind nodes that have been in touch with a settled core for `contact_s`.
    """
    asked = {s.num: (t, s) for t in history.attempts for s in t.statements}
    committed = collections.defaultdict(list)
    for g, e in history.entries:
        for num, _, _ in e.writes:
            committed[num].append(e)
    rules = (
        _mixed(history, asked),
        _pinned(history, asked),
        _unasked(history, asked, committed),
        _effects(history, committed),
        _stale(history, asked, committed),
        _lost(history, committed),
        _drained(history, asked, drain_s, contact_s),
        _emptied(history, empty_s, contact_s),
    )
    return list(itertools.chain(*rules))


def _mixed(history, asked):
    runs = {(r.num, r.stamp): r for r in history.runs}
    for _, s in asked.values():
        if s.outcome == "ok" and s.verb in ("read", "write", "execute", "commit"):
            r = runs.get((s.num, s.stamp))
            if r is None:
                yield (
                    "MIXED",
                    s.num,
                    s.text,
                    f"success with the stamp {s.stamp}, which no member gave it",
                )
            elif r.rows != s.rows:
                yield "MIXED", s.num, s.text, f"rows {s.rows} where the member answered {r.rows}"


def _pinned(history, asked):
    places, owners = {}, {}
    for r in history.runs:
        if r.num not in asked:
            continue
        t, s = asked[r.num]
        place = r.member, r.connection, r.transaction
        if not t.transaction:
            if r.transaction is not None:
                yield "PINNED", s.num, f"single statement inside the transaction {place}"
        elif r.transaction is None:
            yield "PINNED", s.num, s.text, f"outside of its transaction at {r.member}"
        else:
            if places.setdefault(id(t), place) != place:
                yield (
                    "PINNED",
                    s.num,
                    s.text,
                    f"ran at {place}, its transaction's first at {places[id(t)]}",
                )
            if owners.setdefault(place, t) is not t:
                yield "PINNED", s.num, f"inside the transaction of client {owners[place].client}"
        if r.values != s.values and r.kind != "commit":
            yield (
                "PINNED",
                s.num,
                r.member,
                f"ran with the values {r.values}, its client's are {s.values}",
            )
        if r.shape != s.shape:
            yield "PINNED", s.num, s.text, f"ran the shape {r.shape}, its client prepared {s.shape}"
    for _, s in asked.values():
        if s.outcome == "unprepared" and s.shape is not None:
            yield "PINNED", s.num, s.text, "the prepared name is unknown"


def _unasked(history, asked, committed):
    for r in history.runs:
        if r.num not in asked:
            yield "UNASKED", r.member, r.num, f"{r.text}, which no client sent"
        elif asked[r.num][1].text != r.text:
            yield "UNASKED", r.num, f"ran as {r.text}, sent was {asked[r.num][1].text}"
    for t in history.attempts:
        if t.transaction and not any(s.verb == "commit" for s in t.statements):
            for s in t.statements:
                if any(e.cut is None for e in committed.get(s.num, ())):
                    yield "UNASKED", s.num, "committed, its client never asked for that"


def _effects(history, committed):
    for t in history.attempts:
        for s in t.statements:
            n = sum(e.cut is None for e in committed.get(s.num, ()))
            if n > 1:
                yield "TWICE", s.num, s.text, f"took effect {n} times"
            if n and t.promised:
                yield "REFUSED", s.num, s.text, f"kept, its client was told {t.outcome}"


def _acknowledged(history, committed):
    """(when, group, entries) of everything that a client was told is kept."""
    for t in history.attempts:
        if not t.statements:
            continue
        end = t.statements[-1]
        if t.transaction:
            if end.verb == "commit" and end.outcome == "ok":
                nums = [s.num for s in t.statements if s.writes]
                if nums:
                    yield end, t.group, nums
        elif end.writes and end.outcome == "ok":
            yield end, t.group, [end.num]


def _stale(history, asked, committed):
    acked = collections.defaultdict(list)
    for s, g, nums in _acknowledged(history, committed):
        for e in committed.get(nums[-1], ()):
            if e.cut is None:
                acked[g].append((s.ended, e.number))
    for g, rows in acked.items():
        rows.sort()
        acked[g] = [t for t, _ in rows], list(itertools.accumulate((n for _, n in rows), max))
    for r in history.runs:
        if r.kind != "get" or r.num not in asked or r.group not in acked:
            continue
        t, s = asked[r.num]
        times, numbers = acked[r.group]
        n = bisect.bisect_left(times, t.statements[0].sent - t.stale_us / 1e6)
        tip = r.tip
        while tip is not None and tip.cut is not None:
            tip = tip.previous
        has = tip.number if tip else 0
        if n and numbers[n - 1] > has:
            yield (
                "STALE",
                s.num,
                s.text,
                f"ran at {r.member} on {has}, {numbers[n - 1]} was acknowledged before",
                t.stale_us,
                r.at,
            )


def _lost(history, committed):
    for s, g, nums in _acknowledged(history, committed):
        for num in nums:
            es = committed.get(num, ())
            if not es:
                yield "LOST", num, "acknowledged, but in no log"
            elif all(e.cut is not None for e in es):
                yield (
                    "LOST",
                    num,
                    f"the acknowledged commit {es[0].term}.{es[0].number} was cut back",
                    es[0].cut,
                )


def _drained(history, asked, drain_s, contact_s):
    first = {}
    for r in history.runs:
        since = history.drained.get(r.member)
        if r.num not in asked:
            continue
        t = asked[r.num][0]
        if first.setdefault(id(t), r.num) != r.num or since is None or r.sent <= since + drain_s:
            continue
        if history.in_touch(r.node, r.sent, contact_s):
            yield (
                "DRAIN",
                r.num,
                r.text,
                f"sent to {r.member} {r.sent - since:.2f} s after it was draining",
                r.node,
            )


def _emptied(history, empty_s, contact_s):
    for zone, since, until in history.evacuations:
        for r in history.runs:
            late = r.sent - since
            if (
                r.zone == zone
                and late > empty_s
                and (until is None or r.sent < until)
                and history.in_touch(r.node, r.sent, contact_s)
            ):
                yield (
                    "EVAC",
                    r.num,
                    r.text,
                    f"sent to {r.member} {late:.2f} s after {zone} was emptied",
                    r.node,
                )

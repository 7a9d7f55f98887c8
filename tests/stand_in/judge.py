import bisect
import collections
import itertools

from .keys import judge_names
from .route_probe import ACCEPTED, UNKNOWN_DATABASE
from .violation import Violation

__all__ = ["is_in_touch", "judge"]

SYSTEM_ID = "-"
PROMISE_NOTHING = ("INDOUBT", "TIMEOUT", "cut", "silent")


def judge(
    history, *, drain_ms=7000, evacuate_ms=5000, contact_ms=5000, loss_slack_ms=200, apply_ms=3000
):
    """Checks what was seen against the rules; returns the violations.

    Machines are in touch, for the rules that ask it, when no machine had trouble in the `contact_ms` before.
    """
    asked = {s.id: (a, s) for a in history.attempts for s in a.statements}
    rules = (
        _mixed(history, asked),
        _pinned(history, asked),
        _unasked(history, asked),
        _effects(history),
        _stale(history, asked),
        _promote_lost(history, asked),
        _drain(history, asked, drain_ms, contact_ms),
        _evacuation(history, evacuate_ms, contact_ms),
        _route(history, asked),
        judge_names(history, asked, apply_ms),
        _stray(history),
        _cut(history, contact_ms, loss_slack_ms),
        _config(history),
        _probes(history, apply_ms, contact_ms),
        _reads(history, apply_ms),
    )
    return [Violation(*v) for v in itertools.chain(*rules)]


def _mixed(history, asked):
    runs = collections.defaultdict(dict)
    for run in history.runs:
        runs[run.id][run.stamp] = run
    for _, s in asked.values():
        if s.outcome == "ok" and s.text.split(" ")[0] in ("FETCH", "PUT", "EXECUTE", "COMMIT"):
            run = runs[s.id].get(s.stamp)
            if run is None:
                yield (
                    "MIXED",
                    f"{s.id} {s.text}: success with the stamp {s.stamp} which no member gave it",
                )
            elif run.rows != s.rows:
                yield (
                    "MIXED",
                    f"{s.id} {s.text}: rows {s.rows} where the member answered {run.rows}",
                )


def _pinned(history, asked):
    places, owners = {}, {}
    for run in history.runs:
        if run.id not in asked:
            continue
        a, s = asked[run.id]
        place = run.member, run.connection, run.transaction
        if not a.transaction:
            if run.transaction is not None:
                yield "PINNED", f"single statement {s.id} ran inside the transaction {place}"
        elif run.transaction is None:
            yield "PINNED", f"{s.id} {s.text} of a transaction ran outside of one at {run.member}"
        else:
            if s is a.first:
                places[id(a)] = place
            if places.get(id(a)) != place:
                yield (
                    "PINNED",
                    f"{s.id} {s.text} ran at {place}, its transaction's first at {places.get(id(a))}",
                )
            if owners.setdefault(place, a) is not a:
                yield (
                    "PINNED",
                    f"{s.id} {s.text} ran inside the transaction of {owners[place].session}",
                )
        if run.values != s.values and run.kind != "COMMIT":
            yield "PINNED", f"{s.id} ran with the values {run.values}, its client's are {s.values}"
        if run.shape != s.shape:
            yield (
                "PINNED",
                f"{s.id} {s.text} ran the shape {run.shape}, its client prepared {s.shape}",
            )
    for _, s in asked.values():
        if s.outcome == "NOSTMT" and s.shape is not None:
            yield "PINNED", f"{s.id} {s.text}: the prepared name is unknown"


def _same_text(asked, run):
    a, b = asked.split(" "), run.split(" ")
    return a[0] == b[0] and (a[2:] == b[2:] if a[0] == "EXECUTE" else a == b)


def _unasked(history, asked):
    wrote = {(r.member, r.connection, r.transaction) for r in history.runs if r.kind == "PUT"}
    for run in history.runs:
        place = run.member, run.connection, run.transaction
        if run.id == SYSTEM_ID and run.kind == "COMMIT" and place not in wrote:
            continue
        if run.id not in asked:
            yield "UNASKED", f"{run.member} ran {run.id} {run.text}, which no client sent"
        elif not _same_text(asked[run.id][1].text, run.text):
            yield (
                "UNASKED",
                f"{run.member} ran {run.id} as {run.text}, sent was {asked[run.id][1].text}",
            )


def _effects(history):
    kept = collections.Counter(
        id for e in history.entries if e.cut_at is None for id, _, _ in e.writes
    )
    for a in history.attempts:
        for s in a.statements:
            if kept[s.id] > 1:
                yield "TWICE", f"{s.id} {s.text} took effect {kept[s.id]} times"
            if kept[s.id] and a.promised:
                yield (
                    "REFUSED",
                    f"{s.id} {s.text} was committed, its client was told that nothing is kept",
                )


def _stale(history, asked):
    acked = collections.defaultdict(list)
    for e in history.entries:
        if e.acked_at is not None and e.cut_at is None:
            acked[e.service].append((e.acked_at, e.number))
    for service, rows in acked.items():
        rows.sort()
        acked[service] = [t for t, _ in rows], list(itertools.accumulate((n for _, n in rows), max))
    for run in history.runs:
        if run.kind != "FETCH" or run.id not in asked or run.service not in acked:
            continue
        a, s = asked[run.id]
        times, numbers = acked[run.service]
        late = a.max_staleness_ms / 1000 if a.route_type == "bounded_staleness" else 0
        n = bisect.bisect_left(times, a.statements[0].sent - late)
        log = run.log
        while log is not None and log.cut_at is not None:
            log = log.before
        has = log.number if log else 0
        if n and numbers[n - 1] > has:
            yield (
                "STALE",
                f"{s.id} {s.text} ran at {run.member} on {has}, {numbers[n - 1]} was acknowledged before it",
            )


def _promote_lost(history, asked):
    for e in history.entries:
        if e.acked_at is None or e.cut_at is None:
            continue
        if not all(_promises_nothing(asked, id) for id, _, _ in e.writes):
            yield "LOST", f"the acknowledged commit {e.term}.{e.number} was cut back by a promote"


def _promises_nothing(asked, id):
    """Whether the client that asked for this write got no promise that it is kept (page PROTOCOL)."""
    if id not in asked:
        return False
    a, s = asked[id]
    last = a.statements[-1] if a.transaction else s
    return last.outcome in PROMISE_NOTHING


def _in_touch(history, at, contact_ms):
    return not any(
        t.machines and t.at <= at and t.until >= at - contact_ms / 1000 for t in history.troubles
    )


def is_in_touch(history, machine, at, contact_ms):
    """Whether a machine had no trouble of its own, freezes included, and none of control in the `contact_ms` before."""
    spans = [
        *(t for t in history.troubles if t.puts_out_of_touch(machine)),
        *(f for f in history.freezes if f.machine == machine),
    ]
    return not any(s.at <= at and s.until >= at - contact_ms / 1000 for s in spans)


def _drain(history, asked, drain_ms, contact_ms):
    for run in history.runs:
        since = history.drained.get(run.member)
        if since is None or run.id not in asked or run.arrived <= since + drain_ms / 1000:
            continue
        a, s = asked[run.id]
        if s is a.first and _in_touch(history, run.arrived, contact_ms):
            yield (
                "DRAIN",
                f"{s.id} {s.text} reached {run.member} {run.arrived - since:.1f} s after it was draining",
            )


def _evacuation(history, evacuate_ms, contact_ms):
    for e in history.evacuations:
        for run in history.runs:
            since = run.arrived - e.acked_at
            if run.zone != e.zone or since <= evacuate_ms / 1000:
                continue
            if (e.finished_at is None or run.arrived < e.finished_at) and _in_touch(
                history, run.arrived, contact_ms
            ):
                yield (
                    "EVAC",
                    f"{run.id} {run.text} reached {run.member} {since:.1f} s after {e.zone} was evacuated",
                )


def _route(history, asked):
    allowed = {
        (r["Hostname"], r["Service"])
        for o in history.configs
        if o.valid
        for r in o.config["Routes"]
    }
    for run in history.runs:
        if run.id in asked and (asked[run.id][0].database, run.service) not in allowed:
            yield (
                "ROUTE",
                f"{run.service} ran {run.id} {run.text} of the database {asked[run.id][0].database}",
            )


def _stray(history):
    for session, line in history.stray:
        yield "STRAY", f"{session} was sent {line!r} while nothing was asked"


def _cut(history, contact_ms, loss_slack_ms):
    ran = {r.id for r in history.runs}
    for a in history.attempts:
        for s in a.statements:
            if s.outcome != "cut" or s.id not in ran and s.ended - s.sent <= loss_slack_ms / 1000:
                continue
            if not any(
                t.at <= s.ended and t.until >= s.sent - contact_ms / 1000
                for t in history.troubles
                if not t.planned
            ):
                yield "LOST", f"{s.id} {s.text} was cut off without trouble"


def _config(history):
    for o in history.configs:
        if not o.valid and o.acked_at is not None:
            yield "CONFIG", f"the invalid configuration {o.revision} was acknowledged"
    if history.fetched is not None:
        newest = max((o.revision for o in history.configs if o.acked_at is not None), default=0)
        got = history.fetched.get("Revision", 0)
        if got < newest:
            yield "CONFIG", f"the configuration read back is {got}, {newest} was acknowledged"
        elif not any(o.valid and o.config == history.fetched for o in history.configs):
            yield "CONFIG", f"the configuration read back differs from what was sent as {got}"


def _probes(history, apply_ms, contact_ms):
    """CONFIG: `apply_ms` after an acknowledgement, a machine in touch goes by no older version."""
    for probe in history.probes:
        if probe.code not in (ACCEPTED, UNKNOWN_DATABASE):
            continue
        allowed = _allowed_configs(history, probe, apply_ms)
        if not allowed or not is_in_touch(history, probe.proxy, probe.sent, contact_ms):
            continue
        has_route = {_has_route(order, probe.database) for order in allowed}
        if has_route == {probe.code != ACCEPTED}:
            yield (
                "CONFIG",
                f"{probe.proxy} answered {probe.code} for {probe.database} at {probe.sent:.1f}, "
                f"as no version from {allowed[0].revision} on allows",
            )


def _reads(history, apply_ms):
    """CONFIG: `apply_ms` after an acknowledgement no machine, in touch or not, answers a read with an older version."""
    for read in history.reads:
        newest = _newest_in_force(history, read.sent, apply_ms)
        if read.revision < newest:
            yield (
                "CONFIG",
                f"{read.node} answered a read of {read.sent:.1f} with {read.revision}, {newest} was in force",
            )


def _newest_in_force(history, at, apply_ms):
    """The newest revision that had been acknowledged `apply_ms` before, 0 if none."""
    acked = (
        o.revision
        for o in history.configs
        if o.acked_at is not None and o.acked_at + apply_ms / 1000 < at
    )
    return max(acked, default=0)


def _allowed_configs(history, probe, apply_ms):
    """The valid configurations that may be in force for a probe, the oldest first; none before the first one is."""
    oldest = _newest_in_force(history, probe.sent, apply_ms)
    return sorted(
        (
            o
            for o in history.configs
            if oldest and o.valid and o.revision >= oldest and o.sent_at <= probe.ended
        ),
        key=lambda o: o.revision,
    )


def _has_route(order, database):
    return any(route["Hostname"] == database for route in order.config["Routes"])

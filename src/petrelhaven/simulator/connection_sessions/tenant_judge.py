"""What members ran for tenants, held against every version of the configuration that was sent.

`ROUTE`: a key that no version had. `UNASKED`: a member was told another tenant than the key's.
`CONFIG`: a proxy in touch served a key that was taken away, or refused one that is there. `QUOTA`:
a window held more operations of a tenant than its limit allows.
"""

from __future__ import annotations

import bisect
import collections
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from petrelhaven.simulator.connection_sessions.attempt import Attempt
    from petrelhaven.simulator.connection_sessions.history import History
    from petrelhaven.simulator.connection_sessions.run import Run
    from petrelhaven.simulator.connection_sessions.statement import Statement
    from petrelhaven.simulator.connection_sessions.tenancy import Tenancy, TenantTerms

__all__ = ["judge_tenants", "operations"]

_STEP_S = 0.1
_SHOWN = 12
"""How many operations of a window that is too full are shown."""
Finding = tuple[Any, ...]


class Operation(NamedTuple):
    """A single statement that a member ran, or a transaction at its first statement there."""

    at: float
    sent: float
    tenant: str
    node: str
    number: str


class _Judged(NamedTuple):
    run: Run
    attempt: Attempt
    statement: Statement


def judge_tenants(
    history: History,
    tenancy: Tenancy,
    edges: Iterable[str],
    apply_s: float = 5.0,
    contact_s: float = 5.0,
) -> list[Finding]:
    """What broke a rule: tuples that begin with the rule's name.

    Args:
        history: What clients and members saw.
        tenancy: The versions of the configuration.
        edges: The names of the proxies.
        apply_s: How long after its acknowledgement a version binds machines in touch.
        contact_s: How long a machine must have been without trouble to be in touch.
    """
    judge = _TenantJudge(history, tenancy, list(edges), apply_s, contact_s)
    return [
        *judge.wrong_keys(),
        *judge.refused_keys(),
        *judge.full_windows(),
    ]


def operations(history: History) -> list[Operation]:
    """The operations that members ran, in the order of their times.

    Each run of a single statement counts, also a second one elsewhere; a transaction counts once
    for each member connection on which anything of it ran.
    """
    asked = _asked(history)
    seen: set[tuple[Any, ...]] = set()
    found = []
    for run in history.runs:
        if run.num not in asked:
            continue
        if run.transaction is not None:
            place = (run.member, run.connection, run.transaction)
            if place in seen:
                continue
            seen.add(place)
        sent = asked[run.num][0].statements[0].sent
        found.append(Operation(run.at, sent, run.who, run.node, run.num))
    return sorted(found)


def _asked(history: History) -> dict[str, tuple[Attempt, Statement]]:
    return {s.num: (t, s) for t in history.attempts for s in t.statements}


class _TenantJudge:
    def __init__(
        self,
        history: History,
        tenancy: Tenancy,
        edges: list[str],
        apply_s: float,
        contact_s: float,
    ) -> None:
        self._history, self._tenancy, self._edges = history, tenancy, edges
        self._apply_s, self._contact_s = apply_s, contact_s
        asked = _asked(history)
        self._runs = [_Judged(r, *asked[r.num]) for r in history.runs if r.num in asked]
        self._end = max((run.at for run in history.runs), default=0.0)

    # Keys

    def wrong_keys(self) -> Iterator[Finding]:
        for run, attempt, statement in self._runs:
            key = attempt.key
            known = self._holders(key, 0, run.at)
            if attempt.is_public and not known:
                if run.who:
                    yield "UNASKED", run.num, run.node, f"{run.who} in place of nobody"
            elif not known:
                yield "ROUTE", run.num, run.node, f"ran with {key!r}, which no version had"
            elif run.who not in known | ({""} if attempt.is_public else set()):
                yield "UNASKED", run.num, run.node, f"{run.who!r} is told, the key's are {known}"
            else:
                yield from self._late(run, attempt, statement)

    def _late(self, run: Run, attempt: Attempt, statement: Statement) -> Iterator[Finding]:
        """A proxy in touch goes by the versions that bind."""
        holders = self._binding_holders(attempt, statement.sent, run)
        if holders == set():
            yield (
                "CONFIG",
                run.num,
                run.node,
                f"{attempt.key} ran at {run.at:.2f}, sent {statement.sent:.2f}, though taken away",
            )
        names = self._binding_holders(attempt, attempt.statements[0].sent, run)
        if names and run.who not in names:
            yield "UNASKED", run.num, run.node, f"{run.who!r} is told, the key is {names}'s"

    def refused_keys(self) -> Iterator[Finding]:
        for refusal in self._history.key_refusals:
            if refusal.is_public:
                yield "CONFIG", refusal.node, f"a public route asked for a key at {refusal.at:.2f}"
                continue
            now, asked = refusal.at, refusal.asked
            if not self._in_touch(refusal.node, asked, now):
                continue
            since = self._tenancy.newest_acknowledged(asked - self._apply_s)
            versions = self._tenancy.binding(since, now)
            if since and all(version.holder(refusal.key) for version in versions):
                yield "CONFIG", refusal.node, f"{refusal.key} refused at {now:.2f}, it is there"

    def _holders(self, key: str, since: int, until: float) -> set[str]:
        versions = self._tenancy.binding(since, until)
        return {name for v in versions if (name := v.holder(key)) is not None}

    def _binding_holders(self, attempt: Attempt, sent: float, run: Run) -> set[str] | None:
        """Whom a proxy in touch may name; "" stands for nobody. None where nothing binds it."""
        since = self._tenancy.newest_acknowledged(sent - self._apply_s)
        if not since or not self._in_touch(run.node, sent, run.at):
            return None
        found = {v.holder(attempt.key) for v in self._tenancy.binding(since, run.at)}
        return {name or "" for name in found if name or attempt.is_public}

    def _in_touch(self, node: str, sent: float, at: float) -> bool:
        return self._history.in_touch(node, at, self._contact_s + at - sent)

    # Limits

    def full_windows(self) -> Iterator[Finding]:
        by_tenant = collections.defaultdict(list)
        for operation in operations(self._history):
            by_tenant[operation.tenant].append(operation)
        bound = self._bound_versions()
        for name, found in sorted(by_tenant.items()):
            if name:
                yield from self._full_windows(name, found, bound)

    def _full_windows(
        self, name: str, found: list[Operation], bound: list[tuple[float, int]]
    ) -> Iterator[Finding]:
        """The fullest window of a tenant among those that hold too much."""
        worst: Finding | None = None
        times = [operation.at for operation in found]
        for index, operation in enumerate(found):
            begin = operation.at
            after = bisect.bisect_right(times, begin + self._tenancy.window_s)
            count = after - index
            limit = self._limit(name, begin, bound)
            if count > limit and (worst is None or count - limit > worst[0]):
                window = found[index:after]
                worst = count - limit, count, limit, begin, window
        if worst is not None:
            _, count, limit, begin, window = worst
            nodes = collections.Counter(operation.node for operation in window)
            arrived = sum(o.sent >= begin for o in window)
            yield (
                "QUOTA",
                name,
                f"{count} ran from {begin:.3f} in {self._tenancy.window_s} s, {limit:g} may",
                f"{arrived} of them sent in it too",
                dict(nodes),
            )

    def _limit(self, name: str, begin: float, bound: list[tuple[float, int]]) -> float:
        """How many may run in the window from `begin` on."""
        since = max((number for moment, number in bound if moment <= begin), default=0)
        versions = self._tenancy.binding(since, begin + self._tenancy.window_s)
        return max(self._most(version.tenants.get(name)) for version in versions)

    def _most(self, terms: TenantTerms | None) -> float:
        return self._tenancy.most(terms) if terms is not None else float("inf")

    def _bound_versions(self) -> list[tuple[float, int]]:
        """(from when, number) of each version whose lower limits bind windows that begin then."""
        found = []
        for version in self._tenancy.versions.values():
            if version.acknowledged is None:
                continue
            moment = version.acknowledged + self._apply_s
            while moment < self._end and not self._all_in_touch(moment):
                moment += _STEP_S
            found.append((moment, version.number))
        return found

    def _all_in_touch(self, moment: float) -> bool:
        return all(self._history.in_touch(edge, moment, self._contact_s) for edge in self._edges)

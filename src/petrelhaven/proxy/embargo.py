"""A proxy's filter of embargoed records, which checks each read before it is sent and after."""

from __future__ import annotations

import collections
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from petrelhaven.control.embargo.agreed_time import widened
from petrelhaven.control.embargo.records import (
    PlacedRule,
    RuleKey,
    limits_of,
    rules_of,
    scope_of,
)
from petrelhaven.control.embargo.table import RuleTable
from petrelhaven.proxy.session.statement import Reply
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.wall_clock import TimeInterval
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from petrelhaven.control.state.control_state import ControlState
    from petrelhaven.proxy.routing.base import ProxyServices
    from petrelhaven.proxy.session.client_session import ClientSession
    from petrelhaven.proxy.session.statement import Statement
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.transport.channel import Channel

__all__ = ["EmbargoFilter", "ProxyTime", "Withholding"]

_CALL_US = 450_000
_RETRY_US = 500_000
_RETRY_MAX_MS = 7 * 86_400_000
_LOGGED_PER_SECOND = 50
_CLIENT_SHOWN = 60
_FILTERED_VERBS = ("read", "execute")
_PROXY_CODES = ("busy", "aborted", "timeout")
"""Codes of replies that the proxy makes itself: no member's rows are in them."""


class ProxyTime:
    """The lowest possible true time, from what control nodes report; no wall clock is read."""

    def __init__(self, clock: Clock, name: str, wall_us: int) -> None:
        """Knows nothing yet.

        Args:
            clock: the proxy's monotonic clock.
            name: the proxy's name.
            wall_us: widest interval that is of use, in microseconds.
        """
        self._clock = clock
        self._name = name
        self.wall_us = wall_us
        self._reported: tuple[int, TimeInterval] | None = None
        self._asked_us = 0
        self._lowest_us = 0

    async def ask(self, channel: Channel) -> None:
        """Takes the interval of the control node behind `channel`."""
        asked_us = self._clock.now()
        try:
            answer = await channel.call(
                MessageKind.AGREED_TIME_READ, {"name": self._name}, _CALL_US
            )
        except Fault:
            return
        if asked_us < self._asked_us:
            return
        self._asked_us = asked_us
        received_us = self._clock.now()
        self._reported = None
        if answer["ok"]:
            # the node may have worked it out at any moment since it was asked
            interval = TimeInterval(answer["lo"], answer["hi"])
            highest_us = widened(interval, received_us - asked_us).highest
            self._reported = (received_us, TimeInterval(interval.lowest, highest_us))
        self.lowest()

    def interval(self) -> TimeInterval | None:
        """Where true time can be now, or None where that is not known well enough."""
        if self._reported is None:
            return None
        received_us, reported = self._reported
        interval = widened(reported, self._clock.now() - received_us)
        return interval if interval.highest - interval.lowest <= self.wall_us else None

    def lowest(self) -> int:
        """The lowest moment that true time can be; it stays while no interval is known."""
        interval = self.interval()
        if interval is not None and interval.lowest > self._lowest_us:
            self._lowest_us = interval.lowest
        return self._lowest_us


@dataclass(frozen=True, slots=True)
class Withholding:
    """Why a read is withheld.

    Attributes:
        reason: `embargo` (a rule) or `lease` (this proxy has lost touch).
        left_us: microseconds of true time until the release; 0 where they are not known.
        rule: the name of the rule, or empty.
    """

    reason: str
    left_us: int = 0
    rule: str = ""


class EmbargoFilter:
    """Decides what a proxy withholds. Made when the control state first names embargoes."""

    def __init__(self, proxy: ProxyServices) -> None:
        """Withholds nothing until `apply_records` gives it the rules."""
        self._proxy = proxy
        self.true_time = ProxyTime(proxy.clock, proxy.name, 0)
        self.scope: frozenset[str] = frozenset()
        self.table: RuleTable[RuleKey] = RuleTable()
        self._spread_us = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._log_second = 0
        self._logged = 0
        self._not_logged = 0
        self._had_lease = True

    def apply_records(
        self, control_state: ControlState, records: Sequence[dict[str, Any]], fresh: bool
    ) -> None:
        """Follows the control state.

        Args:
            control_state: the state after the records.
            records: what was applied to it since the last call.
            fresh: whether it was replaced as a whole.
        """
        state = control_state.doc
        limits = limits_of(state)
        self.scope = frozenset(scope_of(state))
        self.true_time.wall_us = limits.wall_us if limits is not None else 0
        self._spread_us = limits.spread_us if limits is not None else 0
        if fresh or any(record["t"] == "manifest" for record in records):
            self.table = RuleTable(rules_of(state))
            return
        for record in records:
            if record["t"] == "embargo":
                self._update_rule(state, record["name"])

    def _update_rule(self, state: dict[str, Any], name: str) -> None:
        key = RuleKey("placed", name)
        stored = state.get("embargoes", {}).get(name)
        if stored is None:
            self.table.drop(key)
        else:
            self.table.put(key, PlacedRule.from_document(stored))

    @property
    def is_active(self) -> bool:
        """Whether there is anything to withhold."""
        return bool(self.scope) or len(self.table) > 0

    def withholding(self, group: str, things: Collection[str], client: str) -> Withholding | None:
        """Why a read of `things` is withheld from `client` now, or None."""
        if group in self.scope and not self._proxy.core_connection.holds_lease:
            return Withholding("lease")
        now_us = self.true_time.lowest()
        latest = self.table.latest_release(group, things, client, now_us)
        if latest is None:
            return None
        key, rule = latest
        return Withholding("embargo", rule.until_us - now_us if now_us else 0, key.name)

    def refuse_if_withheld(
        self, session: ClientSession, statement: Statement, group: str
    ) -> Reply | None:
        """The reply to a read that must not be served now, or None."""
        if statement.writes or statement.verb not in _FILTERED_VERBS:
            return None
        withheld = self.withholding(group, statement.things, session.client)
        self._log_lease(group)
        if withheld is None:
            return None
        self._counts[withheld.reason] += 1
        self._log_withheld(group, session.client, withheld)
        retry_ms = self._retry_ms(withheld.left_us)
        return Reply(
            code="withheld", text=f"withheld; come back in {retry_ms} ms", state=session.mark
        )

    def _retry_ms(self, left_us: int) -> int:
        """When to come back: after the release, spread out so that not all do at once."""
        if left_us:
            wait_us = left_us + self._proxy.rng.uniform(0, self._spread_us)
        else:
            wait_us = _RETRY_US + self._proxy.rng.uniform(0, _RETRY_US)
        return min(int(wait_us) // 1000 + 1, _RETRY_MAX_MS)

    def check_reply(
        self, session: ClientSession, statement: Statement, group: str, reply: Reply
    ) -> Reply:
        """The reply of a read, or a refusal if a rule came or the lease went since it was sent."""
        if reply.code in _PROXY_CODES:
            return reply
        refusal = self.refuse_if_withheld(session, statement, group)
        if refusal is None:
            return reply
        self._counts["late"] += 1
        refusal.state = reply.state
        return refusal

    def _log_lease(self, group: str) -> None:
        has_lease = self._proxy.core_connection.holds_lease
        if group in self.scope and has_lease != self._had_lease:
            self._had_lease = has_lease
            emit(self._proxy.log, Events.LEASE_REGAINED if has_lease else Events.NO_LEASE)

    def _log_withheld(self, group: str, client: str, withheld: Withholding) -> None:
        """Logs a refusal; of many in one second, only how many more there were."""
        second = self._proxy.clock.now() // 1_000_000
        if second != self._log_second:
            if self._not_logged:
                emit(self._proxy.log, Events.FURTHER_READS_WITHHELD, count=self._not_logged)
            self._log_second, self._logged, self._not_logged = second, 0, 0
        if self._logged >= _LOGGED_PER_SECOND:
            self._not_logged += 1
            return
        self._logged += 1
        emit(
            self._proxy.log,
            Events.READ_WITHHELD,
            group=group,
            why=withheld.reason,
            embargo=withheld.rule or "-",
            client=client[:_CLIENT_SHOWN] or "-",
        )

    def status(self) -> dict[str, Any]:
        """What is withheld here, and by which time."""
        return {
            "scope": sorted(self.scope),
            "rules": len(self.table),
            "time": self.true_time.interval(),
            "lease": self._proxy.core_connection.holds_lease,
            "count": dict(self._counts),
        }

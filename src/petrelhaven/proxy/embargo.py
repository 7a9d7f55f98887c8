"""Withholds embargoed records at a proxy; checks each read before it is sent and its reply."""

from __future__ import annotations

import collections
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from petrelhaven.control.embargo.agreed_time import extrapolate_interval
from petrelhaven.control.embargo.records import (
    PlacedRule,
    RuleKey,
    embargo_bounds,
    embargoed_groups,
    stored_rules,
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
    from petrelhaven.proxy.routing.interfaces import ProxyServices
    from petrelhaven.proxy.session.client_session import ClientSession
    from petrelhaven.proxy.session.statement import Statement
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.transport.channel import Channel

__all__ = ["EmbargoFilter", "TrueTimeEstimate", "Withholding"]

_TIME_READ_TIMEOUT_US = 450_000
_DEFAULT_RETRY_US = 500_000
_MAX_RETRY_MS = 7 * 86_400_000
_MAX_LOGGED_PER_SECOND = 50
_MAX_CLIENT_NAME_LOGGED = 60
_FILTERED_VERBS = ("read", "execute")
_REPLY_CODES_OF_PROXY = ("busy", "aborted", "timeout")
"""Codes of replies that the proxy itself creates, without rows of a member."""


class TrueTimeEstimate:
    """Estimates true time from the intervals that control nodes report; reads no wall clock."""

    def __init__(self, clock: Clock, name: str, wall_us: int) -> None:
        """Creates an estimate without a reported interval.

        Args:
            clock: the proxy's monotonic clock.
            name: the proxy's name.
            wall_us: the maximum width of a usable interval, in microseconds.
        """
        self._clock = clock
        self._name = name
        self.wall_us = wall_us
        self._reported: tuple[int, TimeInterval] | None = None
        self._newest_request_us = 0
        self._earliest_us = 0

    async def ask(self, channel: Channel) -> None:
        """Fetches the interval of the control node at the other end of `channel`."""
        requested_us = self._clock.now()
        try:
            answer = await channel.call(
                MessageKind.AGREED_TIME_READ, {"name": self._name}, _TIME_READ_TIMEOUT_US
            )
        except Fault:
            return
        if requested_us < self._newest_request_us:
            return
        self._newest_request_us = requested_us
        received_us = self._clock.now()
        self._reported = None
        if answer["ok"]:
            # the node may have computed the interval at any time since the request
            interval = TimeInterval(answer["lo"], answer["hi"])
            highest_us = extrapolate_interval(interval, received_us - requested_us).highest
            self._reported = (received_us, TimeInterval(interval.lowest, highest_us))
        self.earliest_us()

    def interval(self) -> TimeInterval | None:
        """Returns the interval that contains true time, or None if there is no usable one."""
        if self._reported is None:
            return None
        received_us, reported = self._reported
        interval = extrapolate_interval(reported, self._clock.now() - received_us)
        return interval if interval.highest - interval.lowest <= self.wall_us else None

    def earliest_us(self) -> int:
        """Returns the earliest possible true time; it never decreases."""
        interval = self.interval()
        if interval is not None and interval.lowest > self._earliest_us:
            self._earliest_us = interval.lowest
        return self._earliest_us


@dataclass(frozen=True, slots=True)
class Withholding:
    """The reason for withholding a read.

    Attributes:
        reason: `embargo` (a rule) or `lease` (this proxy has lost its lease).
        remaining_us: the time until the release in microseconds; 0 if unknown.
        rule: the name of the rule, or empty.
    """

    reason: str
    remaining_us: int = 0
    rule: str = ""


class EmbargoFilter:
    """Decides which reads a proxy withholds; created when the control state first has embargoes."""

    def __init__(self, proxy: ProxyServices) -> None:
        """Creates a filter that withholds nothing before the first `apply_records`."""
        self._proxy = proxy
        self.true_time = TrueTimeEstimate(proxy.clock, proxy.name, 0)
        self.embargoed_groups: frozenset[str] = frozenset()
        self.table: RuleTable[RuleKey] = RuleTable()
        self._spread_us = 0
        self._withheld_counts: collections.Counter[str] = collections.Counter()
        self._log_window_s = 0
        self._logged_in_window = 0
        self._suppressed_in_window = 0
        self._had_lease = True

    def apply_records(
        self, control_state: ControlState, records: Sequence[dict[str, Any]], fresh: bool
    ) -> None:
        """Applies new records of the control state.

        Args:
            control_state: the state after the records.
            records: the records applied since the last call.
            fresh: whether the complete control state was replaced.
        """
        state = control_state.doc
        bounds = embargo_bounds(state)
        self.embargoed_groups = frozenset(embargoed_groups(state))
        self.true_time.wall_us = bounds.wall_us if bounds is not None else 0
        self._spread_us = bounds.spread_us if bounds is not None else 0
        if fresh or any(record["t"] == "manifest" for record in records):
            self.table = RuleTable(stored_rules(state))
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
        """Whether any group is embargoed or any rule exists."""
        return bool(self.embargoed_groups) or len(self.table) > 0

    def find_withholding(
        self, group: str, record_keys: Collection[str], client: str
    ) -> Withholding | None:
        """Returns why a read of the records by `client` is withheld now, or None."""
        if group in self.embargoed_groups and not self._proxy.core_connection.holds_lease:
            return Withholding("lease")
        now_us = self.true_time.earliest_us()
        latest = self.table.latest_release(group, record_keys, client, now_us)
        if latest is None:
            return None
        key, rule = latest
        return Withholding("embargo", rule.until_us - now_us if now_us else 0, key.name)

    def refuse_if_withheld(
        self, session: ClientSession, statement: Statement, group: str
    ) -> Reply | None:
        """Returns the reply that refuses a withheld read; None if the statement may run."""
        if statement.writes or statement.verb not in _FILTERED_VERBS:
            return None
        withheld = self.find_withholding(group, statement.record_keys, session.client)
        self._log_lease(group)
        if withheld is None:
            return None
        self._withheld_counts[withheld.reason] += 1
        self._log_withheld(group, session.client, withheld)
        retry_ms = self._retry_ms(withheld.remaining_us)
        return Reply(
            code="withheld", text=f"withheld; come back in {retry_ms} ms", state=session.wire_state
        )

    def _retry_ms(self, remaining_us: int) -> int:
        """Returns the delay before a retry, with a random part so that clients spread out."""
        if remaining_us:
            wait_us = remaining_us + self._proxy.rng.uniform(0, self._spread_us)
        else:
            wait_us = _DEFAULT_RETRY_US + self._proxy.rng.uniform(0, _DEFAULT_RETRY_US)
        return min(int(wait_us) // 1000 + 1, _MAX_RETRY_MS)

    def check_reply(
        self, session: ClientSession, statement: Statement, group: str, reply: Reply
    ) -> Reply:
        """Returns the reply of a read, or a refusal if it became withheld since it was sent.

        That happens when a rule was added or the lease was lost in the meantime.
        """
        if reply.code in _REPLY_CODES_OF_PROXY:
            return reply
        refusal = self.refuse_if_withheld(session, statement, group)
        if refusal is None:
            return reply
        self._withheld_counts["late"] += 1
        refusal.state = reply.state
        return refusal

    def _log_lease(self, group: str) -> None:
        has_lease = self._proxy.core_connection.holds_lease
        if group in self.embargoed_groups and has_lease != self._had_lease:
            self._had_lease = has_lease
            emit(self._proxy.log, Events.LEASE_REGAINED if has_lease else Events.NO_LEASE)

    def _log_withheld(self, group: str, client: str, withheld: Withholding) -> None:
        """Logs a refusal; beyond a maximum per second, only the number of further ones."""
        second = self._proxy.clock.now() // 1_000_000
        if second != self._log_window_s:
            if self._suppressed_in_window:
                emit(
                    self._proxy.log, Events.FURTHER_READS_WITHHELD, count=self._suppressed_in_window
                )
            self._log_window_s, self._logged_in_window, self._suppressed_in_window = second, 0, 0
        if self._logged_in_window >= _MAX_LOGGED_PER_SECOND:
            self._suppressed_in_window += 1
            return
        self._logged_in_window += 1
        emit(
            self._proxy.log,
            Events.READ_WITHHELD,
            group=group,
            why=withheld.reason,
            embargo=withheld.rule or "-",
            client=client[:_MAX_CLIENT_NAME_LOGGED] or "-",
        )

    def status(self) -> dict[str, Any]:
        """Returns the embargoed groups, the number of rules, the time, the lease and the counts."""
        return {
            "scope": sorted(self.embargoed_groups),
            "rules": len(self.table),
            "time": self.true_time.interval(),
            "lease": self._proxy.core_connection.holds_lease,
            "count": dict(self._withheld_counts),
        }

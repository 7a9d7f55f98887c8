"""Tracks the copies sent to a successor, and limits grants until the next one is acknowledged."""

from __future__ import annotations

from dataclasses import dataclass

from petrelhaven.limits.counter import TenantCounter
from petrelhaven.limits.counter_mode import CounterMode
from petrelhaven.limits.standby import STANDBY_LIFETIME_US, CounterCopy

__all__ = ["CopyTracker", "SentCopy"]

_EXPIRED_FOR_CERTAIN_US = STANDBY_LIFETIME_US * 11 // 10
"""The lifetime of a copy at the successor, with a margin for clock drift."""
_KEEP_ALIVE_INTERVAL_US = 1_000_000
_MIN_RESERVED_PERMITS = 4
_RESERVE_DIVISOR = 6
"""One sixth of the allowance may be granted between two copies."""
_MAX_RESERVE_DIVISOR = 3
"""The minimum reserve never exceeds one third of the allowance."""


@dataclass(slots=True, eq=False)
class SentCopy:
    """A copy from which the successor may take over.

    Attributes:
        grant_limit: The maximum of the counter's granted total while the copy may be in use.
        used_total: The counter's total of uses when the copy was made.
        expires_at: When the successor certainly no longer takes over from the copy.
        is_pending: Whether the copy is neither acknowledged nor given up.
    """

    grant_limit: int
    used_total: int
    expires_at: int
    is_pending: bool = True


class CopyTracker:
    """The copies sent of one tenant's counter. Times are clock microseconds."""

    def __init__(self) -> None:
        """Creates a tracker for a successor that has received no copy."""
        self._sent: list[SentCopy] = []
        self._acknowledged: SentCopy | None = None
        self._copied_totals: tuple[int, int] | None = None
        self._copied_at = 0

    def grant_headroom(self, counter: TenantCounter, now: int) -> int | None:
        """Returns how many more permits may be granted now; None for no limit."""
        self._sent = [copy for copy in self._sent if now < copy.expires_at]
        if not self._sent:
            return None
        return max(0, min(copy.grant_limit for copy in self._sent) - counter.granted_total)

    def is_due(self, counter: TenantCounter, now: int) -> bool:
        """Whether a copy should be sent to the successor now."""
        if any(copy.is_pending for copy in self._sent):
            return False
        if now - self._copied_at >= _KEEP_ALIVE_INTERVAL_US:
            return True
        return self._copied_totals != (counter.used_total, counter.granted_total)

    def make_copy(
        self, tenant: str, counter: TenantCounter, mode: CounterMode, mode_left_us: int, now: int
    ) -> tuple[CounterCopy, SentCopy]:
        """Returns the copy to send now, and its entry in this tracker.

        The copy is a full one unless an earlier copy was acknowledged and none was lost since.
        `mode` is the mode of the counter, which lasts for another `mode_left_us`.
        """
        last = self._acknowledged
        reserve = max(_MIN_RESERVED_PERMITS, counter.allowance // _RESERVE_DIVISOR)
        reserve = max(1, min(reserve, counter.allowance // _MAX_RESERVE_DIVISOR))
        uses = (
            counter.uses_by_age(now)
            if last is None
            else [(0, counter.used_total - last.used_total)]
        )
        copy = CounterCopy(
            tenant, uses, counter.outstanding(), reserve, last is None, mode.value, mode_left_us
        )
        sent = SentCopy(
            counter.granted_total + reserve, counter.used_total, now + _EXPIRED_FOR_CERTAIN_US
        )
        self._sent.append(sent)
        self._copied_totals, self._copied_at = (counter.used_total, counter.granted_total), now
        return copy, sent

    def acknowledge(self, sent: SentCopy) -> None:
        """Records that the successor has a copy, and so no longer uses any earlier one."""
        sent.is_pending = False
        if sent in self._sent:
            self._sent = self._sent[self._sent.index(sent) :]
        self._acknowledged = sent

    def record_loss(self, sent: SentCopy) -> None:
        """Records that a copy may not have arrived; the next one will be a full copy."""
        sent.is_pending = False
        self._acknowledged = self._copied_totals = None

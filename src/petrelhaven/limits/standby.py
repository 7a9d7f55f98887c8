"""The replicated state of one tenant's counter at the successor of its counting node."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from petrelhaven.limits.counter import TenantCounter
from petrelhaven.limits.counter_mode import CounterMode
from petrelhaven.limits.usage_window import UsageWindow

__all__ = ["STANDBY_LIFETIME_US", "CounterCopy", "Standby"]

STANDBY_LIFETIME_US = 4_000_000
"""How long after its creation a successor may take over from a copy."""


class CounterCopy(NamedTuple):
    """An update that a counting node sends to the successor for one tenant.

    Attributes:
        tenant: The tenant.
        uses: Pairs of an age in microseconds and a number of uses, the oldest first. A full copy
            contains all uses in the window, any other those since the previous copy.
        outstanding: How many permits may still be used.
        reserve: How many more permits may be granted until the next copy.
        is_full: Whether this copy replaces all earlier ones.
        mode: The value of the counter's `CounterMode`.
        mode_left_us: How much longer that mode lasts, in microseconds; 0 for the regular mode.
    """

    tenant: str
    uses: Sequence[tuple[int, int]]
    outstanding: int
    reserve: int
    is_full: bool
    mode: str = CounterMode.REGULAR.value
    mode_left_us: int = 0


class Standby:
    """Follows one tenant's counter so that this node can take over the count.

    Attributes:
        mode: The mode of the counter.
        mode_left_us: How much longer that mode lasted when the newest copy was made.
    """

    def __init__(self, window_us: int) -> None:
        """Creates a standby that has received no copy."""
        self._window = UsageWindow(window_us)
        self._max_outstanding = 0
        self._expires_at = 0
        self._incarnation = -1
        self._copy_number = 0
        self._former_incarnations: set[int] = set()
        self.mode = CounterMode.REGULAR
        self.mode_left_us = 0

    def apply_copy(
        self, copy: CounterCopy, incarnation: int, copy_number: int, expires_at: int, now: int
    ) -> bool:
        """Applies a copy.

        The ages of its uses are taken relative to `now`, so no use appears older than it is.

        Args:
            copy: The copy.
            incarnation: The number of the process that made it.
            copy_number: Its number among the copies of that process.
            expires_at: Until when this node may take over from it, by the local clock.
            now: The current time.

        Returns:
            False if the copy is outdated or an earlier copy that it builds on is missing.
        """
        if not self._is_next(copy, incarnation, copy_number):
            return False
        if copy.is_full:
            self._window = UsageWindow(self._window.window_us)
        self._window.advance(now)
        for age_us, count in copy.uses:
            self._window.add(count, now - age_us)
        self._max_outstanding = copy.outstanding + copy.reserve
        self._expires_at = expires_at
        self.mode, self.mode_left_us = CounterMode(copy.mode), copy.mode_left_us
        return True

    def _is_next(self, copy: CounterCopy, incarnation: int, copy_number: int) -> bool:
        if incarnation in self._former_incarnations:
            return False
        if incarnation != self._incarnation:
            if not copy.is_full:
                return False
            self._former_incarnations.add(self._incarnation)
            self._incarnation, self._copy_number = incarnation, 0
        if copy_number <= self._copy_number:
            return False
        self._copy_number = copy_number
        return True

    def is_current(self, now: int) -> bool:
        """Whether the stored state still covers everything that the counting node has granted."""
        return now <= self._expires_at

    def make_full_copy(self, tenant: str, now: int) -> CounterCopy:
        """Returns the stored state as a full copy, for a counting node that was restarted."""
        return CounterCopy(
            tenant,
            self._window.uses_by_age(now),
            self._max_outstanding,
            0,
            True,
            self.mode.value,
            self.mode_left_us,
        )

    def make_counter(self, now: int) -> TenantCounter:
        """Returns a counter that continues the count; the caller sets its allowance."""
        self._window.advance(now)
        counter = TenantCounter(0, self._window.window_us)
        counter.inherit(self._window, self._max_outstanding, now)
        return counter

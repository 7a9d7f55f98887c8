"""What the successor of a counting node knows of one tenant."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from petrelhaven.limits.counter import TenantCounter
from petrelhaven.limits.counter_mode import CounterMode
from petrelhaven.limits.usage_window import UsageWindow

__all__ = ["STANDBY_LIFETIME_US", "CounterCopy", "Standby"]

STANDBY_LIFETIME_US = 4_000_000
"""How long a copy may serve a successor after it was made."""


class CounterCopy(NamedTuple):
    """What a counting node sends of a tenant.

    Attributes:
        tenant: The tenant.
        uses: The uses counted since the copy before, or all that count in the first one: how long
            ago, in microseconds, and how many; the oldest first.
        outstanding: How many permits may still be used.
        reserve: How many more may be granted until the next copy.
        first: Whether this is the first copy, which stands for all that came before.
        regime: The value of the counter's `CounterMode`.
        regime_left_us: How much longer that regime lasts, in microseconds; 0 for a regular one.
    """

    tenant: str
    uses: Sequence[tuple[int, int]]
    outstanding: int
    reserve: int
    first: bool
    regime: str = CounterMode.REGULAR.value
    regime_left_us: int = 0


class Standby:
    """Follows one tenant's count, so that the node can go on with it.

    Attributes:
        regime: The regime of the counter.
        regime_left_us: How much longer that lasted when the newest copy was made.
    """

    def __init__(self, window_us: int) -> None:
        """Knows nothing yet."""
        self._window = UsageWindow(window_us)
        self._bound = 0
        self._expires_at = 0
        self._life = -1
        self._number = 0
        self._former_lives: set[int] = set()
        self.regime = CounterMode.REGULAR
        self.regime_left_us = 0

    def take(self, copy: CounterCopy, life: int, number: int, expires_at: int, now: int) -> bool:
        """Takes a copy. The ages of its uses count from now on, so none seems older than it is.

        Args:
            copy: The copy.
            life: Which process made it.
            number: Its number among that process's copies.
            expires_at: Until when it may serve, by the clock here.
            now: The present time.

        Returns:
            False if it is out of date, or one before it is missing.
        """
        if not self._is_next(copy, life, number):
            return False
        if copy.first:
            self._window = UsageWindow(self._window.window_us)
        self._window.advance(now)
        for age_us, count in copy.uses:
            self._window.add(count, now - age_us)
        self._bound = copy.outstanding + copy.reserve
        self._expires_at = expires_at
        self.regime, self.regime_left_us = CounterMode(copy.regime), copy.regime_left_us
        return True

    def _is_next(self, copy: CounterCopy, life: int, number: int) -> bool:
        if life in self._former_lives:
            return False
        if life != self._life:
            if not copy.first:
                return False
            self._former_lives.add(self._life)
            self._life, self._number = life, 0
        if number <= self._number:
            return False
        self._number = number
        return True

    def is_current(self, now: int) -> bool:
        """Whether what is known here bounds what the counting node has granted."""
        return now <= self._expires_at

    def copy(self, tenant: str, now: int) -> CounterCopy:
        """What is known here, as a first copy for a node that has forgotten it."""
        return CounterCopy(
            tenant,
            self._window.by_age(now),
            self._bound,
            0,
            True,
            self.regime.value,
            self.regime_left_us,
        )

    def counter(self, now: int) -> TenantCounter:
        """A counter that goes on from here; its allowance is still to be set."""
        self._window.advance(now)
        counter = TenantCounter(0, self._window.window_us)
        counter.inherit(self._window, self._bound, now)
        return counter

"""What the successor of a counting node knows of one tenant."""

from __future__ import annotations

from typing import NamedTuple

from petrelhaven.limits.counter import TenantCounter
from petrelhaven.limits.usage_window import UsageWindow

__all__ = ["STANDBY_LIFE_US", "CounterCopy", "Standby"]

STANDBY_LIFE_US = 5_000_000
"""How long a copy may serve a successor after it came."""


class CounterCopy(NamedTuple):
    """What a counting node sends of a tenant.

    Attributes:
        tenant: The tenant.
        used: How many uses were counted since the copy before; all that count, in the first one.
        outstanding: How many permits may still be used.
        reserve: How many more may be granted until the next copy.
        first: Whether this is the first copy, which stands for all that came before.
    """

    tenant: str
    used: int
    outstanding: int
    reserve: int
    first: bool


class Standby:
    """Follows one tenant's count, so that the node can go on with it."""

    def __init__(self, window_us: int) -> None:
        """Knows nothing yet."""
        self._window = UsageWindow(window_us)
        self._bound = 0
        self._received_at: int | None = None

    def take(self, copy: CounterCopy, now: int) -> bool:
        """Takes a copy; False if one before it is missing.

        Uses count from now on, which is later than they happened.
        """
        if copy.first:
            self._window = UsageWindow(self._window.window_us)
        elif self._received_at is None:
            return False
        self._window.advance(now)
        self._window.add(copy.used, now)
        self._bound = copy.outstanding + copy.reserve
        self._received_at = now
        return True

    def is_current(self, now: int) -> bool:
        """Whether what is known here bounds what the counting node has granted."""
        return self._received_at is not None and now - self._received_at <= STANDBY_LIFE_US

    def copy(self, tenant: str, now: int) -> CounterCopy:
        """What is known here, as a first copy for a node that has forgotten it."""
        self._window.advance(now)
        return CounterCopy(tenant, self._window.total, self._bound, 0, True)

    def counter(self, allowance: int, now: int) -> TenantCounter:
        """A counter that goes on from here."""
        counter = TenantCounter(allowance, self._window.window_us)
        counter.inherit(self._window, self._bound, now)
        return counter

"""The modes of a tenant counter, which decide how large its allowance is."""

import enum

from petrelhaven.limits.quota import Quota, QuotaPolicy

__all__ = ["CounterMode"]


class CounterMode(enum.Enum):
    """How much a counter has of the state of the counters before it."""

    REGULAR = "regular"
    """It has every use and every permit that can still fall into a window."""
    RESTARTED = "restarted"
    """It has no earlier state, and no other node has recently started without state."""
    QUARANTINE = "quarantine"
    """It has no earlier state, and another node may also have started without state."""

    def allowance(self, policy: QuotaPolicy, quota: Quota) -> int:
        """Returns the maximum of uses in a window plus outstanding permits in this mode."""
        if self is CounterMode.REGULAR:
            return policy.regular_allowance(quota)
        return policy.restart_allowance(quota) if self is CounterMode.RESTARTED else 0

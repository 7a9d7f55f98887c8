"""Which part of a limit a counter may grant."""

import enum

from petrelhaven.limits.quota import Quota, QuotaPolicy

__all__ = ["CounterMode"]


class CounterMode(enum.Enum):
    """What a counter knows of those that counted before it."""

    REGULAR = "regular"
    """Everything that still counts in a window."""
    RESTARTED = "restarted"
    """Nothing; and nobody else has begun so lately."""
    QUARANTINE = "quarantine"
    """Nothing; somebody else may have begun so as well."""

    def allowance(self, terms: QuotaPolicy, quota: Quota) -> int:
        """How many uses and outstanding permits there may be in all."""
        if self is CounterMode.REGULAR:
            return terms.regular(quota)
        return terms.after_restart(quota) if self is CounterMode.RESTARTED else 0

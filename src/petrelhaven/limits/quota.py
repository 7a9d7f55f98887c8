"""The limit of a tenant, and how it is split between normal counting and a restart."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ACCOUNT_LIFETIME_US", "PERMIT_LIFETIME_US", "Quota", "QuotaPolicy"]

PERMIT_LIFETIME_US = 3_000_000
"""How long a permit may be used after the proxy sent the report that obtained or renewed it."""

ACCOUNT_LIFETIME_US = PERMIT_LIFETIME_US * 11 // 10
"""The time without contact after which a proxy's permits have expired, whatever the clock drift."""

_US_PER_S = 1_000_000
_PER_MILLE = 1_000
_RESTART_PER_MILLE = 300
"""The share of the total allowance that is reserved for a node that starts without state."""
_REPEATED_RUN_MARGIN_PER_MILLE = 50
"""The share left unused for operations that run twice at members after one admission."""


@dataclass(frozen=True, slots=True)
class Quota:
    """A tenant's limit: a rate in operations per second, and a burst on top of it."""

    rate_per_s: int
    burst: int


@dataclass(frozen=True, slots=True)
class QuotaPolicy:
    """The sliding window over which limits are enforced, and the accepted excess.

    Attributes:
        window_us: The length of the sliding windows, in microseconds.
        excess_per_mille: The share by which the operations in a window may exceed the limit.
        slack: The number of operations by which they may exceed it in addition.
    """

    window_us: int = 5_000_000
    excess_per_mille: int = 100
    slack: int = 20

    def nominal_limit(self, quota: Quota) -> int:
        """Returns how many operations of a tenant a window should hold at most."""
        return quota.rate_per_s * self.window_us // _US_PER_S + quota.burst

    def total_allowance(self, quota: Quota) -> int:
        """Returns the upper bound for the sum of the allowances of all nodes."""
        nominal = self.nominal_limit(quota)
        margin = nominal * _REPEATED_RUN_MARGIN_PER_MILLE // _PER_MILLE
        return nominal * (_PER_MILLE + self.excess_per_mille) // _PER_MILLE - margin + self.slack

    def regular_allowance(self, quota: Quota) -> int:
        """Returns the allowance of a node that has all uses and outstanding permits."""
        return self.total_allowance(quota) - self.restart_allowance(quota)

    def restart_allowance(self, quota: Quota) -> int:
        """Returns the allowance of a node that has no state of its predecessor.

        Together with `regular_allowance` it stays within what a window may hold.
        """
        return self.total_allowance(quota) * _RESTART_PER_MILLE // _PER_MILLE

    @property
    def quarantine_us(self) -> int:
        """The time after which no permit granted before counts in any window."""
        return ACCOUNT_LIFETIME_US + self.window_us

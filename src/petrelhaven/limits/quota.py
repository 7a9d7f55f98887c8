"""What a tenant's limit means, and how it is divided between ordinary counting and a restart."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ACCOUNT_LIFETIME_US", "PERMIT_LIFETIME_US", "Quota", "QuotaPolicy"]

PERMIT_LIFETIME_US = 3_000_000
"""How long a permit may be used after the proxy asked for it or had it confirmed."""

ACCOUNT_LIFETIME_US = PERMIT_LIFETIME_US * 11 // 10
"""After how long without contact a proxy's permits have expired on any clock."""

_US_PER_S = 1_000_000
_PER_MILLE = 1_000
_RESTART_PER_MILLE = 300
"""The part of what a window may hold that is kept for a node that knows nothing."""
_MARGIN_PER_MILLE = 50
"""The part that is left unused, for what is run twice at members after one admission."""


@dataclass(frozen=True, slots=True)
class Quota:
    """A tenant's limit: operations a second, and how many more may come at once."""

    rate_per_s: int
    burst: int


@dataclass(frozen=True, slots=True)
class QuotaPolicy:
    """How limits are judged.

    Attributes:
        window_us: The length of the sliding windows, in microseconds.
        excess_per_mille: By which part of the allowance a window may exceed it.
        slack: By how many operations it may exceed it beside that.
    """

    window_us: int = 5_000_000
    excess_per_mille: int = 100
    slack: int = 20

    def nominal(self, quota: Quota) -> int:
        """How many operations of a tenant should run at most in any window."""
        return quota.rate_per_s * self.window_us // _US_PER_S + quota.burst

    def most(self, quota: Quota) -> int:
        """How many operations the allowances of all nodes may come to."""
        nominal = self.nominal(quota)
        margin = nominal * _MARGIN_PER_MILLE // _PER_MILLE
        return nominal * (_PER_MILLE + self.excess_per_mille) // _PER_MILLE - margin + self.slack

    def regular(self, quota: Quota) -> int:
        """The allowance of a node that knows what was used and what is outstanding."""
        return self.most(quota) - self.after_restart(quota)

    def after_restart(self, quota: Quota) -> int:
        """The allowance of a node that knows nothing of its predecessor.

        Together with `regular` it stays within what a window may hold.
        """
        return self.most(quota) * _RESTART_PER_MILLE // _PER_MILLE

    @property
    def quarantine_us(self) -> int:
        """After how long nothing that was granted before counts in any window any more."""
        return ACCOUNT_LIFETIME_US + self.window_us

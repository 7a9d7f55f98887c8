"""The permits of one tenant at one proxy, and how many more the proxy requests."""

from __future__ import annotations

from petrelhaven.limits.quota import PERMIT_LIFETIME_US
from petrelhaven.limits.reports import AccountReport, Grant

__all__ = ["PermitPool"]

_PREFETCH_HORIZON_US = 1_500_000
"""A proxy requests permits for the demand expected within this time."""
_DEMAND_SMOOTHING_US = 3_000_000
_IDLE_US = 4_000_000
"""A proxy returns its permits when it has used none for this long."""
_US_PER_S = 1_000_000


class PermitPool:
    """Reserves permits for operations. Times are microseconds of the proxy's clock.

    Attributes:
        tenant: The tenant's name.
        account: The number of the current account.
        valid_until: When the permits expire.
        has_unreported: Whether there are uses or returned permits that were not reported yet.
    """

    __slots__ = (
        "tenant",
        "account",
        "valid_until",
        "has_unreported",
        "_granted",
        "_used",
        "_reserved",
        "_returned",
        "_demand_per_s",
        "_demand_updated_at",
        "_last_reservation",
    )

    def __init__(self, tenant: str, account: int, now: int) -> None:
        """Creates an empty pool."""
        self.tenant, self.account = tenant, account
        self.valid_until = 0
        self.has_unreported = False
        self._granted = self._used = self._reserved = self._returned = 0
        self._demand_per_s, self._demand_updated_at = 0.0, now
        self._last_reservation = now

    @property
    def available(self) -> int:
        """The number of free permits; negative if more operations ran than were permitted."""
        return self._granted - self._used - self._returned - self._reserved

    def reserve(self, now: int) -> int | None:
        """Reserves a permit for one operation.

        Returns:
            The number of the permit's account, or None if there is no permit.
        """
        self._expire(now)
        if self.available <= 0:
            return None
        self._reserved += 1
        self._note_demand(now)
        return self.account

    def use(self, account: int, now: int) -> None:
        """Records that the operation with a permit of `account` is being sent."""
        self._expire(now)
        if account == self.account:
            self._reserved -= 1
        self._used += 1
        self.has_unreported = True

    def use_without_permit(self, now: int) -> None:
        """Records that an operation is being sent again after its permit was used."""
        self._expire(now)
        self._used += 1
        self.has_unreported = True

    def release(self, account: int) -> None:
        """Releases a reserved permit of `account` whose operation was not sent."""
        if account == self.account:
            self._reserved -= 1

    def return_all(self) -> None:
        """Returns every free permit, for example after the tenant's limit was lowered."""
        if self.available > 0:
            self._returned += self.available
            self.has_unreported = True

    def is_idle(self, now: int) -> bool:
        """Whether no permit was reserved within the idle time."""
        return now - self._last_reservation > _IDLE_US

    def needs_renewal(self, now: int) -> bool:
        """Whether a report is due, either for its contents or to keep permits from expiring."""
        if self.available <= 0 and not self._reserved and not self.has_unreported:
            return False
        return self.has_unreported or self.valid_until - now < PERMIT_LIFETIME_US // 2

    def make_report(self, waiting: int, now: int) -> AccountReport:
        """Returns the report to send at `now`, while `waiting` operations wait for a permit."""
        self._expire(now)
        if self.is_idle(now) and not waiting:
            self.return_all()
        self.has_unreported = False
        return AccountReport(
            self.tenant,
            self.account,
            self._granted,
            self._used,
            self._returned,
            waiting,
            0 if self.is_idle(now) else self._wanted(now),
        )

    def apply_grant(self, grant: Grant, requested_at: int) -> None:
        """Applies the answer to a report that was sent at `requested_at`."""
        if grant.account != self.account:
            return
        self._granted = max(self._granted, grant.granted)
        self.valid_until = max(self.valid_until, requested_at + PERMIT_LIFETIME_US)

    def _note_demand(self, now: int) -> None:
        self._decay_demand(now)
        self._demand_per_s += _US_PER_S / _DEMAND_SMOOTHING_US
        self._last_reservation = now

    def _decay_demand(self, now: int) -> None:
        """Reduces the demand estimate by the time since its last update."""
        elapsed_us = now - self._demand_updated_at
        self._demand_per_s *= max(0.0, 1 - elapsed_us / _DEMAND_SMOOTHING_US)
        self._demand_updated_at = now

    def _wanted(self, now: int) -> int:
        self._decay_demand(now)
        return int(self._demand_per_s * _PREFETCH_HORIZON_US / _US_PER_S + 0.5)

    def _expire(self, now: int) -> None:
        """Starts a new account once the permits of the current one have expired.

        Uses beyond the granted permits are carried over to the new account.
        """
        if now < self.valid_until or not self._granted:
            return
        overdrawn = max(0, self._used + self._returned - self._granted)
        self.account += 1
        self._granted = self._reserved = self._returned = 0
        self._used = overdrawn
        self.has_unreported = overdrawn > 0

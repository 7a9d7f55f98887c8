"""The permits that one proxy holds for one tenant, and how many it asks for."""

from __future__ import annotations

from petrelhaven.limits.quota import PERMIT_LIFETIME_US
from petrelhaven.limits.reports import AccountReport, Grant

__all__ = ["PermitPool"]

_HORIZON_US = 1_500_000
"""For how long ahead a proxy would hold permits."""
_SMOOTHING_US = 3_000_000
_IDLE_US = 4_000_000
"""After this long without a use, a proxy gives back what it holds."""
_US_PER_S = 1_000_000


class PermitPool:
    """Takes permits for operations. Times are microseconds of the proxy's clock.

    Attributes:
        tenant: The tenant's name.
        account: The number of the present account.
        valid_until: When the permits expire.
        unreported: Whether uses or returns were not reported yet.
    """

    __slots__ = (
        "tenant",
        "account",
        "valid_until",
        "unreported",
        "_granted",
        "_used",
        "_reserved",
        "_returned",
        "_rate",
        "_rate_at",
        "_last_use",
    )

    def __init__(self, tenant: str, account: int, now: int) -> None:
        """Holds nothing yet."""
        self.tenant, self.account = tenant, account
        self.valid_until = 0
        self.unreported = False
        self._granted = self._used = self._reserved = self._returned = 0
        self._rate, self._rate_at = 0.0, now
        self._last_use = now

    @property
    def balance(self) -> int:
        """How many permits are free; below 0 if more was run than was permitted."""
        return self._granted - self._used - self._returned - self._reserved

    def take(self, now: int) -> int | None:
        """Reserves a permit for one operation; its account, or None if there is no permit."""
        self._expire(now)
        if self.balance <= 0:
            return None
        self._reserved += 1
        self._note_demand(now)
        return self.account

    def use(self, account: int, now: int) -> None:
        """The operation that reserved a permit of `account` is sent now."""
        self._expire(now)
        if account == self.account:
            self._reserved -= 1
        self._used += 1
        self.unreported = True

    def charge(self, now: int) -> None:
        """Counts an operation that is sent once more after its permit was used."""
        self._expire(now)
        self._used += 1
        self.unreported = True

    def put_back(self, account: int) -> None:
        """The operation that reserved a permit of `account` was not sent."""
        if account == self.account:
            self._reserved -= 1

    def give_back(self) -> None:
        """Returns every permit: the tenant's limit was lowered."""
        if self.balance > 0:
            self._returned += self.balance
            self.unreported = True

    def is_idle(self, now: int) -> bool:
        """Whether nothing was used for a while."""
        return now - self._last_use > _IDLE_US

    def needs_renewal(self, now: int) -> bool:
        """Whether there is anything to report, or permits would expire."""
        if self.balance <= 0 and not self._reserved and not self.unreported:
            return False
        return self.unreported or self.valid_until - now < PERMIT_LIFETIME_US // 2

    def report(self, waiting: int, now: int) -> AccountReport:
        """What to report now, while `waiting` operations wait for a permit."""
        self._expire(now)
        if self.is_idle(now) and not waiting:
            self.give_back()
        self.unreported = False
        return AccountReport(
            self.tenant,
            self.account,
            self._granted,
            self._used,
            self._returned,
            waiting,
            0 if self.is_idle(now) else self._wanted(now),
        )

    def take_grant(self, grant: Grant, asked_at: int) -> None:
        """Takes the answer to a report that was sent at `asked_at`."""
        if grant.account != self.account:
            return
        self._granted = max(self._granted, grant.granted)
        self.valid_until = max(self.valid_until, asked_at + PERMIT_LIFETIME_US)

    def _note_demand(self, now: int) -> None:
        self._decay(now)
        self._rate += _US_PER_S / _SMOOTHING_US
        self._last_use = now

    def _decay(self, now: int) -> None:
        """Lets the rate, in operations a second, fade as time passes."""
        passed_us = now - self._rate_at
        self._rate *= max(0.0, 1 - passed_us / _SMOOTHING_US)
        self._rate_at = now

    def _wanted(self, now: int) -> int:
        self._decay(now)
        return int(self._rate * _HORIZON_US / _US_PER_S + 0.5)

    def _expire(self, now: int) -> None:
        """Begins a new account once the permits of the present one have expired.

        What was run beyond what was permitted is taken along.
        """
        if now < self.valid_until or not self._granted:
            return
        overdrawn = max(0, self._used + self._returned - self._granted)
        self.account += 1
        self._granted = self._reserved = self._returned = 0
        self._used = overdrawn
        self.unreported = overdrawn > 0

"""The count of one tenant at the node that counts it.

Invariant: what was used in the last window and what is outstanding together stay within the
allowance whenever a permit is granted. Uses are counted when they are reported or when their
permits have certainly expired, never earlier than they happened, so no window holds more uses than
the allowance.
"""

from __future__ import annotations

from dataclasses import dataclass

from petrelhaven.limits.quota import ACCOUNT_LIFETIME_US
from petrelhaven.limits.reports import AccountReport, Grant
from petrelhaven.limits.usage_window import UsageWindow

__all__ = ["TenantCounter"]

_STANDING_PER_MILLE = 700
"""The part of the allowance up to which permits are granted ahead of need."""
_SHORTEST_RETRY_US = 50_000
_EXPIRY_CHECK_US = 50_000


@dataclass(slots=True)
class _Account:
    """What one proxy has for the tenant; `expires_at` is when its permits have certainly ended."""

    granted: int
    used: int
    returned: int
    expires_at: int

    @property
    def outstanding(self) -> int:
        return max(0, self.granted - self.used - self.returned)


class TenantCounter:
    """Grants permits of one tenant and counts their use. Times are clock microseconds.

    Attributes:
        allowance: How many uses and outstanding permits there may be in all.
        grants: How many permits were ever granted here.
        uses: How many uses were ever counted here.
        refused: How many operations went without a permit.
    """

    def __init__(self, allowance: int, window_us: int) -> None:
        """A tenant of which nothing was used and nothing is outstanding."""
        self.allowance = allowance
        self.grants = self.uses = self.refused = 0
        self._window = UsageWindow(window_us)
        self._accounts: dict[tuple[str, int], _Account] = {}
        self._out = 0
        self._inherited = 0
        self._inherited_until = 0
        self._next_expiry_check = 0

    def inherit(self, window: UsageWindow, outstanding: int, now: int) -> None:
        """Goes on from what a predecessor had counted; its permits are outstanding still."""
        self._window = window
        self._inherited = outstanding
        self._inherited_until = now + ACCOUNT_LIFETIME_US

    def outstanding(self) -> int:
        """How many permits may still be used."""
        return self._inherited + self._out

    def used(self, now: int) -> int:
        """How many uses count in the present window."""
        self._window.advance(now)
        return self._window.total

    def uses_by_age(self, now: int) -> list[tuple[int, int]]:
        """The uses that count in the present window, as `UsageWindow.by_age` has them."""
        return self._window.by_age(now)

    def report(self, proxy: str, report: AccountReport, now: int, most: int | None = None) -> Grant:
        """Takes a proxy's report, and grants what it needs and, where there is enough, wants.

        Args:
            proxy: The proxy's name.
            report: What it reports.
            now: The present time.
            most: How many permits may be granted at most; None for no such bound.
        """
        self._expire(now)
        account = self._settle(proxy, report, now)
        account.expires_at = now + ACCOUNT_LIFETIME_US
        allowed = max(0, self.allowance - self.used(now) - self.outstanding())
        free = allowed if most is None else min(allowed, most)
        needed = min(report.needed, free)
        standing = min(report.wanted - account.outstanding, self._standing(now) - needed)
        granted = needed + max(0, min(standing, free - needed))
        account.granted += granted
        self._out += granted
        self.grants += granted
        missing = max(0, report.needed - allowed)
        self.refused += missing
        return Grant(
            report.tenant,
            report.account,
            account.granted,
            self._retry_us(missing, now) if missing else 0,
        )

    def _standing(self, now: int) -> int:
        """How many permits may be granted ahead of need."""
        most = self.allowance * _STANDING_PER_MILLE // 1_000
        return max(0, most - self.used(now) - self.outstanding())

    def _settle(self, proxy: str, report: AccountReport, now: int) -> _Account:
        """The account of a report, brought up to what the report tells."""
        key = proxy, report.account
        account = self._accounts.get(key)
        if account is None:
            account = _Account(report.granted, report.used, report.returned, now)
            self._inherited -= min(self._inherited, account.outstanding)
            self._count(report.used - report.granted, now)  # run without a permit
            self._accounts[key] = account
            self._out += account.outstanding
            return account
        before = account.outstanding
        self._count(report.used - account.used, now)
        if report.granted > account.granted:  # by the node that counted before
            self._inherited -= min(self._inherited, report.granted - account.granted)
            account.granted = report.granted
        account.used = max(account.used, report.used)
        account.returned = max(account.returned, report.returned)
        account.granted = max(account.granted, account.used + account.returned)
        self._out += account.outstanding - before
        return account

    def _count(self, uses: int, now: int) -> None:
        if uses > 0:
            self._window.add(uses, now)
            self.uses += uses

    def _expire(self, now: int) -> None:
        """Counts permits that have expired unreported as if they had been used just now."""
        if now < self._next_expiry_check:
            return
        self._next_expiry_check = now + _EXPIRY_CHECK_US
        expired = [key for key, account in self._accounts.items() if account.expires_at <= now]
        for key in expired:
            outstanding = self._accounts.pop(key).outstanding
            self._out -= outstanding
            self._count(outstanding, now)
        if self._inherited and self._inherited_until <= now:
            self._count(self._inherited, now)
            self._inherited = 0

    def _retry_us(self, missing: int, now: int) -> int:
        return max(_SHORTEST_RETRY_US, self._window.until_freed(missing, now))

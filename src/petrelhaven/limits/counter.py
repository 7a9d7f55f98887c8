"""Counts the operations of one tenant at its counting node.

Invariant: whenever a permit is granted, the uses in the last window and the outstanding permits
together stay within the allowance. A use is counted when it is reported or when its permit has
certainly expired, never before it happened, so no window holds more uses than the allowance.
"""

from __future__ import annotations

from dataclasses import dataclass

from petrelhaven.limits.quota import ACCOUNT_LIFETIME_US
from petrelhaven.limits.reports import AccountReport, Grant
from petrelhaven.limits.usage_window import UsageWindow

__all__ = ["TenantCounter"]

_PREFETCH_PER_MILLE = 700
"""The share of the allowance up to which permits are granted before they are needed."""
_MIN_RETRY_US = 50_000
_EXPIRY_CHECK_INTERVAL_US = 50_000


@dataclass(slots=True)
class _Account:
    """The totals of one account of a proxy; at `expires_at` its permits have certainly expired."""

    granted: int
    used: int
    returned: int
    expires_at: int

    @property
    def outstanding(self) -> int:
        return max(0, self.granted - self.used - self.returned)


class TenantCounter:
    """Grants the permits of one tenant and counts their uses. Times are clock microseconds.

    Attributes:
        allowance: The maximum of uses in the window plus outstanding permits.
        granted_total: How many permits this counter has granted since it was created.
        used_total: How many uses this counter has counted since it was created.
        refused: How many operations got no permit.
    """

    def __init__(self, allowance: int, window_us: int) -> None:
        """Creates a counter without uses and without outstanding permits."""
        self.allowance = allowance
        self.granted_total = self.used_total = self.refused = 0
        self._window = UsageWindow(window_us)
        self._accounts: dict[tuple[str, int], _Account] = {}
        self._outstanding = 0
        self._inherited = 0
        self._inherited_until = 0
        self._next_expiry_check = 0

    def inherit(self, window: UsageWindow, outstanding: int, now: int) -> None:
        """Continues a predecessor's count, whose permits remain outstanding."""
        self._window = window
        self._inherited = outstanding
        self._inherited_until = now + ACCOUNT_LIFETIME_US

    def outstanding(self) -> int:
        """Returns how many granted permits may still be used."""
        return self._inherited + self._outstanding

    def used(self, now: int) -> int:
        """Returns the number of uses in the window that ends at `now`."""
        self._window.advance(now)
        return self._window.total

    def uses_by_age(self, now: int) -> list[tuple[int, int]]:
        """Returns the uses in the current window in the format of `UsageWindow.uses_by_age`."""
        return self._window.uses_by_age(now)

    def process_report(
        self, proxy: str, report: AccountReport, now: int, max_grant: int | None = None
    ) -> Grant:
        """Counts the uses in a report and grants permits.

        Permits that waiting operations need are granted first. Permits that the proxy wants in
        advance are granted only up to a share of the allowance.

        Args:
            proxy: The proxy's name.
            report: The proxy's report.
            now: The current time.
            max_grant: The maximum number of permits to grant; None for no maximum.
        """
        self._expire_accounts(now)
        account = self._update_account(proxy, report, now)
        account.expires_at = now + ACCOUNT_LIFETIME_US
        allowed = max(0, self.allowance - self.used(now) - self.outstanding())
        free = allowed if max_grant is None else min(allowed, max_grant)
        needed = min(report.needed, free)
        prefetched = min(report.wanted - account.outstanding, self._prefetch_headroom(now) - needed)
        granted = needed + max(0, min(prefetched, free - needed))
        account.granted += granted
        self._outstanding += granted
        self.granted_total += granted
        missing = max(0, report.needed - allowed)
        self.refused += missing
        return Grant(
            report.tenant,
            report.account,
            account.granted,
            self._retry_us(missing, now) if missing else 0,
        )

    def _prefetch_headroom(self, now: int) -> int:
        """Returns how many permits may be granted before they are needed."""
        limit = self.allowance * _PREFETCH_PER_MILLE // 1_000
        return max(0, limit - self.used(now) - self.outstanding())

    def _update_account(self, proxy: str, report: AccountReport, now: int) -> _Account:
        """Applies a report to its account, which is created if it is unknown."""
        key = proxy, report.account
        account = self._accounts.get(key)
        if account is None:
            account = _Account(report.granted, report.used, report.returned, now)
            self._inherited -= min(self._inherited, account.outstanding)
            self._count_uses(report.used - report.granted, now)  # uses without a permit
            self._accounts[key] = account
            self._outstanding += account.outstanding
            return account
        previously_outstanding = account.outstanding
        self._count_uses(report.used - account.used, now)
        if report.granted > account.granted:  # granted by the previous counting node
            self._inherited -= min(self._inherited, report.granted - account.granted)
            account.granted = report.granted
        account.used = max(account.used, report.used)
        account.returned = max(account.returned, report.returned)
        account.granted = max(account.granted, account.used + account.returned)
        self._outstanding += account.outstanding - previously_outstanding
        return account

    def _count_uses(self, uses: int, now: int) -> None:
        if uses > 0:
            self._window.add(uses, now)
            self.used_total += uses

    def _expire_accounts(self, now: int) -> None:
        """Counts permits that expired without a report as if they had been used at `now`."""
        if now < self._next_expiry_check:
            return
        self._next_expiry_check = now + _EXPIRY_CHECK_INTERVAL_US
        expired = [key for key, account in self._accounts.items() if account.expires_at <= now]
        for key in expired:
            outstanding = self._accounts.pop(key).outstanding
            self._outstanding -= outstanding
            self._count_uses(outstanding, now)
        if self._inherited and self._inherited_until <= now:
            self._count_uses(self._inherited, now)
            self._inherited = 0

    def _retry_us(self, missing: int, now: int) -> int:
        return max(_MIN_RETRY_US, self._window.us_until_freed(missing, now))

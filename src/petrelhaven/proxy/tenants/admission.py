"""Admits tenants' operations: each takes a permit that the tenant's counting node has granted."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Any

from petrelhaven.limits.holding import Holding
from petrelhaven.limits.reports import AccountReport, Grant
from petrelhaven.proxy.routing.waiting import first_done
from petrelhaven.runtime.errors import Fault
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.quota_messages import GrantList, ReportList

if TYPE_CHECKING:
    from collections.abc import Iterable

    from petrelhaven.proxy.routing.base import Continuation, ProxyServices
    from petrelhaven.proxy.tenants.directory import Tenant, TenantDirectory

__all__ = ["QuotaAdmission"]

_COALESCE_US = 3_000
_RENEWAL_US = 400_000
_ASK_LIMIT_US = 700_000
_RETRY_US = 100_000
_LONGEST_WAIT_US = 900_000
_OUT_OF_TOUCH_US = 1_200_000
_OUT_OF_TOUCH_WAIT_SHARE = 5
"""Part of the latency target for which an operation waits while no counting node answers."""
_COME_BACK_US = 400_000
_LONGEST_COME_BACK_US = 2_000_000
_REFUSAL_STANDS_US = 100_000
"""For how long a counting node is not asked again after it had no permits."""
_ACCOUNT_BITS = 40

_ADMITTED = 0


class _Line:
    """The operations of one tenant that wait for permits, first come first served.

    Each future brings `_ADMITTED`, or when the operation should come back, in microseconds.
    """

    __slots__ = ("holding", "waiting", "is_asking", "refuses_until", "retry_us")

    def __init__(self, holding: Holding) -> None:
        self.holding = holding
        self.waiting: collections.deque[asyncio.Future[int]] = collections.deque()
        self.is_asking = False
        self.refuses_until = self.retry_us = 0

    def waiting_count(self) -> int:
        while self.waiting and self.waiting[0].done():
            self.waiting.popleft()
        return sum(not waiter.done() for waiter in self.waiting)

    def admit_waiting(self, now: int) -> None:
        """Admits who waits, as far as there are permits."""
        while self.waiting_count() and self.holding.take(now):
            self.waiting.popleft().set_result(_ADMITTED)

    def refuse(self, count: int, retry_us: int) -> None:
        """Sends the first `count` that wait away."""
        while count > 0 and self.waiting_count():
            self.waiting.popleft().set_result(retry_us)
            count -= 1


class QuotaAdmission:
    """Holds this proxy's permits and asks the counting nodes for more."""

    def __init__(self, proxy: ProxyServices) -> None:
        """Uses the clock, the tasks and the core connection of `proxy`."""
        self._proxy, self._clock = proxy, proxy.clock
        self._lines: dict[str, _Line] = {}
        self._flush: asyncio.TimerHandle | None = None
        self._answered_at = 0
        self._renews = False

    def admit(self, tenant: Tenant, aim_us: int, end: int) -> Continuation[str | None]:
        """Takes a permit for one operation.

        Args:
            tenant: Whose operation it is.
            aim_us: When its answer is wanted, in microseconds.
            end: When its time is over.

        Returns:
            None once it may run; else why it may not, with the time to come back.
        """
        if tenant.quota is None:
            return None
        line = self._line(tenant.name)
        now = self._clock.now()
        if not line.waiting_count() and line.holding.take(now):
            return None
        if now < line.refuses_until:
            return self._refusal(line.retry_us)
        waiter: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        line.waiting.append(waiter)
        self._ask_soon()
        try:
            yield first_done(self._clock, [waiter], self._wait_us(now, aim_us, end))
            outcome = waiter.result() if waiter.done() else _COME_BACK_US
        finally:
            if not waiter.done():
                waiter.cancel()
        return None if outcome == _ADMITTED else self._refusal(outcome)

    def _refusal(self, retry_us: int) -> str:
        self._proxy.count["over_quota"] += 1
        return self._proxy.retry_after(min(retry_us, _LONGEST_COME_BACK_US))

    def charge(self, tenant: Tenant) -> None:
        """Counts an operation of `tenant` that is sent once more after its admission."""
        if tenant.quota is not None:
            self._line(tenant.name).holding.charge(self._clock.now())

    def put_back(self, tenant: Tenant) -> None:
        """An admitted operation of `tenant` ended without having been sent anywhere."""
        if tenant.quota is not None:
            self._line(tenant.name).holding.put_back()

    def apply(self, before: TenantDirectory, after: TenantDirectory) -> None:
        """Another configuration is in force: permits under a higher limit go back."""
        for name, line in list(self._lines.items()):
            old, new = before.tenants.get(name), after.tenants.get(name)
            if new is None or new.quota is None:
                line.refuse(len(line.waiting), _COME_BACK_US)
                del self._lines[name]
            elif old is not None and old.quota is not None and _is_lower(new, old):
                line.holding.give_back()

    def status(self) -> dict[str, Any]:
        """Permits by tenant, and how many operations wait."""
        return {
            name: {"permits": line.holding.balance, "waiting": line.waiting_count()}
            for name, line in sorted(self._lines.items())
        }

    def _line(self, tenant: str) -> _Line:
        line = self._lines.get(tenant)
        if line is None:
            account = self._proxy.rng.getrandbits(_ACCOUNT_BITS)
            line = self._lines[tenant] = _Line(Holding(tenant, account, self._clock.now()))
            if not self._renews:
                self._renews = True
                self._proxy.tasks.spawn(self._renew())
        return line

    def _wait_us(self, now: int, aim_us: int, end: int) -> int:
        if now - self._answered_at > _OUT_OF_TOUCH_US and self._answered_at:
            return min(end - now, aim_us // _OUT_OF_TOUCH_WAIT_SHARE)
        return min(end - now, _LONGEST_WAIT_US)

    def _ask_soon(self, delay_us: int = _COALESCE_US) -> None:
        if self._flush is None:
            self._flush = self._clock.later(delay_us, self._ask_now)

    def _ask_now(self) -> None:
        self._flush = None
        lines = [line for line in self._lines.values() if line.waiting_count()]
        self._ask_for(line for line in lines if not line.is_asking)

    async def _renew(self) -> None:
        """Reports uses and keeps permits from expiring, for as long as the proxy runs."""
        while True:
            await self._clock.sleep(_RENEWAL_US)
            now = self._clock.now()
            lines = [line for line in self._lines.values() if line.holding.needs_renewal(now)]
            self._ask_for(line for line in lines if not line.is_asking)

    def _ask_for(self, lines: Iterable[_Line]) -> None:
        chosen = list(lines)
        if not chosen:
            return
        for line in chosen:
            line.is_asking = True
        self._proxy.tasks.spawn(self._ask(chosen))

    async def _ask(self, lines: list[_Line]) -> None:
        now = self._clock.now()
        reports = [line.holding.report(line.waiting_count(), now) for line in lines]
        request = ReportList(self._proxy.name, reports)
        try:
            body = await self._proxy.core_connection.call(
                MessageKind.QUOTA_REPORT, request.to_body(), _ASK_LIMIT_US
            )
            grants = {grant.tenant: grant for grant in GrantList.from_body(body).grants}
        except Fault:
            grants = {}
        finally:
            for line in lines:
                line.is_asking = False
        for line, report in zip(lines, reports, strict=True):
            self._take(line, report, grants.get(report.tenant), now)

    def _take(self, line: _Line, report: AccountReport, grant: Grant | None, asked_at: int) -> None:
        now = self._clock.now()
        if grant is None:
            line.holding.unreported = True
        else:
            self._answered_at = now
            line.holding.take_grant(grant, asked_at)
        line.admit_waiting(now)
        if grant is not None and grant.retry_us:
            line.refuse(line.waiting_count(), grant.retry_us)
            line.refuses_until = now + min(grant.retry_us, _REFUSAL_STANDS_US)
            line.retry_us = grant.retry_us
        if line.waiting_count():
            self._ask_soon(_COALESCE_US if grant is not None else _RETRY_US)


def _is_lower(new: Tenant, old: Tenant) -> bool:
    assert new.quota is not None and old.quota is not None
    return new.quota.rate_per_s < old.quota.rate_per_s or new.quota.burst < old.quota.burst

"""Admits tenants' operations: each takes a permit that the tenant's counting node has granted."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Any, NamedTuple

from petrelhaven.limits.permit_pool import PermitPool
from petrelhaven.limits.reports import AccountReport, Grant
from petrelhaven.proxy.routing.waiting import first_done
from petrelhaven.runtime.errors import Fault
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.quota_messages import GrantList, ReportList

if TYPE_CHECKING:
    from collections.abc import Iterable

    from petrelhaven.proxy.routing.base import AdmittedRequest, Continuation, ProxyServices
    from petrelhaven.proxy.tenants.directory import Tenant, TenantDirectory

__all__ = ["QuotaAdmission"]

_COALESCE_US = 3_000
_RENEWAL_US = 400_000
_ASK_LIMIT_US = 700_000
_RETRY_US = 100_000
_LEAST_WAIT_US = 300_000
_PATIENCE_SHARE = 4
"""The part of its latency target for which an operation waits while no counting node answers."""
_COME_BACK_US = 400_000
_LONGEST_COME_BACK_US = 2_000_000
_REFUSAL_STANDS_US = 100_000
"""For how long a counting node is not asked again after it had no permits."""
_ACCOUNT_BITS = 40


class _Outcome(NamedTuple):
    """What a waiting operation gets: the account of its permit, or when to come back."""

    permit: int | None
    retry_us: int | None = None


class _Line:
    """The operations of one tenant that wait for permits, first come first served."""

    __slots__ = ("holding", "waiting", "is_asking", "is_unanswered", "refuses_until", "retry_us")

    def __init__(self, holding: PermitPool) -> None:
        self.holding = holding
        self.waiting: collections.deque[asyncio.Future[_Outcome]] = collections.deque()
        self.is_asking = self.is_unanswered = False
        self.refuses_until = self.retry_us = 0

    def waiting_count(self) -> int:
        """How many operations wait."""
        if self.waiting and any(waiter.done() for waiter in self.waiting):
            waiting = [waiter for waiter in self.waiting if not waiter.done()]
            self.waiting = collections.deque(waiting)
        return len(self.waiting)

    def admit_waiting(self, now: int) -> None:
        """Admits who waits, as far as there are permits."""
        count = self.waiting_count()
        while count:
            permit = self.holding.take(now)
            if permit is None:
                return
            self.waiting.popleft().set_result(_Outcome(permit))
            count -= 1

    def end(self, retry_us: int | None) -> None:
        """Sends all that wait away, or lets them run if there is no limit any more (None)."""
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(_Outcome(None, retry_us))
        self.waiting.clear()


class QuotaAdmission:
    """Holds this proxy's permits and asks the counting nodes for more."""

    def __init__(self, proxy: ProxyServices) -> None:
        """Uses the clock, the tasks and the core connection of `proxy`."""
        self._proxy, self._clock = proxy, proxy.clock
        self._lines: dict[str, _Line] = {}
        self._flush: asyncio.TimerHandle | None = None
        self._renews = False

    def admit(self, request: AdmittedRequest) -> Continuation[str | None]:
        """Reserves a permit for an operation; `request` then knows its account.

        Returns:
            None once it may run; else why it may not, with the time to come back.
        """
        if request.tenant.quota is None:
            return None
        line = self._line(request.tenant.name)
        now = self._clock.now()
        if not line.waiting_count():
            request.permit = line.holding.take(now)
        if request.permit is not None:
            return None
        if now < line.refuses_until:
            return self._refusal(line.retry_us)
        waiter: asyncio.Future[_Outcome] = asyncio.get_running_loop().create_future()
        line.waiting.append(waiter)
        self._ask_soon()
        try:
            patience_us = request.route.aim_us // _PATIENCE_SHARE
            yield first_done(self._clock, [waiter], min(patience_us, request.end - now))
            if not waiter.done() and not line.is_unanswered:
                end = min(request.end, now + max(request.route.aim_us, _LEAST_WAIT_US))
                yield first_done(self._clock, [waiter], end - self._clock.now())
        finally:
            if not waiter.done():
                waiter.cancel()
        if waiter.cancelled():
            return self._refusal(_COME_BACK_US)
        outcome = waiter.result()
        request.permit = outcome.permit
        return None if outcome.retry_us is None else self._refusal(outcome.retry_us)

    def _refusal(self, retry_us: int) -> str:
        self._proxy.count["over_quota"] += 1
        return self._proxy.retry_after(min(retry_us, _LONGEST_COME_BACK_US))

    def note_sent(self, request: AdmittedRequest) -> None:
        """A member gets an operation now: its permit is used, or counted once more."""
        line = self._lines.get(request.tenant.name)
        if line is None or request.tenant.quota is None:
            return
        permit, request.permit = request.permit, None
        if permit is not None:
            line.holding.use(permit, self._clock.now())
        elif request.runs:
            line.holding.charge(self._clock.now())

    def put_back(self, request: AdmittedRequest) -> None:
        """An admitted operation has ended; a permit that it did not use is free again."""
        line = self._lines.get(request.tenant.name)
        permit, request.permit = request.permit, None
        if line is not None and permit is not None:
            line.holding.put_back(permit)
            line.admit_waiting(self._clock.now())

    def apply_directory(self, before: TenantDirectory, after: TenantDirectory) -> None:
        """Another configuration is in force: permits under a higher limit go back."""
        for name, line in list(self._lines.items()):
            old, new = before.tenants.get(name), after.tenants.get(name)
            if new is None or new.quota is None:
                line.end(None if new is not None else _COME_BACK_US)
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
            line = self._lines[tenant] = _Line(PermitPool(tenant, account, self._clock.now()))
            if not self._renews:
                self._renews = True
                self._proxy.tasks.spawn(self._renew())
        return line

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
            line.is_unanswered = True
        else:
            line.is_unanswered = False
            line.holding.take_grant(grant, asked_at)
        line.admit_waiting(now)
        if grant is not None and grant.retry_us:
            line.end(grant.retry_us)
            line.refuses_until = now + min(grant.retry_us, _REFUSAL_STANDS_US)
            line.retry_us = grant.retry_us
        if line.waiting_count():
            is_served = grant is not None and grant.granted - report.granted >= report.needed
            self._ask_soon(_COALESCE_US if is_served else _RETRY_US)


def _is_lower(new: Tenant, old: Tenant) -> bool:
    assert new.quota is not None and old.quota is not None
    return new.quota.rate_per_s < old.quota.rate_per_s or new.quota.burst < old.quota.burst

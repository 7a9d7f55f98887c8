"""Admits the operations of tenants; each needs a permit from the tenant's counting node."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Any, NamedTuple

from petrelhaven.limits.permit_pool import PermitPool
from petrelhaven.limits.reports import AccountReport, Grant
from petrelhaven.proxy.routing.waiting import wait_for_first
from petrelhaven.runtime.errors import Fault
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.quota_messages import GrantList, ReportList

if TYPE_CHECKING:
    from collections.abc import Iterable

    from petrelhaven.proxy.routing.interfaces import AdmittedRequest, Continuation, ProxyServices
    from petrelhaven.proxy.tenants.directory import Tenant, TenantDirectory

__all__ = ["QuotaAdmission"]

_REQUEST_DELAY_US = 3_000
_RENEWAL_INTERVAL_US = 400_000
_REPORT_TIMEOUT_US = 700_000
_REPORT_RETRY_US = 100_000
_MIN_PERMIT_WAIT_US = 300_000
_UNANSWERED_WAIT_DIVISOR = 4
"""While no counting node answers, an operation waits for one fourth of its latency target."""
_DEFAULT_RETRY_AFTER_US = 400_000
_MAX_RETRY_AFTER_US = 2_000_000
_MAX_REFUSAL_CACHE_US = 100_000
"""How long operations are refused without a request after the counting node had no permits."""
_ACCOUNT_NUMBER_BITS = 40


class _WaitResult(NamedTuple):
    """The result of a wait: the account of the permit, or the delay before a retry.

    Both are None for an operation that may run because its tenant no longer has a limit.
    """

    permit: int | None
    retry_us: int | None = None


class _PermitQueue:
    """The operations of one tenant that wait for permits, in order of arrival."""

    __slots__ = (
        "pool",
        "waiting",
        "is_requesting",
        "is_unanswered",
        "refused_until",
        "retry_us",
    )

    def __init__(self, pool: PermitPool) -> None:
        self.pool = pool
        self.waiting: collections.deque[asyncio.Future[_WaitResult]] = collections.deque()
        self.is_requesting = self.is_unanswered = False
        self.refused_until = self.retry_us = 0

    def waiting_count(self) -> int:
        """Removes operations that gave up, and returns how many still wait."""
        if self.waiting and any(waiter.done() for waiter in self.waiting):
            remaining = [waiter for waiter in self.waiting if not waiter.done()]
            self.waiting = collections.deque(remaining)
        return len(self.waiting)

    def admit_waiting(self, now: int) -> None:
        """Admits waiting operations in order, as long as there are permits."""
        count = self.waiting_count()
        while count:
            permit = self.pool.reserve(now)
            if permit is None:
                return
            self.waiting.popleft().set_result(_WaitResult(permit))
            count -= 1

    def resolve_all(self, retry_us: int | None) -> None:
        """Refuses all waiting operations, or lets them run if `retry_us` is None."""
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(_WaitResult(None, retry_us))
        self.waiting.clear()


class QuotaAdmission:
    """Manages this proxy's permits, and requests more from the counting nodes."""

    def __init__(self, proxy: ProxyServices) -> None:
        """Creates an admission that uses the clock, tasks and core connection of `proxy`."""
        self._proxy, self._clock = proxy, proxy.clock
        self._queues: dict[str, _PermitQueue] = {}
        self._request_timer: asyncio.TimerHandle | None = None
        self._is_renewing = False

    def admit(self, request: AdmittedRequest) -> Continuation[str | None]:
        """Reserves a permit for an operation, and stores its account in `request.permit`.

        Returns:
            None once the operation may run; otherwise a refusal that says when to retry.
        """
        if request.tenant.quota is None:
            return None
        queue = self._get_or_create_queue(request.tenant.name)
        now = self._clock.now()
        if not queue.waiting_count():
            request.permit = queue.pool.reserve(now)
        if request.permit is not None:
            return None
        if now < queue.refused_until:
            return self._refuse(queue.retry_us)
        waiter: asyncio.Future[_WaitResult] = asyncio.get_running_loop().create_future()
        queue.waiting.append(waiter)
        self._request_permits_soon()
        try:
            unanswered_wait_us = request.route.aim_us // _UNANSWERED_WAIT_DIVISOR
            yield wait_for_first(
                self._clock, [waiter], min(unanswered_wait_us, request.deadline - now)
            )
            if not waiter.done() and not queue.is_unanswered:
                wait_end = min(
                    request.deadline, now + max(request.route.aim_us, _MIN_PERMIT_WAIT_US)
                )
                yield wait_for_first(self._clock, [waiter], wait_end - self._clock.now())
        finally:
            if not waiter.done():
                waiter.cancel()
        if waiter.cancelled():
            return self._refuse(_DEFAULT_RETRY_AFTER_US)
        result = waiter.result()
        request.permit = result.permit
        return None if result.retry_us is None else self._refuse(result.retry_us)

    def _refuse(self, retry_us: int) -> str:
        self._proxy.count["over_quota"] += 1
        return self._proxy.retry_after(min(retry_us, _MAX_RETRY_AFTER_US))

    def note_sent(self, request: AdmittedRequest) -> None:
        """Counts an operation that is being sent to a member, for the first time or again."""
        queue = self._queues.get(request.tenant.name)
        if queue is None or request.tenant.quota is None:
            return
        permit, request.permit = request.permit, None
        if permit is not None:
            queue.pool.use(permit, self._clock.now())
        elif request.possible_runs:
            queue.pool.use_without_permit(self._clock.now())

    def put_back(self, request: AdmittedRequest) -> None:
        """Releases the permit of an admitted operation that ended without using it."""
        queue = self._queues.get(request.tenant.name)
        permit, request.permit = request.permit, None
        if queue is not None and permit is not None:
            queue.pool.release(permit)
            queue.admit_waiting(self._clock.now())

    def apply_directory(self, before: TenantDirectory, after: TenantDirectory) -> None:
        """Applies a new configuration; returns the permits of tenants whose limit was lowered."""
        for name, queue in list(self._queues.items()):
            old, new = before.tenants.get(name), after.tenants.get(name)
            if new is None or new.quota is None:
                queue.resolve_all(None if new is not None else _DEFAULT_RETRY_AFTER_US)
                del self._queues[name]
            elif old is not None and old.quota is not None and _is_lower(new, old):
                queue.pool.return_all()

    def status(self) -> dict[str, Any]:
        """Returns the free permits and the number of waiting operations per tenant."""
        return {
            name: {"permits": queue.pool.available, "waiting": queue.waiting_count()}
            for name, queue in sorted(self._queues.items())
        }

    def _get_or_create_queue(self, tenant: str) -> _PermitQueue:
        queue = self._queues.get(tenant)
        if queue is None:
            account = self._proxy.rng.getrandbits(_ACCOUNT_NUMBER_BITS)
            queue = self._queues[tenant] = _PermitQueue(
                PermitPool(tenant, account, self._clock.now())
            )
            if not self._is_renewing:
                self._is_renewing = True
                self._proxy.tasks.spawn(self._renew())
        return queue

    def _request_permits_soon(self, delay_us: int = _REQUEST_DELAY_US) -> None:
        if self._request_timer is None:
            self._request_timer = self._clock.later(delay_us, self._request_permits_now)

    def _request_permits_now(self) -> None:
        self._request_timer = None
        queues = [queue for queue in self._queues.values() if queue.waiting_count()]
        self._request_permits_for(queue for queue in queues if not queue.is_requesting)

    async def _renew(self) -> None:
        """Reports uses and renews permits periodically until the proxy stops."""
        while True:
            await self._clock.sleep(_RENEWAL_INTERVAL_US)
            now = self._clock.now()
            queues = [queue for queue in self._queues.values() if queue.pool.needs_renewal(now)]
            self._request_permits_for(queue for queue in queues if not queue.is_requesting)

    def _request_permits_for(self, queues: Iterable[_PermitQueue]) -> None:
        chosen = list(queues)
        if not chosen:
            return
        for queue in chosen:
            queue.is_requesting = True
        self._proxy.tasks.spawn(self._send_reports(chosen))

    async def _send_reports(self, queues: list[_PermitQueue]) -> None:
        now = self._clock.now()
        reports = [queue.pool.make_report(queue.waiting_count(), now) for queue in queues]
        request = ReportList(self._proxy.name, reports)
        try:
            body = await self._proxy.core_connection.call(
                MessageKind.QUOTA_REPORT, request.to_body(), _REPORT_TIMEOUT_US
            )
            grants = {grant.tenant: grant for grant in GrantList.from_body(body).grants}
        except Fault:
            grants = {}
        finally:
            for queue in queues:
                queue.is_requesting = False
        for queue, report in zip(queues, reports, strict=True):
            self._apply_grant(queue, report, grants.get(report.tenant), now)

    def _apply_grant(
        self, queue: _PermitQueue, report: AccountReport, grant: Grant | None, requested_at: int
    ) -> None:
        now = self._clock.now()
        if grant is None:
            queue.pool.has_unreported = True
            queue.is_unanswered = True
        else:
            queue.is_unanswered = False
            queue.pool.apply_grant(grant, requested_at)
        queue.admit_waiting(now)
        if grant is not None and grant.retry_us:
            queue.resolve_all(grant.retry_us)
            queue.refused_until = now + min(grant.retry_us, _MAX_REFUSAL_CACHE_US)
            queue.retry_us = grant.retry_us
        if queue.waiting_count():
            is_satisfied = grant is not None and grant.granted - report.granted >= report.needed
            self._request_permits_soon(_REQUEST_DELAY_US if is_satisfied else _REPORT_RETRY_US)


def _is_lower(new: Tenant, old: Tenant) -> bool:
    assert new.quota is not None and old.quota is not None
    return new.quota.rate_per_s < old.quota.rate_per_s or new.quota.burst < old.quota.burst

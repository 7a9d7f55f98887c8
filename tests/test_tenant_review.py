"""Regression tests for schedules found in a review of tenants' limits."""

import asyncio
import json
import random
import sys
from collections import Counter
from types import SimpleNamespace

import pytest
from proxy_harness import CONFIG, run_on_proxy, settle
from test_connection_pool import Member as PoolMember
from test_tenant_quota import TimedRuns, most_in_a_window
from virtual_io import LoopClock

from configuration_documents import configuration_text
from petrelhaven.control.configuration.defaults import TENANT_DEFAULTS
from petrelhaven.control.counting.service import CountingService
from petrelhaven.limits.counter import TenantCounter
from petrelhaven.limits.permit_pool import PermitPool
from petrelhaven.limits.placement import assign_counting_node
from petrelhaven.limits.quota import Quota, QuotaPolicy
from petrelhaven.limits.reports import AccountReport, Grant
from petrelhaven.proxy.pool.connection_pool import ConnectionPool
from petrelhaven.proxy.tenants.admission import QuotaAdmission
from petrelhaven.proxy.tenants.directory import Tenant, TenantDirectory
from petrelhaven.runtime.errors import Busy, Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all
from petrelhaven.transport.quota_messages import GrantList, ReportList

SECOND = 1_000_000


def virtual(work):
    """Runs the coroutine function `work` in virtual time and returns its result."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


def with_permits(pool, permits, now):
    """Grants `permits` to `pool` at `now` and returns it."""
    report = pool.make_report(permits, now)
    pool.apply_grant(Grant(report.tenant, report.account, permits, 0), now)
    return pool


class CoreConnectionStub:
    """Answers each report with `answer(report)`; a call fails if one of its answers is None."""

    def __init__(self, answer, delay_s=0.005):
        self.answer, self.delay_s, self.calls = answer, delay_s, 0

    async def call(self, _kind, body, _timeout_us):
        self.calls += 1
        await asyncio.sleep(self.delay_s)
        grants = [self.answer(report) for report in ReportList.from_body(body).reports]
        if None in grants:
            raise Unreachable("no counting node answered")
        return GrantList(grants).to_body()


def admission(core_connection):
    proxy = SimpleNamespace(
        name="e",
        clock=LoopClock(),
        tasks=BackgroundTasks(),
        rng=random.Random(1),
        core_connection=core_connection,
        count=Counter(),
        retry_after=lambda delay_us=0: f"not run; retry in {delay_us // 1000} ms",
    )
    return QuotaAdmission(proxy)


async def finish(continuation):
    """Runs a continuation and returns its result."""
    try:
        awaited = next(continuation)
        while True:
            awaited = continuation.send(await awaited)
    except StopIteration as end:
        return end.value


def directory(*rows):
    rows = [{**TENANT_DEFAULTS, **row} for row in rows]
    return TenantDirectory({"keyed": True, "tenants": rows})


def request_of(tenant, aim_us, end):
    """Returns a request with the attributes that admission uses."""
    route = SimpleNamespace(aim_us=aim_us)
    return SimpleNamespace(tenant=tenant, route=route, deadline=end, permit=None, possible_runs=0)


# Guards against QUOTA: a reserved permit was reported as used although its operation never ran. The
# next operation was then counted at that earlier time, and left the window too early.
def test_a_permit_released_after_its_report_hides_no_later_use():
    window_us = QuotaPolicy().window_us
    counter = TenantCounter(2, window_us)
    pool = with_permits(PermitPool("agency", 1, 0), 2, 0)
    assert counter.process_report("e", AccountReport("agency", 1, 0, 0, 0, 2, 0), 0).granted == 2
    first = pool.reserve(0)  # the operation never reaches a member
    counter.process_report("e", pool.make_report(0, 400_000), 400_000)
    ran_at = 2 * SECOND
    pool.use(pool.reserve(ran_at), ran_at)
    pool.release(first)  # the first operation timed out
    counter.process_report("e", pool.make_report(0, ran_at), ran_at)
    just_before = ran_at + window_us - 1
    assert counter.used(just_before) >= 1


# Guards against QUOTA: an operation was counted when it was admitted, then waited for a member up to
# the timeout of its route, and ran in a later window that did not count it.
def test_an_operation_that_waits_for_a_member_is_counted_no_earlier_than_it_is_sent():
    window_s, rate, burst = 5, 10, 0
    max_in_window = (rate * window_s + burst) * 1.1 + 20
    key = b"key-of-agency"
    route = {**CONFIG["Routes"][0], "TimeoutMs": 4_000}
    tenants = [{"Name": "agency", "ApiKeys": [key.decode()], "RatePerS": rate, "Burst": burst}]
    limited = {**CONFIG, "Revision": 2, "Routes": [route], "Tenants": tenants}

    async def run(harness):
        policy, clock = QuotaPolicy(), harness.clock
        counter = TenantCounter(policy.regular_allowance(Quota(rate, burst)), policy.window_us)
        stub = CoreConnectionStub(lambda report: counter.process_report("e", report, clock.now()))
        harness.core_connection.call, harness.core_connection.state_age_us = stub.call, 0
        harness.member.ran = TimedRuns()
        harness.configure(limited)
        member = harness.proxy.groups["svc"].members["m1"]
        member.avoided_until = clock.now() + 60 * SECOND
        clients = []
        for number in range(400):
            if number == 80:  # after 4 s
                member.avoided_until = 0
            client, _ = harness.client(b"CONNECT db " + key + b"\r\n")
            client.data_received(b"QUERY %d PUT k v\r\n" % number)
            clients.append(client)
            await asyncio.sleep(0.05)
        await settle()
        return most_in_a_window(harness.member.ran.times, window_s)

    assert 0 < run_on_proxy(run) <= max_in_window


# Guards against QUOTA: an operation was sent again after its permits had expired. That use belonged to
# a new account, and the counting node ignored uses in the first report of an account.
def test_uses_beyond_an_expired_account_are_counted_in_the_next_one():
    counter = TenantCounter(100, 5 * SECOND)
    pool = with_permits(PermitPool("agency", 1, 0), 1, 0)
    counter.process_report("e", AccountReport("agency", 1, 0, 0, 0, 1, 0), 0)
    pool.use(pool.reserve(0), 0)
    counter.process_report("e", pool.make_report(0, 400_000), 400_000)
    now = 4 * SECOND
    pool.use_without_permit(now)  # the same operation, sent to another member or retried
    counter.process_report("e", pool.make_report(0, now), now)
    assert counter.used(now) == 2


# Guards against unnecessary refusals: with a policy without slack, tenants with a small limit could
# not run any operation.
@pytest.mark.parametrize("quota", [Quota(0, 1), Quota(1, 0), Quota(0, 2), Quota(0, 3)], ids=str)
@pytest.mark.parametrize("excess", [0, 100])
def test_a_small_limit_without_slack_lets_most_of_it_run(quota, excess):
    policy = QuotaPolicy(5 * SECOND, excess, 0)
    nominal = policy.nominal_limit(quota)
    assert policy.regular_allowance(quota) >= max(1, nominal // 2)


# Guards against unnecessary refusals: operations waiting for a permit were refused when the limit of
# their tenant was removed.
def test_waiting_operations_run_once_their_tenant_has_no_limit():
    async def work():
        quota_admission = admission(CoreConnectionStub(lambda report: None))
        before, after = directory({"name": "agency", "rate": 1}), directory({"name": "agency"})
        waiting = asyncio.ensure_future(
            finish(quota_admission.admit(request_of(before.tenants["agency"], 500_000, 5 * SECOND)))
        )
        await asyncio.sleep(0.1)
        quota_admission.apply_directory(before, after)
        return await waiting

    assert virtual(work) is None


# Guards against late refusals: while a tenant's counting node was lost and other counting nodes still
# answered, its operations were refused only after 0.9 s instead of a quarter of the latency target.
def test_an_operation_without_a_permit_is_refused_within_a_quarter_of_its_latency_target():
    aim_us = 300_000

    async def work():
        def answer(report):
            return Grant(report.tenant, report.account, 0, 0) if report.tenant == "other" else None

        quota_admission, clock = admission(CoreConnectionStub(answer)), LoopClock()
        limited = Tenant("agency", Quota(100, 0))
        started = clock.now()
        refusal = await finish(
            quota_admission.admit(request_of(limited, aim_us, started + 5 * SECOND))
        )
        return refusal, clock.now() - started

    refusal, took_us = virtual(work)
    assert refusal is not None
    assert took_us <= aim_us // 4


class CountingNodeStub:
    """A control node whose calls to the nodes in `silent` time out."""

    def __init__(self, names, silent):
        self.name, self.clock, self.tasks = names[0], LoopClock(), BackgroundTasks()
        self.silent, self.view = silent, SimpleNamespace(number=1, chain=names)
        state = SimpleNamespace(configuration=None)
        self.log = None
        self.chain = SimpleNamespace(view=self.view, is_active=True, control_state=state)

    async def call(self, name, _kind, body, timeout_us):
        if name in self.silent:
            await self.clock.wait_for(asyncio.sleep(60), timeout_us)
        rows = body["rows"]
        return GrantList([Grant(row[1], row[2], 1, 0) for row in rows]).to_body()


# Guards against late permits: a lost counting node delayed the permits of all tenants that a proxy had
# requested in the same message.
def test_a_lost_counting_node_delays_no_permits_of_other_tenants():
    names = ["c1", "c2", "c3"]
    counted_by = {
        name: f"t{n}"
        for n in range(50)
        for name in [assign_counting_node(f"t{n}", names).counting_node]
    }

    async def work():
        node = CountingNodeStub(names, {"c2"})
        service = CountingService(node, lambda: 1)
        reports = [AccountReport(counted_by[name], 1, 0, 0, 0, 1, 0) for name in ("c2", "c3")]
        started = node.clock.now()
        body = await service.handle_report(None, ReportList("e", reports).to_body())
        grants = GrantList.from_body(body).grants
        return {grant.tenant for grant in grants}, node.clock.now() - started

    tenants, took_us = virtual(work)
    assert counted_by["c3"] in tenants
    assert took_us <= 150_000


# Guards against long refusals: when permits were only missing until the successor acknowledged a copy,
# clients were told to wait for the length of a window.
def test_a_grant_that_only_waits_for_a_copy_has_a_short_retry_delay():
    counter = TenantCounter(1_000, 5 * SECOND)
    grant = counter.process_report("e", AccountReport("agency", 1, 0, 0, 0, 1, 0), 0, max_grant=0)
    assert grant.granted == 0
    assert grant.retry_us <= 500_000


# Guards against unnecessary refusals: statements that gave up waiting for a connection still counted
# as waiting, so the next statements of their tenant were refused.
def test_cancelled_waiters_do_not_count_as_waiting():
    async def work():
        member = PoolMember()
        pool = ConnectionPool(LoopClock(), BackgroundTasks(), member.open, 1, lambda: 9)
        client = SimpleNamespace(tenant="a", values={}, prepared={}, statement_numbers={})
        await pool.acquire(client)  # the only connection is busy from now on
        for _ in range(4):
            pool.cancel(pool.acquire(client))
        last = pool.acquire(client)
        await asyncio.sleep(0)
        return last

    last = virtual(work)
    assert not last.done() or not isinstance(last.exception(), Busy)


# Guards against exempt tenants whose reads are withheld: rules contained the platform's name of the
# tenant, while sessions contain the internal name.
@pytest.mark.parametrize("name", ["agency", "Agency", "Böse-Agentur"])
def test_an_embargo_rule_names_exempt_tenants_as_sessions_do(name):
    key = "key-of-agency"
    rule = {"Name": "r", "Service": "svc", "Thing": "k", "Until": "2030-01-01T00:00:00Z"}
    rule = {**rule, "Early": [name]}
    document = {
        **CONFIG,
        "Tenants": [{"Name": name, "ApiKeys": [key]}],
        "Embargo": {"Rules": [rule]},
    }
    converted = json.loads(configuration_text(json.dumps(document).encode(), ["a"]))
    assert converted["embargoes"][0]["early"] == [converted["tenants"][0]["name"]]


# Guards against counting whose cost grows with the square of the number of proxies: each report summed
# the permits of all proxies several times.
def test_the_cost_of_a_report_does_not_grow_with_the_number_of_proxies():
    def executed_lines(proxies):
        counter = TenantCounter(1 << 20, 5 * SECOND)
        for number in range(proxies):
            counter.process_report(f"e{number}", AccountReport("t", 1, 0, 0, 0, 1, 0), 0)
        count = 0

        def trace(*_):
            nonlocal count
            count += 1
            return trace

        sys.settrace(trace)
        try:
            counter.process_report("e0", AccountReport("t", 1, 1, 1, 0, 1, 0), 1_000)
        finally:
            sys.settrace(None)
        return count

    assert executed_lines(2_000) <= 3 * executed_lines(20)

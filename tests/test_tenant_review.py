"""Schedules that a review of tenants' limits found: each test shows one of them."""

import asyncio
import json
import random
import sys
from collections import Counter
from types import SimpleNamespace

import pytest
from test_connection_pool import LoopClock
from test_connection_pool import Member as PoolMember
from test_platform_lines import CONFIG, rest
from test_platform_lines import virtual as on_a_proxy
from test_tenant_quota import TimedRuns, most_in_a_window

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
    """What the coroutine function `work` returns, run in virtual time."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


def granted(holding, permits, now):
    """`holding` with `permits`, reported and granted at `now`."""
    report = holding.report(permits, now)
    holding.take_grant(Grant(report.tenant, report.account, permits, 0), now)
    return holding


class CoreConnectionStub:
    """Answers each report by `answer(report)`: a grant, or None for no answer at all."""

    def __init__(self, answer, delay_s=0.005):
        self.answer, self.delay_s, self.asked = answer, delay_s, 0

    async def call(self, _kind, body, _timeout_us):
        self.asked += 1
        await asyncio.sleep(self.delay_s)
        grants = [self.answer(report) for report in ReportList.from_body(body).reports]
        if None in grants:
            raise Unreachable("nobody counts")
        return GrantList(grants).to_body()


def admission(core_connection):
    proxy = SimpleNamespace(
        name="e",
        clock=LoopClock(),
        tasks=BackgroundTasks(),
        rng=random.Random(1),
        core_connection=core_connection,
        count=Counter(),
        retry_after=lambda us=0: f"not run; come back in {us // 1000} ms",
    )
    return QuotaAdmission(proxy)


async def finish(continuation):
    """The result of a continuation."""
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
    """What admission needs of an operation's request."""
    route = SimpleNamespace(aim_us=aim_us)
    return SimpleNamespace(tenant=tenant, route=route, end=end, permit=None, runs=0)


# Guards against QUOTA: the permit of an operation that never ran, reported as used already, hid the
# use of another one that ran later, so that this one left the window before its time.
def test_a_permit_put_back_after_its_report_hides_no_later_use():
    window_us = QuotaPolicy().window_us
    counter = TenantCounter(2, window_us)
    holding = granted(PermitPool("agency", 1, 0), 2, 0)
    assert counter.report("e", AccountReport("agency", 1, 0, 0, 0, 2, 0), 0).granted == 2
    first = holding.take(0)  # waits for a member that it never reaches
    counter.report("e", holding.report(0, 400_000), 400_000)
    ran_at = 2 * SECOND
    holding.use(holding.take(ran_at), ran_at)
    holding.put_back(first)  # the first one's time is over
    counter.report("e", holding.report(0, ran_at), ran_at)
    just_before = ran_at + window_us - 1
    assert counter.used(just_before) >= 1


# Guards against QUOTA: an operation that waited for a member for as long as its route allows was
# counted when it was admitted, and ran in a window that knew nothing of it.
def test_an_operation_that_waits_for_a_member_is_counted_no_earlier_than_it_is_sent():
    window_s, rate, burst = 5, 10, 0
    most = (rate * window_s + burst) * 1.1 + 20
    key = b"key-of-agency"
    route = {**CONFIG["Routes"][0], "TimeoutMs": 4_000}
    tenants = [{"Name": "agency", "ApiKeys": [key.decode()], "RatePerS": rate, "Burst": burst}]
    limited = {**CONFIG, "Revision": 2, "Routes": [route], "Tenants": tenants}

    async def go(door):
        terms, clock = QuotaPolicy(), door.clock
        counter = TenantCounter(terms.regular(Quota(rate, burst)), terms.window_us)
        stub = CoreConnectionStub(lambda report: counter.report("e", report, clock.now()))
        door.core_connection.call, door.core_connection.state_age_us = stub.call, 0
        door.member.ran = TimedRuns()
        door.configure(limited)
        member = door.proxy.groups["svc"].members["m1"]
        member.down_until = clock.now() + 60 * SECOND
        clients = []
        for number in range(400):
            if number == 80:  # after 4 s
                member.down_until = 0
            client, _ = door.client(b"CONNECT db " + key + b"\r\n")
            client.data_received(b"QUERY %d PUT k v\r\n" % number)
            clients.append(client)
            await asyncio.sleep(0.05)
        await rest()
        return most_in_a_window(door.member.ran.times, window_s)

    assert 0 < on_a_proxy(go) <= most


# Guards against QUOTA: what an operation sent once more after its permits had ended ran beyond them
# came with a new account, whose first report the counting node did not count.
def test_what_was_run_beyond_an_account_that_ended_is_counted_with_the_next():
    counter = TenantCounter(100, 5 * SECOND)
    holding = granted(PermitPool("agency", 1, 0), 1, 0)
    counter.report("e", AccountReport("agency", 1, 0, 0, 0, 1, 0), 0)
    holding.use(holding.take(0), 0)
    counter.report("e", holding.report(0, 400_000), 400_000)
    now = 4 * SECOND
    holding.charge(now)  # the same operation at another member, or its retry
    counter.report("e", holding.report(0, now), now)
    assert counter.used(now) == 2


# Guards against refusals below the limit: where judging leaves no slack, tenants with a small limit
# could never run anything.
@pytest.mark.parametrize("quota", [Quota(0, 1), Quota(1, 0), Quota(0, 2), Quota(0, 3)], ids=str)
@pytest.mark.parametrize("excess", [0, 100])
def test_a_small_limit_without_slack_lets_most_of_it_run(quota, excess):
    terms = QuotaPolicy(5 * SECOND, excess, 0)
    nominal = terms.nominal(quota)
    assert terms.regular(quota) >= max(1, nominal // 2)


# Guards against refusals below the limit: operations that waited for a permit were refused when
# their tenant's limit was taken away.
def test_operations_that_wait_run_once_their_tenant_has_no_limit_any_more():
    async def work():
        limits = admission(CoreConnectionStub(lambda report: None))
        before, after = directory({"name": "agency", "rate": 1}), directory({"name": "agency"})
        waiting = asyncio.ensure_future(
            finish(limits.admit(request_of(before.tenants["agency"], 500_000, 5 * SECOND)))
        )
        await asyncio.sleep(0.1)
        limits.apply_directory(before, after)
        return await waiting

    assert virtual(work) is None


# Guards against priced refusals: while a tenant's counting node was lost, its operations were held
# for 0.9 s and then refused, longer than a quarter of their aim, for other nodes still answered.
def test_an_operation_that_gets_no_permit_is_refused_within_a_quarter_of_its_aim():
    aim_us = 300_000

    async def work():
        def answer(report):
            return Grant(report.tenant, report.account, 0, 0) if report.tenant == "other" else None

        limits, clock = admission(CoreConnectionStub(answer)), LoopClock()
        limited = Tenant("agency", Quota(100, 0))
        began = clock.now()
        refusal = await finish(limits.admit(request_of(limited, aim_us, began + 5 * SECOND)))
        return refusal, clock.now() - began

    refusal, took_us = virtual(work)
    assert refusal is not None
    assert took_us <= aim_us // 4


class CountingNodeStub:
    """A control node whose calls to `silent` nodes are answered never."""

    def __init__(self, names, silent):
        self.name, self.clock, self.tasks = names[0], LoopClock(), BackgroundTasks()
        self.silent, self.view = silent, SimpleNamespace(number=1, chain=names)
        state = SimpleNamespace(configuration=None)
        self.log = None
        self.chain = SimpleNamespace(view=self.view, active=True, control_state=state)

    async def call(self, name, _kind, body, timeout_us):
        if name in self.silent:
            await self.clock.limit(asyncio.sleep(60), timeout_us)
        rows = body["rows"]
        return GrantList([Grant(row[1], row[2], 1, 0) for row in rows]).to_body()


# Guards against operations held past their aim: one counting node that was lost held up the
# permits of all tenants that a proxy had asked for in one message.
def test_a_lost_counting_node_holds_up_no_other_tenants_permits():
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
        began = node.clock.now()
        body = await service.handle_report(None, ReportList("e", reports).to_body())
        grants = GrantList.from_body(body).grants
        return {grant.tenant for grant in grants}, node.clock.now() - began

    tenants, took_us = virtual(work)
    assert counted_by["c3"] in tenants
    assert took_us <= 150_000


# Guards against refusals below the limit: where only the successor's missing acknowledgement stood
# in the way, clients were sent away for as long as a whole window.
def test_a_grant_that_waits_for_a_copy_alone_sends_nobody_away_for_long():
    counter = TenantCounter(1_000, 5 * SECOND)
    grant = counter.report("e", AccountReport("agency", 1, 0, 0, 0, 1, 0), 0, most=0)
    assert grant.granted == 0
    assert grant.retry_us <= 500_000


# Guards against refusals for nothing: statements that had given up waiting for a connection still
# counted as waiting, and their tenant's next ones were refused although nobody waited.
def test_waiters_that_gave_up_leave_room_for_others():
    async def work():
        member = PoolMember()
        pool = ConnectionPool(LoopClock(), BackgroundTasks(), member.open, 1, lambda: 9)
        client = SimpleNamespace(tenant="a", values={}, prepared={}, statement_numbers={})
        await pool.acquire(client)  # busy from now on
        for _ in range(4):
            pool.cancel(pool.acquire(client))
        last = pool.acquire(client)
        await asyncio.sleep(0)
        return last

    last = virtual(work)
    assert not last.done() or not isinstance(last.exception(), Busy)


# Guards against tenants that get nothing of what an embargo lets them see early: rules name them as
# the platform does, sessions as the project does.
@pytest.mark.parametrize("name", ["agency", "Agency", "Böse-Agentur"])
def test_an_embargo_names_early_tenants_as_sessions_do(name):
    key = "key-of-agency"
    rule = {"Name": "r", "Service": "svc", "Thing": "k", "Until": "2030-01-01T00:00:00Z"}
    rule = {**rule, "Early": [name]}
    document = {
        **CONFIG,
        "Tenants": [{"Name": name, "ApiKeys": [key]}],
        "Embargo": {"Rules": [rule]},
    }
    made = json.loads(configuration_text(json.dumps(document).encode(), ["a"]))
    assert made["embargoes"][0]["early"] == [made["tenants"][0]["name"]]


# Guards against counting that takes time with the number of proxies squared: each report summed
# what all proxies hold, several times.
def test_the_cost_of_a_report_does_not_grow_with_the_number_of_proxies():
    def steps(proxies):
        counter = TenantCounter(1 << 20, 5 * SECOND)
        for number in range(proxies):
            counter.report(f"e{number}", AccountReport("t", 1, 0, 0, 0, 1, 0), 0)
        count = 0

        def trace(*_):
            nonlocal count
            count += 1
            return trace

        sys.settrace(trace)
        try:
            counter.report("e0", AccountReport("t", 1, 1, 1, 0, 1, 0), 1_000)
        finally:
            sys.settrace(None)
        return count

    assert steps(2_000) <= 3 * steps(20)

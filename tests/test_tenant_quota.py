"""Tests tenants' limits over the client protocol: one proxy and one member, in virtual time."""

import asyncio

from proxy_harness import CONFIG, run_on_proxy, settle

RATE_PER_S, BURST = 2, 2
WINDOW_S = 5
QUOTA_EXCESS, QUOTA_SLACK = 0.1, 20
MAX_IN_WINDOW = (RATE_PER_S * WINDOW_S + BURST) * (1 + QUOTA_EXCESS) + QUOTA_SLACK
KEY = "key-of-agency"
LIMITED = {
    **CONFIG,
    "Revision": 2,
    "Tenants": [
        {"Name": "agency", "ApiKeys": [KEY], "RatePerS": RATE_PER_S, "Burst": BURST},
    ],
}


class CountingNodeStub:
    """Answers a proxy's reports with the production counter, as the counting node of all tenants."""

    def __init__(self, clock):
        self.clock, self.counters = clock, {}

    async def call(self, name, kind, body=None, timeout_us=None):
        from petrelhaven.limits.counter import TenantCounter
        from petrelhaven.limits.quota import Quota, QuotaPolicy
        from petrelhaven.transport.quota_messages import GrantList, ReportList

        policy = QuotaPolicy()
        request = ReportList.from_body(body if isinstance(body, dict) else kind)
        grants = []
        for report in request.reports:
            counter = self.counters.setdefault(
                report.tenant,
                TenantCounter(policy.regular_allowance(Quota(RATE_PER_S, BURST)), policy.window_us),
            )
            grants.append(counter.process_report(request.proxy, report, self.clock.now()))
        await asyncio.sleep(0.005)
        return GrantList(grants).to_body()


def most_in_a_window(times, window_s):
    """Returns the largest number of `times`, in ascending order, within any window."""
    return max(
        (sum(start <= time <= start + window_s for time in times) for start in times), default=0
    )


class TimedRuns(list):
    """The statements that a member ran; `times` has the time of each, in seconds."""

    def __init__(self):
        super().__init__()
        self.times = []

    def append(self, run):
        self.times.append(asyncio.get_running_loop().time())
        super().append(run)


# Guards against QUOTA of issue 30: a tenant's operations were not counted, and all of them ran.
def test_a_tenant_runs_no_more_than_its_limit_in_any_window():
    async def run(harness):
        connection = harness.core_connection
        connection.call = CountingNodeStub(harness.clock).call
        connection.state_age_us = 0
        harness.member.ran = TimedRuns()
        harness.configure(LIMITED)
        client, transport = harness.client(b"CONNECT db " + KEY.encode() + b"\r\n")
        for number in range(100):
            client.data_received(b"QUERY %d FETCH k\r\n" % number)
            await asyncio.sleep(0.05)
        await settle()
        lines = transport.out.split(b"\r\n")
        ends = [line for line in lines if line.split(b" ")[0] in {b"COMPLETE", b"ERROR"}]
        return harness.member.ran.times, ends

    run_times, ends = run_on_proxy(run)
    assert len(ends) == 100
    assert 0 < most_in_a_window(run_times, WINDOW_S) <= MAX_IN_WINDOW
    refused = [end for end in ends if end.startswith(b"ERROR")]
    assert len(ends) - len(refused) == len(run_times)
    for end in refused:
        assert end.startswith(b"ERROR BUSY not run; come back in ") and end.endswith(b" ms"), end

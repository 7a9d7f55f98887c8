"""Randomized fault runs against a fleet with tenants; disabling a guard must be detected."""

import asyncio

import pytest

from petrelhaven.control.counting import service
from petrelhaven.limits.counter import TenantCounter
from petrelhaven.limits.counter_mode import CounterMode
from petrelhaven.limits.permit_pool import PermitPool
from petrelhaven.proxy.node import ProxyNode
from petrelhaven.proxy.pool.member_connection import MemberConnection
from petrelhaven.proxy.tenants.admission import QuotaAdmission
from petrelhaven.proxy.tenants.directory import TenantDirectory
from petrelhaven.simulator.connection_sessions.storm import inside
from petrelhaven.simulator.connection_sessions.tenant_storm import run

_MIN_SERVED = 100
_RUN_S = 9.0
_RUN_WITH_CHANGE_S = 18.0
"""The last third of this time exceeds the time within which a change must be in force."""


def violated_rules(findings):
    """Returns the names of the violated rules; findings of machines begin with the time."""
    found = {finding[0] if isinstance(finding[0], str) else finding[1] for finding in findings}
    assert "code" not in found, findings
    return found


# Checks ROUTE, UNASKED, CONFIG and QUOTA under successive and overlapping faults.
@pytest.mark.parametrize("seed", [1, 2, 3, 6])
def test_randomized_faults_with_tenants_break_no_rule(seed):
    findings, fleet = run(seed)
    assert findings == []
    assert sum(client.served for client in fleet.clients) > _MIN_SERVED


# Checks QUOTA when all control nodes are repeatedly killed at the same instant under full load.
def test_kills_of_all_control_nodes_break_no_rule():
    assert run_with_kills_of_all_control_nodes() == []


# Checks the checker itself: a counter that starts as if nothing had been granted must be detected.
def test_a_count_that_forgets_what_was_granted_before_a_kill_is_found(monkeypatch):
    monkeypatch.setattr(service, "choose_counter_mode", lambda *_: CounterMode.REGULAR)
    assert "QUOTA" in violated_rules(run_with_kills_of_all_control_nodes())


def run_with_kills_of_all_control_nodes(seed=10):
    """Returns the findings of a run with the longest windows and the smallest slack."""
    findings, fleet = run(seed, is_pressed=True, kinds=["core_instant"], count=6)
    assert (fleet.tenancy.window_s, fleet.tenancy.slack, fleet.tenancy.excess) == (15, 3, 0.0)
    return findings


_DEFAULT_SEED = 5


def run_without_faults(duration_s, seed=_DEFAULT_SEED):
    """Runs a fleet in which every tenant sends at full speed for a while.

    Returns:
        The findings and the fleet.
    """

    async def scene(fleet):
        await fleet.start()
        fleet.start_clients(18)
        await asyncio.sleep(duration_s / 3)
        fleet.tenancy.hot.update(fleet.tenancy.names())
        await asyncio.sleep(duration_s / 3)
        fleet.tenancy.hot.clear()
        fleet.tenancy.change(*map(fleet.tenancy.with_another_key, ("t1", "t2")))
        await fleet.apply(2)
        await asyncio.sleep(duration_s / 3)
        await fleet.calm()
        return fleet.verdict()

    return inside(scene, seed, tenants=6, cap=60)


# Checks that the checker finds nothing in a run without faults, with every kind of client.
def test_hot_tenants_without_faults_break_no_rule():
    findings, fleet = run_without_faults(_RUN_WITH_CHANGE_S)
    assert findings == []
    assert fleet.history.key_refusals, "no client showed a wrong key"
    assert {run.who for run in fleet.history.runs} >= {"", "t1", "t2", "t3"}


def any_key_is_accepted(monkeypatch):
    original = TenantDirectory.identify
    monkeypatch.setattr(
        TenantDirectory, "identify", lambda self, key, public: original(self, key, True)
    )


def members_get_no_tenant_name(monkeypatch):
    monkeypatch.setattr(
        ProxyNode, "_update_tenant", lambda self, session, tenant: setattr(session, "tenant", "")
    )


class _AnyTenant(str):
    """A string that equals the name of every tenant."""

    def __eq__(self, other):
        return True

    __hash__ = None


def connections_are_shared_between_tenants(monkeypatch):
    shared = property(lambda self: _AnyTenant(), lambda self, _: None)
    monkeypatch.setattr(MemberConnection, "tenant", shared, raising=False)


def first_keys_stay_valid(monkeypatch):
    original = ProxyNode._configure

    def configure(self, configuration):
        previous = self.tenants
        original(self, configuration)
        if previous.requires_keys:
            self.tenants = previous

    monkeypatch.setattr(ProxyNode, "_configure", configure)


def operations_are_not_counted(monkeypatch):
    def admit(self, *_request):
        return None
        yield

    monkeypatch.setattr(QuotaAdmission, "admit", admit)


def allowance_is_unlimited(monkeypatch):
    original = TenantCounter.process_report

    def process_report(self, *args, **kwargs):
        self.allowance = 1 << 30
        return original(self, *args, **kwargs)

    monkeypatch.setattr(TenantCounter, "process_report", process_report)


def permits_are_never_used_up(monkeypatch):
    monkeypatch.setattr(PermitPool, "available", property(lambda self: 1 if self._granted else 0))


# Whether a connection goes from one tenant to another in so short a run depends on the seed.
_SEEDS = {connections_are_shared_between_tenants: 2}


# Checks the checker: a disabled guard must be detected even in a run without faults.
@pytest.mark.parametrize(
    ("disable_guard", "rule"),
    [
        (any_key_is_accepted, "ROUTE"),
        (members_get_no_tenant_name, "UNASKED"),
        (connections_are_shared_between_tenants, "UNASKED"),
        (first_keys_stay_valid, "CONFIG"),
        (operations_are_not_counted, "QUOTA"),
        (allowance_is_unlimited, "QUOTA"),
        (permits_are_never_used_up, "QUOTA"),
    ],
)
def test_each_disabled_guard_is_found(monkeypatch, disable_guard, rule):
    disable_guard(monkeypatch)
    duration_s = _RUN_WITH_CHANGE_S if rule == "CONFIG" else _RUN_S
    seed = _SEEDS.get(disable_guard, _DEFAULT_SEED)
    assert rule in violated_rules(run_without_faults(duration_s, seed)[0])

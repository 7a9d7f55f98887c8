"""Storms against a fleet with tenants; each rule is seen broken once its guard is out."""

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

_SERVED_AT_LEAST = 100
_SPAN_S = 9.0
_SPAN_OF_CHANGE_S = 18.0
"""Long enough for a change to bind: its last third is longer than the bound on a change."""


def rules(bad):
    """The rules of findings; those of the machines begin with the time."""
    found = {finding[0] if isinstance(finding[0], str) else finding[1] for finding in bad}
    assert "code" not in found, bad
    return found


# ROUTE, UNASKED, CONFIG and QUOTA under series of faults and faults that overlap.
@pytest.mark.parametrize("seed", [1, 2, 3, 6])
def test_a_storm_against_tenants_keys_and_limits_breaks_no_rule(seed):
    bad, fleet = run(seed)
    assert bad == []
    assert sum(client.served for client in fleet.clients) > _SERVED_AT_LEAST


# QUOTA when all control nodes are killed at one instant, again and again, under hot tenants.
def test_kills_of_all_control_nodes_break_no_rule():
    assert kills_of_all_control_nodes() == []


# The judge and the play: a count that begins anew as if nothing had been granted is found.
def test_a_count_that_forgets_what_was_granted_before_a_kill_is_found(monkeypatch):
    monkeypatch.setattr(service, "decide", lambda *_: CounterMode.REGULAR)
    assert "QUOTA" in rules(kills_of_all_control_nodes())


def kills_of_all_control_nodes(seed=10):
    """What a play breaks whose windows are the longest and whose slack is the least there is."""
    bad, fleet = run(seed, is_pressed=True, kinds=["core_instant"], count=6)
    assert (fleet.tenancy.window_s, fleet.tenancy.slack, fleet.tenancy.excess) == (15, 3, 0.0)
    return bad


def calm_play(span_s, seed=5):
    """A play without faults in which every limited tenant is hot for a while; (findings, fleet)."""

    async def go(fleet):
        await fleet.start()
        fleet.start_clients(18)
        await asyncio.sleep(span_s / 3)
        fleet.tenancy.hot.update(fleet.tenancy.names())
        await asyncio.sleep(span_s / 3)
        fleet.tenancy.hot.clear()
        fleet.tenancy.change(*map(fleet.tenancy.with_another_key, ("t1", "t2")))
        await fleet.apply(2)
        await asyncio.sleep(span_s / 3)
        await fleet.calm()
        return fleet.verdict()

    return inside(go, seed, tenants=6, cap=60)


# The judge itself: a play in which nothing is wrong, with every kind of client, finds nothing.
def test_hot_tenants_without_faults_break_no_rule():
    bad, fleet = calm_play(_SPAN_OF_CHANGE_S)
    assert bad == []
    assert fleet.history.key_refusals, "no client showed a wrong key"
    assert {run.who for run in fleet.history.runs} >= {"", "t1", "t2", "t3"}


def everybody_is_let_in(patch):
    identify = TenantDirectory.identify
    patch.setattr(TenantDirectory, "identify", lambda self, key, public: identify(self, key, True))


def members_hear_nobody(patch):
    patch.setattr(
        ProxyNode, "_follow_tenant", lambda self, session, tenant: setattr(session, "tenant", "")
    )


class _AnyTenant(str):
    """Equal to every tenant's name."""

    def __eq__(self, other):
        return True

    __hash__ = None


def connections_are_shared(patch):
    shared = property(lambda self: _AnyTenant(), lambda self, _: None)
    patch.setattr(MemberConnection, "tenant", shared, raising=False)


def keys_stay_as_at_first(patch):
    configure = ProxyNode._configure

    def keep(self, configuration):
        known = self.tenants
        configure(self, configuration)
        if known.requires_keys:
            self.tenants = known

    patch.setattr(ProxyNode, "_configure", keep)


def nothing_is_counted(patch):
    def admit(self, *_request):
        return None
        yield

    patch.setattr(QuotaAdmission, "admit", admit)


def nodes_count_without_a_bound(patch):
    report = TenantCounter.report

    def unbounded(self, *args, **kwargs):
        self.allowance = 1 << 30
        return report(self, *args, **kwargs)

    patch.setattr(TenantCounter, "report", unbounded)


def permits_never_run_out(patch):
    patch.setattr(PermitPool, "balance", property(lambda self: 1 if self._granted else 0))


# The rules of the judge: a guard that is out is found in a play without any fault.
@pytest.mark.parametrize(
    ("mutant", "rule"),
    [
        (everybody_is_let_in, "ROUTE"),
        (members_hear_nobody, "UNASKED"),
        (connections_are_shared, "UNASKED"),
        (keys_stay_as_at_first, "CONFIG"),
        (nothing_is_counted, "QUOTA"),
        (nodes_count_without_a_bound, "QUOTA"),
        (permits_never_run_out, "QUOTA"),
    ],
)
def test_a_guard_that_is_out_is_found(monkeypatch, mutant, rule):
    mutant(monkeypatch)
    span_s = _SPAN_OF_CHANGE_S if rule == "CONFIG" else _SPAN_S
    assert rule in rules(calm_play(span_s)[0])

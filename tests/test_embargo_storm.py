"""Seeded storms over an embargoed fleet: crashes, cuts, restarts and a clock that steps; nothing is early."""

import pytest
from test_embargo_world import highest_time, own_clock

from petrelhaven.simulator.connection_sessions import storm
from petrelhaven.simulator.connection_sessions.embargo import EmbargoedFleet


@pytest.mark.parametrize("seed", range(8))
def test_no_proxy_serves_a_record_before_its_release_and_all_do_afterwards(seed):
    bad, f = storm.run(seed, fleet=EmbargoedFleet)
    assert bad == [] and f.withheld > 50 and len(f.served) == len(f.edges) * len(f.records)


@pytest.mark.parametrize("guard", [own_clock, highest_time])
def test_without_its_guard_early_reads_are_found(monkeypatch, guard):
    guard(monkeypatch)
    bad = [b for seed in range(6) for b in storm.run(seed, fleet=EmbargoedFleet)[0]]
    assert any(b[1] == "EMBARGO" for b in bad if len(b) > 2)

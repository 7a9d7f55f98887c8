"""Randomized fault runs of a fleet with embargoes: no record may be read before its release."""

import pytest
from test_embargo_world import highest_time, own_clock

from petrelhaven.simulator.connection_sessions import storm
from petrelhaven.simulator.connection_sessions.embargo import EmbargoedFleet


@pytest.mark.parametrize("seed", range(8))
def test_no_proxy_serves_a_record_before_its_release_and_all_do_afterwards(seed):
    findings, fleet = storm.run(seed, fleet=EmbargoedFleet)
    assert (
        findings == []
        and fleet.withheld > 50
        and len(fleet.served) == len(fleet.edges) * len(fleet.records)
    )


@pytest.mark.parametrize("disable_guard", [own_clock, highest_time])
def test_without_its_guard_early_reads_are_found(monkeypatch, disable_guard):
    disable_guard(monkeypatch)
    findings = [
        finding for seed in range(6) for finding in storm.run(seed, fleet=EmbargoedFleet)[0]
    ]
    assert any(finding[1] == "EMBARGO" for finding in findings if len(finding) > 2)

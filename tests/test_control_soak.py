"""Seeded soaks of real processes whose control machines are replaced; `tests/soak.py --control` plays more by hand."""

import asyncio

import pytest
from control_disruptions import ControlSoak
from soak import play

pytestmark = pytest.mark.xdist_group("control-soak")


@pytest.mark.parametrize("seed", [2, 4])
def test_a_seeded_soak_of_control_machines_breaks_no_rule(tmp_path, seed):
    """Guards against proxies with an outdated configuration after all control machines were replaced (CONFIG)."""
    verdict, log, notes = asyncio.run(play(tmp_path, seed, 24.0, soak_type=ControlSoak))
    assert verdict.violations == [], (verdict, log, notes)
    assert verdict.own_ends == {}, (verdict, log, notes)
    assert verdict.served > 100, (verdict, log, notes)

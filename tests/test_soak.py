"""Seeded soaks of the real processes, in which disruptions overlap; `tests/soak.py` plays more by hand."""

import asyncio

import pytest
from disruptions import DepartureSoak
from promotion_disruptions import PromotionSoak
from soak import play

pytestmark = pytest.mark.xdist_group("soak")


@pytest.mark.parametrize("seed", [1, 2])
def test_a_seeded_soak_breaks_no_rule(tmp_path, seed):
    """Guards against lost commits: a replica that was counted out returns and alone receives."""
    verdict, log, _ = asyncio.run(play(tmp_path, seed, 24.0))
    assert verdict.violations == [], (verdict, log)
    assert verdict.own_ends == {}, (verdict, log)
    assert verdict.logged_errors == [], (verdict, log)
    assert verdict.served > 100, (verdict, log)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_seeded_soak_of_departures_breaks_no_rule(tmp_path, seed):
    """Guards against statements to members that signed off: late beats must not bring them back (DRAIN)."""
    verdict, log, _ = asyncio.run(play(tmp_path, seed, 20.0, soak_type=DepartureSoak))
    assert verdict.violations == [], (verdict, log)
    assert verdict.own_ends == {}, (verdict, log)
    assert verdict.logged_errors == [], (verdict, log)
    assert verdict.served > 100, (verdict, log)


@pytest.mark.xdist_group("promotion-soak")
@pytest.mark.parametrize("seed", [1, 4])
def test_a_seeded_soak_of_promotions_breaks_no_rule(tmp_path, seed):
    """Guards against lost commits on unknown and restarted members, and statements cut at a stop (review/4, 5, 7)."""
    verdict, log, notes = asyncio.run(play(tmp_path, seed, 20.0, soak_type=PromotionSoak))
    assert verdict.violations == [], (verdict, log, notes)
    assert verdict.own_ends == {}, (verdict, log, notes)
    assert verdict.logged_errors == [], (verdict, log, notes)
    assert verdict.served > 100, (verdict, log, notes)

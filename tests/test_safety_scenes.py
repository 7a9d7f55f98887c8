"""Each rule of what must never happen: without its guard it is seen broken, with it it is not."""

import mutants
import pytest

from petrelhaven.simulator.resumable.scene import NEEDS, SCENES, SIZE
from petrelhaven.simulator.resumable.storm import inside

BASE = {"clock_alone": ["no_hold"], "browsing_alone": ["no_hold"]}

GUARDS = [
    ("killed_edge", "nothing_kept", "session closed"),
    ("twins", "one_keeper", "session closed"),
    ("killed_edge", "no_intent", "try took effect twice"),
    ("unanswered", "resent", "try took effect twice"),
    ("unanswered", "tries_forgotten", "try took effect twice"),
    ("unanswered", "lost_is_not_kept", "not kept"),
    ("clock_alone", "any_pair_fits", "missed commit"),
    ("clock_alone", "no_after", "missed commit"),
    ("browsing_alone", "browsing_any_age", "missed commit"),
    ("old_primary_cut", "no_lease", "missed commit"),
    ("primary_lost", "no_hold", "acknowledged commit lost"),
    ("stale_only", "any_candidate", "acknowledged commit lost"),
    ("killed_edge", "no_reset", "session value lost or mixed"),
    ("leaving", "leaving_ignored", "statement to a leaving member"),
    ("emptied", "zones_ignored", "statement to an emptied hall"),
    ("emptied", "no_ramp", "hall taken back at once"),
    ("racing", "acked_at_once", "acknowledged manifest not in force"),
    ("racing", "no_lease", "acknowledged manifest not in force"),
    ("disks", "nothing_synced", "acknowledged manifest lost"),
    ("cold_member", "cold_is_warm", "flooded while cold"),
    ("killed_edge", "no_consent", "session closed"),
    ("frozen_edge", "any_home_may_keep", "session closed"),
    ("rolling", "nothing_handed+nothing_kept", "session closed"),
    ("halves", "no_second_opinion+no_denial", "given up though a third sees it"),
    ("platform_away", "asked_once", "service not back"),
    ("frozen_duty", "promotes_twice", "one epoch promoted twice"),
    ("mending", "handed_over_stale", "slid back"),
    ("platform_mute", "only_the_answer", "waited for an answer"),
    ("replaced", "leaving_ignored", "not replaced"),
    ("idle", "nothing_kept", "session closed"),
    ("warned", "routes_blindly", "not ready"),
    ("warned_late", "nothing_kept", "session closed"),
    ("herd", "no_joining", "herd of fetches"),
    ("region_lost", "slow_suspicion", "service not back"),
    ("region_cut", "slow_suspicion", "service not back"),
    ("overload", "endless_slab", "not shed at once"),
    ("lone_head", "acked_by_the_head+acked_at_once", "acknowledged manifest lost"),
    ("two_disks", "reform_raises_nothing", "not formed anew"),
    ("two_disks_behind", "reform_asks_nobody", "acknowledged manifest lost"),
    ("clock_back", "clocked_incarnation", "not taken in"),
]


def scene(name, *without, seed=1):
    mp = pytest.MonkeyPatch()
    try:
        for m in [*BASE.get(name, []), *without]:
            getattr(mutants, m)(mp)
        return inside(SCENES[name], seed, SIZE.get(name, "small"), **NEEDS.get(name, {}))
    finally:
        mp.undo()


@pytest.mark.parametrize("name", sorted(SCENES))
def test_the_scene_breaks_no_rule(name):
    bad, w = scene(name)
    assert bad == []
    assert w.clients == [] or sum(v.count["ok"] for v in w.clients) > 50


@pytest.mark.parametrize("name", ["region_lost", "region_cut", "twins"])
def test_the_scene_breaks_no_rule_at_the_archivos_size_either(name):
    assert inside(SCENES[name], 2, "archivo", **NEEDS.get(name, {}))[0] == []


@pytest.mark.parametrize("name,guard,rule", GUARDS)
def test_without_its_guard_the_rule_is_seen_broken(name, guard, rule):
    seen = []
    for seed in range(1, 17):
        try:
            seen += scene(name, *guard.split("+"), seed=seed)[0]
        except AssertionError as e:
            pytest.fail(f"the scene could not be played: {e}")
        if any(rule in str(b) for b in seen):
            return
    pytest.fail(str([str(b)[:200] for b in seen[:5]]))


def test_every_guard_is_tried():
    tried = {g for _, gs, _ in GUARDS for g in gs.split("+")} | {
        "share_at_once",
        "epoch_voids_nothing",
        "amnesiac_votes",
    }
    assert tried == set(mutants.__all__)

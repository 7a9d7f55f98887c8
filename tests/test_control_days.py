"""The worst days of control in virtual time, three and five cores; each rule is seen broken once its guard is out."""

import functools

import pytest

from petrelhaven.control.consensus.chain import Chain
from petrelhaven.control.consensus.member_maintenance import MemberMaintenance
from petrelhaven.control.request_router import RequestRouter
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.control.storage import node_store
from petrelhaven.simulator.connection_sessions import control_scenes as scenes
from petrelhaven.simulator.connection_sessions import control_storm as storm
from petrelhaven.simulator.connection_sessions.control_fleet import ControlFleet
from petrelhaven.simulator.connection_sessions.control_judge import judge_orders
from petrelhaven.simulator.connection_sessions.operator_order import ConfigOrder, OrderRecord
from petrelhaven.simulator.connection_sessions.storm import inside

SIZES = pytest.mark.parametrize("losses", [1, 2], ids=["three", "five"])
HEAD, MIDDLE, TAIL = 0, 1, -1


def played(scene, losses, seed=1, **kw):
    """What a scene violated; a fleet that does not even come up counts as one."""

    async def go(fleet):
        try:
            return await scene(fleet, **kw)
        except AssertionError as e:
            return [("stuck", str(e)), *fleet.verdict()]

    return inside(go, seed, ControlFleet, losses=losses)[0]


def rules(bad):
    return {storm.name_of(b) for b in bad}


@SIZES
@pytest.mark.parametrize("place", [HEAD, MIDDLE, TAIL], ids=["head", "middle", "tail"])
@pytest.mark.parametrize("both", [True, False], ids=["silent", "one-way"])
def test_a_core_cut_off_for_twenty_seconds_serves_nothing_old_and_holds_up_no_order(
    losses, place, both
):
    assert played(scenes.core_cut_off, losses, place=place, both=both) == []


def test_a_core_cut_off_that_trusts_its_last_confirmation_serves_old_state(monkeypatch):
    # The order router asks for a majority by itself: either guard alone makes the other's loss good.
    monkeypatch.setattr(Chain, "is_confirmed", property(lambda self: self.is_complete))
    monkeypatch.setattr(RequestRouter, "_require_majority", lambda self: None)
    assert "OLDER READ" in rules(played(scenes.core_cut_off, 1, place=TAIL))


def test_a_refusal_is_a_violation_unless_another_content_was_answered_under_the_number():
    def record(text, **kw):
        return OrderRecord(ConfigOrder(5, text), 1.0, ended=2.0, **kw)

    refused = record("a", refusals=["c1: 409"])
    assert rules(judge_orders([refused], [], [])) == {"REFUSED ORDER"}
    again = record("a", answered=1.5, taken=True)
    assert rules(judge_orders([refused, again], [], [])) == {"REFUSED ORDER"}
    another = record("b", answered=1.5)
    assert judge_orders([refused, another], [], []) == []
    assert rules(judge_orders([refused, another, again], [], [])) == {
        "REFUSED ORDER",
        "TWO CONFIRMED",
    }


@SIZES
def test_raced_orders_sent_again_after_lost_answers_are_never_refused_nor_confirmed_twice(losses):
    assert played(scenes.orders_raced_and_sent_again, losses) == []


def test_without_the_check_of_a_number_two_contents_are_confirmed(monkeypatch):
    monkeypatch.setattr(ControlState, "_check_configuration", lambda self, r: None)
    assert "TWO CONFIRMED" in rules(played(scenes.orders_raced_and_sent_again, 1))


def test_a_number_that_was_overtaken_is_not_confirmed_for_another_content():
    assert [played(scenes.number_overtaken, losses) for losses in (1, 2)] == [[], []]


def test_every_core_is_replaced_in_turn_without_a_word():
    assert played(scenes.replaced_unplanned_in_turn, 1) == []


def test_two_of_five_cores_are_replaced_as_planned_at_once():
    assert played(scenes.replaced_planned_twice, 2) == []


def test_without_a_change_of_who_counts_replacements_leave_no_majority(monkeypatch):
    async def change_members(self, view, reports):
        return

    monkeypatch.setattr(MemberMaintenance, "change_members", change_members)
    bad = inside(scenes.replaced_unplanned_in_turn, 1, ControlFleet, losses=1)
    assert "NOT CAUGHT UP" in rules(bad[0])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_head_lost_as_its_view_is_decided_holds_up_no_order(seed):
    assert played(scenes.head_lost_in_view_change, 2, seed) == []


def test_a_second_loss_right_after_a_change_of_the_chain_leaves_a_majority():
    plays = {
        "two planned replacements": (scenes.replaced_planned_twice, 1),
        "five replaced, never more than two lost": (scenes.replaced_unplanned_in_turn, 2),
    }
    assert {what: rules(played(*how)) for what, how in plays.items()} == dict.fromkeys(plays, set())


@SIZES
@pytest.mark.parametrize("wiped", [False, True], ids=["down", "wiped, more missed than is kept"])
def test_a_core_that_missed_hundreds_of_changes_catches_up_in_bound_and_serves(
    losses, wiped, monkeypatch
):
    if wiped:
        monkeypatch.setattr(node_store, "_MIN_RECENT_RECORDS", 100)
    assert played(scenes.hundreds_of_changes, losses, wiped=wiped) == []


def test_without_the_whole_state_a_core_that_missed_more_than_is_kept_never_catches_up(monkeypatch):
    monkeypatch.setattr(node_store, "_MIN_RECENT_RECORDS", 100)
    monkeypatch.setattr(
        node_store.ControlNodeStore, "reset", lambda self, control_state, mark: None
    )
    assert "NOT CAUGHT UP" in rules(played(scenes.hundreds_of_changes, 1, wiped=True))


def test_an_evacuation_delivered_after_its_end_was_acknowledged_is_not_carried_out():
    assert [played(scenes.evacuation_delivered_late, losses) for losses in (1, 2)] == [[], []]


@pytest.mark.parametrize("seed", [0, 1, 2, 5, 9, 14, 21, 29])
def test_a_piled_storm_breaks_no_rule(seed):
    bad, fleet = storm.run(seed)
    assert bad == []
    assert len(fleet.orders) > 10 and len(fleet.reads) > 10
    assert sum(c.served for c in fleet.clients) > 100


def test_a_violation_is_shrunk_to_fewer_faults_that_still_bring_it(monkeypatch):
    monkeypatch.setattr(ControlState, "_check_configuration", lambda self, r: None)
    rows = [(1.0, "freeze_short", 3), (2.0, "config_race", 5), (3.0, "kill_one", 7)]
    find = functools.partial(storm.run, 2, losses=1)
    broken = [b for b in find(rows)[0] if storm.name_of(b) == "TWO CONFIRMED"]
    left = storm.shrink(2, rows, broken=broken, losses=1)
    assert len(left) < len(rows) and "config_race" in [kind for _, kind, _ in left]
    assert "TWO CONFIRMED" in rules(find(left)[0])

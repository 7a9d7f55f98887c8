"""Fault scenes for three and five control nodes in virtual time.

For each rule, a test removes its safeguard and expects a violation.
"""

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


def violations_of(scene, losses, seed=1, **kw):
    """The violations in a scene. A fleet that does not become ready in time counts as a violation."""

    async def go(fleet):
        try:
            return await scene(fleet, **kw)
        except AssertionError as error:
            return [("stuck", str(error)), *fleet.verdict()]

    return inside(go, seed, ControlFleet, losses=losses)[0]


def rules(violations):
    return {storm.name_of(violation) for violation in violations}


@SIZES
@pytest.mark.parametrize("place", [HEAD, MIDDLE, TAIL], ids=["head", "middle", "tail"])
@pytest.mark.parametrize("both", [True, False], ids=["silent", "one-way"])
def test_a_node_cut_off_for_20_s_serves_no_stale_state_and_delays_no_order(losses, place, both):
    assert violations_of(scenes.core_cut_off, losses, place=place, both=both) == []


def test_a_node_that_ignores_the_age_of_its_confirmation_serves_stale_state(monkeypatch):
    # The order router also requires a majority, and each of the two safeguards is sufficient.
    monkeypatch.setattr(Chain, "is_confirmed", property(lambda self: self.is_complete))
    monkeypatch.setattr(RequestRouter, "_require_majority", lambda self: None)
    assert "OLDER READ" in rules(violations_of(scenes.core_cut_off, 1, place=TAIL))


def test_a_refused_order_is_a_violation_unless_another_content_was_acknowledged_with_its_version():
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
def test_racing_orders_that_are_retried_are_never_refused_or_acknowledged_twice(losses):
    assert violations_of(scenes.orders_raced_and_sent_again, losses) == []


def test_without_the_version_check_two_contents_are_acknowledged(monkeypatch):
    monkeypatch.setattr(ControlState, "_check_configuration", lambda self, record: None)
    assert "TWO CONFIRMED" in rules(violations_of(scenes.orders_raced_and_sent_again, 1))


def test_a_superseded_version_is_not_acknowledged_for_another_content():
    assert [violations_of(scenes.number_overtaken, losses) for losses in (1, 2)] == [[], []]


def test_every_node_is_replaced_in_turn_without_notice():
    assert violations_of(scenes.replaced_unplanned_in_turn, 1) == []


def test_two_of_five_nodes_are_replaced_as_planned_at_the_same_time():
    assert violations_of(scenes.replaced_planned_twice, 2) == []


def test_without_changes_of_the_members_replacements_leave_no_majority(monkeypatch):
    async def change_members(self, view, reports):
        return

    monkeypatch.setattr(MemberMaintenance, "change_members", change_members)
    result = inside(scenes.replaced_unplanned_in_turn, 1, ControlFleet, losses=1)
    assert "NOT CAUGHT UP" in rules(result[0])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_head_lost_while_its_view_is_decided_delays_no_order(seed):
    assert violations_of(scenes.head_lost_in_view_change, 2, seed) == []


def test_a_second_loss_right_after_a_change_of_the_chain_leaves_a_majority():
    scenes_to_run = {
        "two planned replacements": (scenes.replaced_planned_twice, 1),
        "five replaced, never more than two lost": (scenes.replaced_unplanned_in_turn, 2),
    }
    assert {
        name: rules(violations_of(*arguments)) for name, arguments in scenes_to_run.items()
    } == dict.fromkeys(scenes_to_run, set())


@SIZES
@pytest.mark.parametrize(
    "wiped", [False, True], ids=["down", "wiped, with fewer stored records than missed"]
)
def test_a_node_that_missed_hundreds_of_changes_catches_up_in_time_and_serves(
    losses, wiped, monkeypatch
):
    if wiped:
        monkeypatch.setattr(node_store, "_MIN_RECENT_RECORDS", 100)
    assert violations_of(scenes.hundreds_of_changes, losses, wiped=wiped) == []


def test_without_snapshots_a_node_that_missed_more_records_than_are_stored_never_catches_up(
    monkeypatch,
):
    monkeypatch.setattr(node_store, "_MIN_RECENT_RECORDS", 100)
    monkeypatch.setattr(
        node_store.ControlNodeStore, "reset", lambda self, control_state, entered_view: None
    )
    assert "NOT CAUGHT UP" in rules(violations_of(scenes.hundreds_of_changes, 1, wiped=True))


def test_an_evacuation_order_that_arrives_after_the_acknowledged_restoration_is_not_applied():
    assert [violations_of(scenes.evacuation_delivered_late, losses) for losses in (1, 2)] == [
        [],
        [],
    ]


@pytest.mark.parametrize("seed", [0, 1, 2, 5, 9, 14, 21, 29])
def test_a_randomized_run_with_overlapping_faults_violates_no_rule(seed):
    violations, fleet = storm.run(seed)
    assert violations == []
    assert len(fleet.orders) > 10 and len(fleet.reads) > 10
    assert sum(client.served for client in fleet.clients) > 100


def test_a_violating_schedule_is_shrunk_to_fewer_faults_with_the_same_violation(monkeypatch):
    monkeypatch.setattr(ControlState, "_check_configuration", lambda self, record: None)
    faults = [(1.0, "freeze_short", 3), (2.0, "config_race", 5), (3.0, "kill_one", 7)]
    run = functools.partial(storm.run, 2, losses=1)
    broken = [
        violation for violation in run(faults)[0] if storm.name_of(violation) == "TWO CONFIRMED"
    ]
    remaining = storm.shrink(2, faults, broken=broken, losses=1)
    assert len(remaining) < len(faults) and "config_race" in [kind for _, kind, _ in remaining]
    assert "TWO CONFIRMED" in rules(run(remaining)[0])

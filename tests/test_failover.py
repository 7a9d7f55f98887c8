"""Failover of a simulated group that keeps committing: no acknowledged commit may be lost."""

import asyncio

import pytest
from failover_model import GENERATED, Member, run_simulated
from hypothesis import given
from hypothesis import strategies as st

from petrelhaven.runtime.errors import Conflict, Invalid


def test_failover_of_an_unreachable_primary_takes_its_steps_in_order():
    async def go(group):
        group.in_force_delay_s = 0.3
        group.trace.clear()
        group.set_reachability("p", running=False)
        group.coordinator.suspect("g", "p", "refused")
        await group.wait_until(lambda: group.promoted_names and group.settled)
        failover_number = next(entry[2] for entry in group.trace if entry[0] == "move")
        candidate = group.promoted_names[0]
        assert group.trace_index("move", "p") < min(
            group.trace_index("pause", "r1"), group.trace_index("pause", "r2")
        )
        fencing_token = max(entry[2] for entry in group.trace if entry[0] == "move")
        assert (
            max(group.trace_index("pause", "r1"), group.trace_index("pause", "r2"))
            < group.trace_index("in force", fencing_token)
            < group.trace_index("promote", candidate, fencing_token)
        )
        assert fencing_token > failover_number
        assert (
            group.trace_index("promote")
            < group.trace_index("leads", candidate)
            < group.trace_index("serve", candidate)
        )
        other = ({"r1", "r2"} - {candidate}).pop()
        await group.wait_until(
            lambda: ("resume", other) in group.trace[group.trace_index("serve", candidate) :], 1
        )
        assert (
            len(group.promoted_names) == 1
            and group.leadership["term"] == 2
            and not group.coordinator.wait_reasons
        )
        group.set_reachability("p", True, True)
        await group.wait_until(lambda: "g" not in group.coordinator.resumption.pending)
        await asyncio.sleep(5)
        assert group.leadership["primary"] == candidate and len(group.promoted_names) == 1

    run_simulated(go)


@pytest.mark.parametrize("most_advanced", ["r1", "r2"])
def test_the_replica_with_the_most_advanced_log_is_elected(most_advanced):
    async def go(group):
        group.members[({"r1", "r2"} - {most_advanced}).pop()].receiving = False
        await asyncio.sleep(1)
        group.set_reachability("p")
        group.coordinator.suspect("g", "p", "mute")
        await group.wait_until(lambda: group.promoted_names and group.settled)
        assert group.promoted_names == [most_advanced]

    run_simulated(go, zones={"r1": "b", "r2": "a"})


@pytest.mark.parametrize("state", [(False, True), (True, False), (False, False)])
@pytest.mark.parametrize("unresponsive", ["r1", "r2"])
def test_no_replica_is_promoted_while_one_is_unresponsive(unresponsive, state):
    async def go(group):
        group.set_reachability("p", running=False)
        group.set_reachability(unresponsive, *state)
        group.coordinator.suspect("g", "p", "mute")
        await group.wait_until(lambda: group.leadership["phase"] == "move", 2)
        await asyncio.sleep(30)
        assert (
            group.promoted_names == []
            and group.leadership["phase"] == "move"
            and group.leadership["stuck"]
            and unresponsive in group.coordinator.wait_reasons["g"]
        )
        assert sum(entry[0] == "move" and entry[3] for entry in group.trace) == 1
        group.set_reachability(unresponsive, True, True)
        await group.wait_until(lambda: group.promoted_names and group.settled)
        assert not group.leadership["stuck"]

    run_simulated(go)


def test_failover_waits_for_the_log_of_a_member_that_left():
    async def go(group):
        group.members["r2"].receiving = False
        await asyncio.sleep(0.5)
        group.apply_record({"t": "member", "name": "r1", "state": "gone", "addr": "1.1.1.1:1"})
        group.set_reachability("p", running=False)
        group.coordinator.suspect("g", "p", "refused")
        await asyncio.sleep(10)
        assert group.promoted_names == [] and group.leadership["stuck"]
        new = group.members["r1n"] = Member("r1n", "replica")
        new.position = group.members["r1"].position
        group.apply_record(
            {
                "t": "member",
                "name": "r1n",
                "group": "g",
                "hall": "a",
                "addr": "1.1.1.1:1",
                "role": "replica",
                "state": "ready",
                "slots": 5,
                "count": 1,
            }
        )
        await group.wait_until(lambda: group.promoted_names and group.settled)
        assert group.promoted_names == ["r1n"]

    run_simulated(go)


def test_a_replica_that_loses_its_pause_before_the_promotion_is_paused_again():
    async def go(group):
        group.in_force_delay_s = 1.0
        group.set_reachability("p")
        group.coordinator.suspect("g", "p", "mute")
        await group.wait_until(
            lambda: all(group.members[name].paused_term for name in ("r1", "r2"))
        )
        await asyncio.sleep(0.2)
        group.members["r2"].paused_term = 0
        await group.wait_until(lambda: group.promoted_names and group.settled)
        assert sum(entry[:2] == ("pause", "r2") for entry in group.trace) >= 2

    run_simulated(go)


@pytest.mark.parametrize("most_advanced", ["r1", "r2"])
def test_a_pause_without_an_answer_is_repeated_before_an_election(most_advanced):
    """The pause may cover commits that the last status of the member doesn't show."""

    async def go(group):
        group.members[({"r1", "r2"} - {most_advanced}).pop()].receiving = False
        group.members[most_advanced].loses_answers = True
        group.set_reachability("p")
        group.coordinator.suspect("g", "p", "mute")
        await asyncio.sleep(5)
        assert group.promoted_names == [] and "paused" in group.coordinator.wait_reasons["g"]
        group.members[most_advanced].loses_answers = False
        await group.wait_until(lambda: group.promoted_names and group.settled)
        assert group.promoted_names == [most_advanced]

    run_simulated(go)


def test_a_primary_that_answers_again_stays_primary():
    async def go(group):
        group.set_reachability("p")
        group.set_reachability("r1")
        group.coordinator.suspect("g", "p", "mute")
        await group.wait_until(lambda: group.leadership["phase"] == "move")
        await asyncio.sleep(2)
        group.set_reachability("p", True)
        await group.wait_until(lambda: group.leadership["phase"] == "serve")
        assert group.leadership["primary"] == "p" and group.promoted_names == []
        group.set_reachability("r1", True)
        await group.wait_until(lambda: group.settled)

    run_simulated(go)


@pytest.mark.parametrize(
    "observations",
    [{"c2": "up:primary", "c3": "same"}, {"c2": "up:busy", "c3": None}, {"c2": None, "c3": None}],
)
def test_a_primary_stays_unless_a_majority_of_control_nodes_finds_it_unreachable(observations):
    async def go(group):
        group.observations = observations
        group.set_reachability("p")
        for _ in range(10):
            group.coordinator.suspect("g", "p", "mute")
            await asyncio.sleep(1)
        assert (
            group.leadership["phase"] == "serve"
            and group.promoted_names == []
            and not any(member.paused_term for member in group.members.values())
        )
        group.observations = {"c2": "mute", "c3": "mute"}
        group.coordinator.suspect("g", "p", "mute")
        await group.wait_until(lambda: group.promoted_names and group.leadership["primary"] != "p")

    run_simulated(go)


def test_a_suspicion_of_a_member_that_is_not_the_primary_starts_no_failover():
    async def go(group):
        group.set_reachability("r1")
        group.coordinator.suspect("g", "r1", "mute")
        group.coordinator.suspect("h", "p", "mute")
        await asyncio.sleep(3)
        assert group.leadership["phase"] == "serve" and group.trace == group.trace[:1]

    run_simulated(go)


def test_missing_heartbeats_raise_a_suspicion():
    async def go(group):
        group.set_reachability("p", running=False)
        group.last_heartbeats["p"] = (group.clock.now(), 1)
        await asyncio.sleep(2.3)
        assert group.leadership["phase"] == "serve"
        await group.wait_until(lambda: group.promoted_names and group.settled, 3)

    run_simulated(go)


@pytest.mark.parametrize(
    "leave",
    [
        lambda group: group.set_member_state("p", "draining"),
        lambda group: group.apply_record(
            {"t": "hall", "hall": "b", "state": "emptied", "by": "op"}
        ),
    ],
)
def test_a_switchover_waits_until_the_candidate_has_caught_up(leave):
    async def go(group):
        group.trace.clear()
        for name in ("r1", "r2"):
            group.members[name].receiving = name == "r2"
        await asyncio.sleep(0.5)
        group.members["r2"].receiving = False
        group.commit_once()
        leave(group)
        await asyncio.sleep(3)
        assert (
            group.promoted_names == []
            and group.leadership["phase"] == "swap"
            and group.members["p"].role == "primary"
        )
        assert "catches up" in group.coordinator.wait_reasons["g"]
        group.members["r2"].receiving = True
        await group.wait_until(lambda: group.promoted_names and group.settled)
        assert group.promoted_names == ["r2"] and group.leadership["primary"] == "r2"
        fencing_token = max(entry[2] for entry in group.trace if entry[0] == "swap")
        assert (
            group.trace_index("pause", "r1")
            < group.trace_index("in force", fencing_token)
            < group.trace_index("promote", "r2", fencing_token)
            < group.trace_index("serve", "r2")
        )
        assert ("pause", "r2") not in [entry[:2] for entry in group.trace]

    run_simulated(go, zones={"p": "b"})


def test_a_switchover_without_a_candidate_in_time_is_cancelled():
    async def go(group):
        for name in ("r1", "r2"):
            group.members[name].receiving = False
        await asyncio.sleep(0.1)
        group.set_member_state("p", "draining")
        await group.wait_until(
            lambda: ("serve", "p") in [entry[:2] for entry in group.trace[1:]], 15
        )
        await group.wait_until(
            lambda: not any(member.paused_term for member in group.members.values())
        )
        assert group.promoted_names == []
        for name in ("r1", "r2"):
            group.members[name].receiving = True
        await group.wait_until(lambda: group.promoted_names and group.settled)

    run_simulated(go)


def test_a_switchover_promotes_only_a_member_that_stays():
    async def go(group):
        for name in ("r1", "r2"):
            group.set_member_state(name, "draining")
        group.set_member_state("p", "draining")
        await asyncio.sleep(5)
        assert (
            group.promoted_names == []
            and group.leadership["phase"] == "serve"
            and group.coordinator.wait_reasons["g"] == "no candidate for a planned move"
        )
        group.set_member_state("r2", "ready")
        await group.wait_until(lambda: group.promoted_names and group.settled)
        assert group.promoted_names == ["r2"]

    run_simulated(go)


def test_a_primary_that_ends_during_its_switchover_is_replaced():
    async def go(group):
        for name in ("r1", "r2"):
            group.members[name].receiving = False
        await asyncio.sleep(0.1)
        group.set_member_state("p", "draining")
        await group.wait_until(lambda: group.leadership["phase"] == "swap")
        await asyncio.sleep(0.5)
        group.set_reachability("p", running=False)
        await group.wait_until(lambda: group.promoted_names and group.settled)

    run_simulated(go)


@pytest.mark.parametrize("role", ["is_head", "is_active"])
def test_a_control_node_that_loses_its_role_requests_no_promotion(role):
    async def go(group):
        group.in_force_delay_s = 1.0
        group.set_reachability("p", running=False)
        group.coordinator.suspect("g", "p", "refused")
        await group.wait_until(
            lambda: all(group.members[name].paused_term for name in ("r1", "r2"))
        )
        setattr(group.chain, role, False)
        await asyncio.sleep(10)
        assert group.promoted_names == [] and group.leadership["phase"] == "move"
        setattr(group.chain, role, True)
        await group.wait_until(lambda: group.promoted_names and group.settled)

    run_simulated(go)


@pytest.mark.parametrize("outcome", ["unsent", "fenced", "unanswered"])
def test_the_leadership_follows_the_members_whatever_the_platform_answers(outcome):
    async def go(group):
        group.platform_outcomes = [outcome] * (1 if outcome == "unanswered" else 3)
        group.set_reachability("p", running=False)
        group.coordinator.suspect("g", "p", "refused")
        await group.wait_until(lambda: group.promoted_names and group.settled)
        assert len(group.promoted_names) == (1 if outcome == "unanswered" else 4)
        assert group.members[group.leadership["primary"]].role == "primary"

    run_simulated(go)


def test_a_primary_that_answers_after_a_promotion_request_serves_only_after_fencing():
    async def go(group):
        group.platform_outcomes = ["lost"] * 99
        group.set_reachability("p")
        group.coordinator.suspect("g", "p", "mute")
        await group.wait_until(lambda: group.promoted_names)
        group.set_reachability("r1")
        await asyncio.sleep(3)
        group.platform_outcomes, group.promoted_names[:] = [], []
        group.set_reachability("p", True)
        await group.wait_until(lambda: group.leadership["phase"] == "serve")
        fencing_tokens = [entry[2] for entry in group.trace if entry[0] == "promote"]
        assert (
            group.leadership["primary"] == "p"
            and group.promoted_names == ["p"]
            and fencing_tokens[-1] > max(fencing_tokens[:-1])
        )
        assert (
            group.trace[-1][:2] == ("serve", "p")
            and group.trace_index("promote", "p") < len(group.trace) - 1
        )
        group.set_reachability("r1", True)
        await group.wait_until(lambda: group.settled)

    run_simulated(go)


def test_a_promotion_accepted_before_the_failover_is_cancelled_loses_no_commit():
    """The answer is lost, and the old primary answers again before the promotion takes effect."""

    async def go(group):
        group.promotion_delay_s, group.platform_outcomes = 1.0, ["unanswered"]
        group.set_reachability("p")
        group.coordinator.suspect("g", "p", "mute")
        await group.wait_until(lambda: group.promoted_names)
        candidate = group.promoted_names[0]
        other = ({"r1", "r2"} - {candidate}).pop()
        group.set_reachability("p", True)
        group.members[candidate].receiving = False
        await group.wait_until(lambda: ("leads", candidate) in group.trace and group.settled)
        assert group.members[other].position >= group.acknowledged

    run_simulated(go)


@pytest.mark.parametrize("drains", [False, True])
def test_a_new_head_promotes_no_member_besides_the_candidate_of_the_former_head(drains):
    """The record names the members that may still be promoted, even if one starts to drain."""

    async def go(group):
        group.promotion_delay_s, group.platform_outcomes = 1.5, ["unanswered"]
        group.set_member_state("p", "draining")
        await group.wait_until(lambda: group.promoted_names)
        candidate = group.promoted_names[0]
        group.chain.is_head = False
        await asyncio.sleep(0.2)
        if drains:
            group.set_member_state(candidate, "draining")
        group.chain.is_head = True
        await group.wait_until(lambda: ("leads", candidate) in group.trace and group.settled)
        if not drains:
            assert set(group.promoted_names) == {candidate}

    run_simulated(go)


def test_a_cancelled_failover_keeps_replicas_paused_until_no_promotion_can_take_effect():
    """The candidate is unreachable, so the change is cancelled, but its promotion is pending."""

    async def go(group):
        group.promotion_delay_s, group.platform_outcomes = 2.0, ["unanswered"]
        group.set_reachability("p")
        group.coordinator.suspect("g", "p", "mute")
        await group.wait_until(lambda: group.promoted_names)
        candidate = group.promoted_names[0]
        group.members[candidate].receiving = False
        group.set_reachability(candidate)
        group.set_reachability("p", True)
        await group.wait_until(lambda: ("leads", candidate) in group.trace)
        group.set_reachability(candidate, True)
        await group.wait_until(lambda: group.settled)
        assert group.leadership["primary"] == candidate

    run_simulated(go)


def test_each_promotion_request_has_its_own_fencing_token():
    async def go(group):
        group.platform_outcomes = ["unsent", "unanswered"]
        group.set_reachability("p", running=False)
        group.coordinator.suspect("g", "p", "refused")
        await group.wait_until(lambda: group.promoted_names and group.settled)
        fencing_tokens = [entry[2] for entry in group.trace if entry[0] == "promote"]
        assert len(fencing_tokens) >= 2 and fencing_tokens == sorted(set(fencing_tokens))

    run_simulated(go)


def test_a_new_head_resumes_paused_replicas():
    async def go(group):
        group.chain.is_head = False
        await asyncio.sleep(1)
        group.members["r1"].paused_term = 7
        await asyncio.sleep(5)
        assert group.members["r1"].paused_term == 7
        group.chain.is_head = True
        await group.wait_until(lambda: not group.members["r1"].paused_term)
        group.members["r2"].reachable = False
        group.chain.is_head = False
        await asyncio.sleep(1)
        group.members["r2"].paused_term = 7
        group.chain.is_head = True
        await asyncio.sleep(5)
        group.members["r2"].reachable = True
        await group.wait_until(lambda: not group.members["r2"].paused_term)

    run_simulated(go)


def test_a_member_that_reports_to_be_primary_is_recorded():
    async def go(group):
        group.become_primary("r1" if group.members["r1"].position >= group.acknowledged else "r2")
        new = next(name for name, member in group.members.items() if member.role == "primary")
        group.coordinator.suspect("g", "p", "replica")
        await group.wait_until(
            lambda: group.leadership["primary"] == new and group.leadership["phase"] == "serve"
        )
        assert group.promoted_names == []

    run_simulated(go)


def test_two_overlapping_member_replacements_keep_the_group_available():
    """Each new member joins before the old one drains, so that there are five members at once."""

    async def go(group):
        group.join("n1")
        first_departure = asyncio.ensure_future(group.drain_and_end("p"))
        await group.wait_until(lambda: group.promoted_names and group.settled)
        group.join("n2")
        await asyncio.sleep(3)
        second_primary = group.leadership["primary"]
        group.members["r1" if second_primary != "r1" else "r2"].receiving = False
        other = asyncio.ensure_future(group.drain_and_end(second_primary))
        await group.wait_until(
            lambda: group.leadership["primary"] not in ("p", second_primary) and group.settled, 6
        )
        await first_departure
        await other
        await group.wait_until(lambda: not group.evidence.unproven, 5)
        last_primary = group.leadership["primary"]
        group.set_reachability(last_primary, running=False)
        group.members["r1" if second_primary != "r1" else "r2"].receiving = True
        group.coordinator.suspect("g", last_primary, "refused")
        await group.wait_until(
            lambda: group.leadership["primary"] != last_primary and group.settled, 5
        )

    run_simulated(go)


def test_a_draining_replica_is_counted_out_before_it_ends():
    async def go(group):
        group.members["r2"].receiving = False
        departure = asyncio.ensure_future(group.drain_and_end("r1"))
        await asyncio.sleep(4)
        assert not group.members["r1"].paused_term, "paused while no other replica receives"
        group.members["r2"].receiving = True
        await group.wait_until(lambda: group.evidence.counted_out, 2)
        assert (
            group.members["r1"].paused_term
            and group.evidence.counted_out["r1"] == group.members["r1"].position
        )
        await departure
        assert (
            not group.evidence.unproven
            and group.evidence.lower_bound == group.members["r1"].position
        )
        group.set_reachability("p", running=False)
        group.coordinator.suspect("g", "p", "refused")
        await group.wait_until(lambda: group.promoted_names and group.settled, 5)
        assert group.promoted_names == ["r2"]

    run_simulated(go)


def test_a_counted_out_replica_is_counted_in_while_no_other_receives():
    async def go(group):
        departure = asyncio.ensure_future(group.drain_and_end("r1", 20))
        await group.wait_until(lambda: group.members["r1"].paused_term, 2)
        group.members["r2"].receiving = False
        await group.wait_until(lambda: not group.members["r1"].paused_term, 4)
        assert not group.evidence.counted_out
        group.members["r2"].receiving = True
        await group.wait_until(lambda: group.members["r1"].paused_term, 4)
        await departure

    run_simulated(go)


def test_failover_waits_for_a_departed_log_until_the_primary_bounds_it():
    """The other replica receives nothing, so the draining one isn't paused and may be needed."""

    async def go(group):
        group.members["r2"].receiving = False
        await group.drain_and_end("r1")
        assert group.evidence.unproven == ("r1",)
        group.set_reachability("p")
        group.coordinator.suspect("g", "p", "mute")
        await asyncio.sleep(8)
        assert (
            group.promoted_names == []
            and group.leadership["stuck"]
            and "r1" in group.coordinator.wait_reasons["g"]
        )
        group.set_reachability("p", True)
        group.members["r2"].receiving = True
        await group.wait_until(lambda: group.settled and not group.evidence.unproven)
        await asyncio.sleep(1)
        group.set_reachability("p", running=False)
        group.coordinator.suspect("g", "p", "refused")
        await group.wait_until(lambda: group.promoted_names and group.settled)
        assert group.promoted_names == ["r2"]

    run_simulated(go)


def test_failover_waits_for_a_new_primary_that_ends_before_a_replica_has_its_log():
    async def go(group):
        for name in ("r1", "r2"):
            group.members[name].receiving = name == "r1"
        await asyncio.sleep(0.5)
        group.set_reachability("p", running=False)
        group.coordinator.suspect("g", "p", "refused")
        await group.wait_until(
            lambda: group.leadership["primary"] == "r1" and group.leadership["phase"] == "serve"
        )
        group.apply_record({"t": "member", "name": "p", "state": "gone", "addr": "1.1.1.1:0"})
        group.join("n1")
        await asyncio.sleep(0.2)
        group.members["n1"].receiving = False
        group.set_reachability("r1", running=False)
        group.coordinator.suspect("g", "r1", "refused")
        await asyncio.sleep(5)
        assert group.promoted_names == ["r1"] and group.leadership["stuck"]
        group.set_reachability("r1", True, True)
        group.members["r2"].receiving = True
        await group.wait_until(lambda: group.settled)

    run_simulated(go)


@pytest.mark.parametrize("name", ["r1", "p"])
def test_a_member_that_ended_unannounced_after_draining_is_signed_off(name):
    async def go(group):
        await group.drain_and_end(name, signs_off=False)
        await group.wait_until(
            lambda: group.chain.control_state.doc["members"][name]["state"] == "gone", 8
        )
        await group.wait_until(lambda: group.settled and not group.evidence.unproven, 8)
        assert group.members[group.leadership["primary"]].running

    run_simulated(go)


@pytest.mark.parametrize("restarted", [False, True])
def test_a_new_head_keeps_members_counted_out(restarted):
    async def go(group):
        departure = asyncio.ensure_future(group.drain_and_end("r1", 12))
        await group.wait_until(lambda: group.evidence.counted_out)
        group.chain.is_head = False
        await asyncio.sleep(1)
        if restarted:
            group.members["r1"].paused_term = 0
        group.chain.is_head = True
        await asyncio.sleep(2)
        assert (
            group.members["r1"].paused_term
            and group.evidence.counted_out["r1"] == group.members["r1"].position
        )
        await departure
        group.set_reachability("p", running=False)
        group.coordinator.suspect("g", "p", "refused")
        await group.wait_until(lambda: group.promoted_names and group.settled, 5)

    run_simulated(go)


def test_a_candidate_that_starts_to_drain_during_its_promotion_is_not_paused():
    """If paused, it would lack commits that a newly joined member receives from the primary."""

    async def go(group):
        group.promotion_delay_s = 1.0
        group.set_member_state("p", "draining")
        await group.wait_until(lambda: group.promoted_names)
        candidate = group.promoted_names[0]
        group.join("n1")
        group.set_member_state(candidate, "draining")
        await asyncio.sleep(0.3)
        assert group.members["n1"].paused_term and not group.members[candidate].paused_term
        await group.wait_until(lambda: group.members[candidate].role == "primary")
        await group.wait_until(
            lambda: group.leadership["primary"] not in ("p", candidate) and group.settled
        )

    run_simulated(go)


def test_a_switchover_waits_for_an_unresponsive_counted_out_member():
    """After a restart during the switchover it would receive commits that the candidate lacks."""

    async def go(group):
        departure = asyncio.ensure_future(group.drain_and_end("r1", 15))
        await group.wait_until(lambda: group.evidence.counted_out)
        group.set_reachability("r1", running=False)
        group.join("n1")
        group.set_member_state("p", "draining")
        await asyncio.sleep(2)
        assert group.promoted_names == [] and "r1" in group.coordinator.wait_reasons["g"]
        group.set_reachability("r1", True, True)
        group.members["r1"].paused_term = 0
        await group.wait_until(lambda: group.promoted_names and group.settled)
        await departure

    run_simulated(go)


def test_a_candidate_that_starts_to_drain_before_its_promotion_request_is_not_promoted():
    async def go(group):
        group.in_force_delay_s = 1.0
        group.set_member_state("p", "draining")
        await group.wait_until(
            lambda: group.members["r1"].paused_term or group.members["r2"].paused_term
        )
        candidate = "r1" if group.members["r2"].paused_term else "r2"
        await asyncio.sleep(0.3)
        group.set_member_state(candidate, "draining")
        await group.wait_until(lambda: group.promoted_names and group.settled)
        assert candidate not in group.promoted_names

    run_simulated(go)


def test_an_election_order_ends_a_wait_without_proof_and_is_recorded():
    async def go(group):
        group.members["r2"].receiving = False
        await group.drain_and_end("r1")
        group.set_reachability("p", running=False)
        group.coordinator.suspect("g", "p", "refused")
        await asyncio.sleep(5)
        assert (
            group.promoted_names == []
            and "petrelhavenctl elect" in group.coordinator.wait_reasons["g"]
        )
        group.acknowledged = (1, 0)
        order = {"t": "evidence", "group": "g", "what": "order", "member": "r2", "by": "anna"}
        with pytest.raises(Conflict):
            group.apply_record({**order, "n": group.leadership["n"] - 1})
        with pytest.raises(Invalid):
            group.apply_record({**order, "n": group.leadership["n"], "member": "r1"})
        group.apply_record({**order, "n": group.leadership["n"]})
        await group.wait_until(lambda: group.promoted_names and group.settled, 5)
        assert group.promoted_names == ["r2"] and group.leadership["accepted_loss"] == "anna"
        assert not group.evidence.unproven and group.evidence.order is None
        with pytest.raises(Invalid):
            group.apply_record({**order, "n": group.leadership["n"]})

    run_simulated(go)


EVENT = st.tuples(
    st.sampled_from(
        [
            "unreachable",
            "unreachable",
            "ended",
            "back",
            "back",
            "lag",
            "receive",
            "lose answers",
            "restart",
            "drain",
            "ready",
            "evacuate",
            "open",
            "suspect",
            "suspect",
            "long delay",
            "no delay",
            "head lost",
            "head back",
            "platform",
        ]
    ),
    st.sampled_from(["p", "r1", "r2"]),
    st.sampled_from([0.0, 0.05, 0.2, 0.7, 2.0]),
)


@GENERATED
@given(st.lists(EVENT, min_size=4, max_size=25), st.randoms(use_true_random=False))
def test_a_promoted_member_holds_all_acknowledged_commits_under_generated_faults(events, rng):
    async def go(group):
        group.rng = rng
        for kind, name, seconds in events:
            member = group.members[name]
            if kind in ("unreachable", "ended", "back"):
                group.set_reachability(name, kind == "back" or kind == "ended", kind != "ended")
            elif kind in ("lag", "receive"):
                member.receiving = kind == "receive"
            elif kind == "lose answers":
                member.loses_answers = not member.loses_answers
            elif kind == "restart":
                member.paused_term = 0
            elif kind in ("drain", "ready"):
                state = "draining" if kind == "drain" else "ready"
                if group.chain.control_state.doc["members"][name]["state"] != state:
                    group.set_member_state(name, state)
            elif kind in ("evacuate", "open"):
                state = "emptied" if kind == "evacuate" else "open"
                if group.chain.control_state.zone_state("b") != state:
                    group.apply_record({"t": "hall", "hall": "b", "state": state, "by": "op"})
            elif kind == "suspect":
                group.coordinator.suspect("g", group.leadership["primary"], "mute")
            elif "delay" in kind:
                group.in_force_delay_s = 1.5 if kind == "long delay" else 0.0
            elif "head" in kind:
                group.chain.is_head = kind == "head back"
            else:
                group.platform_outcomes = [
                    rng.choice(["unsent", "fenced", "unanswered"]) for _ in range(2)
                ]
            await asyncio.sleep(seconds)
        group.chain.is_head, group.in_force_delay_s, group.platform_outcomes = True, 0.0, []
        for name, member in group.members.items():
            member.reachable = member.running = member.receiving = True
            member.loses_answers = False
        group.coordinator.suspect("g", group.leadership["primary"], "mute")
        await group.wait_until(
            lambda: group.settled and "g" not in group.coordinator.resumption.pending, 60
        )

    run_simulated(go, zones={"p": "b", "r2": "b"})

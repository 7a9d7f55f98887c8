"""Failover beside lost replicas, which may live and receive: no acknowledged commit rests on one that is left out."""

import asyncio

import pytest
from failover_model import run_simulated


def end_unannounced(group, name):
    """Ends a replica without signing off; a control node misses its heartbeats."""
    group.set_reachability(name, True, False)
    group.coordinator.suspect("g", name, "no beats")


def test_a_permanently_lost_replica_does_not_delay_the_next_failover():
    async def go(group):
        end_unannounced(group, "r1")
        await group.wait_until(lambda: "r1" in group.evidence.counted_out, 4)
        await asyncio.sleep(2)
        group.set_reachability("p")
        group.coordinator.suspect("g", "p", "mute")
        await group.wait_until(
            lambda: group.leadership["primary"] == "r2" and group.leadership["phase"] == "serve", 6
        )
        assert group.promoted_names == ["r2"]

    run_simulated(go)


def test_failover_waits_for_an_unreachable_replica_that_may_be_alive():
    """A lost replica that returns where no control node reaches it may receive the log."""

    async def go(group):
        end_unannounced(group, "r1")
        await group.wait_until(lambda: "r1" in group.evidence.counted_out, 4)
        group.set_reachability("r1")
        group.set_reachability("p")
        group.coordinator.suspect("g", "p", "mute")
        await asyncio.sleep(8)
        assert group.promoted_names == [] and group.leadership["stuck"]

    run_simulated(go)


@pytest.mark.parametrize("unreachable", [False, True])
def test_a_lost_replica_that_returns_is_counted_in(unreachable):
    async def go(group):
        end_unannounced(group, "r1")
        await group.wait_until(lambda: "r1" in group.evidence.counted_out, 4)
        group.set_reachability("r1", not unreachable, True)
        await group.wait_until(lambda: not group.evidence.counted_out, 3)
        group.set_reachability("r1", True, True)
        await group.wait_until(lambda: group.settled)
        group.set_reachability("p", running=False)
        group.coordinator.suspect("g", "p", "refused")
        await group.wait_until(lambda: group.promoted_names and group.settled)

    run_simulated(go)


def test_a_lost_replica_that_returns_during_a_switchover_stays_paused_until_its_end():
    """Only the candidate may receive; else the other replica alone could hold the last commits.

    A generated schedule found this fault.
    """

    async def go(group):
        end_unannounced(group, "r1")
        await group.wait_until(lambda: "r1" in group.evidence.counted_out, 4)
        group.in_force_delay_s = 1.5
        group.set_member_state("p", "draining")
        await group.wait_until(lambda: group.leadership["phase"] == "swap", 2)
        group.set_reachability("r1", True, True)
        group.trace.clear()
        await group.wait_until(
            lambda: group.promoted_names and group.leadership["phase"] == "serve"
        )
        before = group.trace[: group.trace_index("serve", "r2")]
        assert ("resume", "r1") not in before and ("pause", "r1") in [entry[:2] for entry in before]

    run_simulated(go)


def test_a_replica_lost_while_no_other_receives_is_not_counted_out():
    async def go(group):
        group.members["r2"].receiving = False
        await asyncio.sleep(0.5)
        end_unannounced(group, "r1")
        await asyncio.sleep(4)
        assert not group.evidence.counted_out
        group.members["r2"].receiving = True
        await group.wait_until(lambda: "r1" in group.evidence.counted_out, 4)

    run_simulated(go)


def cut_off_by_resets(group, name):
    """Cuts a replica off from the control nodes alone; they can't tell this from its end."""
    group.members[name].refuses_control = True
    group.coordinator.suspect("g", name, "no beats")


def crash_primary(group):
    group.set_reachability("p", running=False)
    group.coordinator.suspect("g", "p", "refused")


def test_commits_that_only_a_replica_cut_off_by_resets_has_are_not_acknowledged():
    """Guards against lost commits: the replica was counted out, though it still received the log."""

    async def go(group):
        cut_off_by_resets(group, "r1")
        await group.wait_until(lambda: "r1" in group.evidence.counted_out, 4)
        group.members["r2"].receiving = False
        await asyncio.sleep(0.5)
        assert group.members["r1"].position > group.members["r2"].position
        crash_primary(group)
        await group.wait_until(lambda: group.promoted_names and group.settled, 6)
        assert group.promoted_names == ["r2"]

    run_simulated(go)


@pytest.mark.parametrize("crash_after_s", [0.05, 0.2, 0.35])
def test_a_lost_replica_that_returns_and_alone_receives_is_elected(crash_after_s):
    """Guards against lost commits: a returned replica's log was read, but left out of the election."""

    async def go(group):
        end_unannounced(group, "r1")
        await group.wait_until(lambda: "r1" in group.evidence.counted_out, 4)
        await asyncio.sleep(2)
        group.members["r2"].receiving = False
        group.set_reachability("r1", True, True)
        await asyncio.sleep(crash_after_s)
        crash_primary(group)
        await group.wait_until(lambda: group.promoted_names and group.settled, 6)
        assert group.promoted_names == ["r1"]

    run_simulated(go)


def test_a_lost_replica_is_needed_until_every_proxy_knows_that_it_has_no_vote():
    """Guards against lost commits that a proxy acknowledged because of that replica alone."""

    async def go(group):
        group.in_force_delay_s = 1.0
        cut_off_by_resets(group, "r1")
        await group.wait_until(lambda: "r1" in group.evidence.non_voting, 4)
        group.members["r2"].receiving = False
        await asyncio.sleep(0.8)
        assert not group.evidence.counted_out and group.acknowledged > group.members["r2"].position
        crash_primary(group)
        await asyncio.sleep(4)
        assert group.promoted_names == []
        group.members["r1"].refuses_control = False
        await group.wait_until(lambda: group.promoted_names and group.settled, 6)
        assert group.promoted_names == ["r1"]

    run_simulated(go)


def test_a_replica_that_was_cut_off_by_resets_votes_again():
    async def go(group):
        cut_off_by_resets(group, "r1")
        await group.wait_until(lambda: "r1" in group.evidence.counted_out, 4)
        group.members["r2"].receiving = False
        group.members["r1"].refuses_control = False
        await group.wait_until(
            lambda: not group.evidence.counted_out and not group.evidence.non_voting, 1
        )
        await asyncio.sleep(0.1)
        assert group.acknowledged > group.members["r2"].position

    run_simulated(go)


def test_a_member_that_signed_off_behind_a_partition_costs_no_acknowledged_commit():
    """It serves on after its sign-off, and the control nodes take its refusals for its end."""

    async def go(group):
        group.members["r1"].refuses_control = True
        row = group.chain.control_state.doc["members"]["r1"]
        group.apply_record({"t": "member", "name": "r1", "state": "gone", "addr": row["addr"]})
        await group.wait_until(lambda: not group.evidence.unproven, 4)
        group.members["r2"].receiving = False
        await asyncio.sleep(0.5)
        crash_primary(group)
        await asyncio.sleep(8)

    run_simulated(go)


def test_a_draining_replica_that_restarts_and_alone_receives_costs_no_acknowledged_commit():
    """Its pause ends with the restart, and it ends before the next round reads its log."""

    async def go(group):
        group.set_member_state("r1", "draining")
        await group.wait_until(lambda: "r1" in group.evidence.counted_out, 4)
        group.members["r2"].receiving = False
        group.members["r1"].paused_term = 0
        await asyncio.sleep(0.1)
        group.end_member("r1", signs_off=False)
        crash_primary(group)
        await asyncio.sleep(8)

    run_simulated(go)


def test_a_crash_beside_an_unannounced_member_costs_no_acknowledged_commit():
    """Guards against lost commits: the control nodes know nothing of the only replica that received them."""

    async def go(group):
        group.start_unannounced("n1")
        for name in ("r1", "r2"):
            group.members[name].receiving = False
        await asyncio.sleep(0.1)
        crash_primary(group)
        await group.wait_until(lambda: group.promoted_names and group.settled, 6)

    run_simulated(go)


def test_a_draining_replica_that_restarts_before_its_counting_out_is_in_force_costs_no_commit():
    """Guards against lost commits: proxies that apply records late still count its copies."""

    async def go(group):
        group.in_force_delay_s = 1.0
        group.set_member_state("r1", "draining")
        await group.wait_until(lambda: "r1" in group.evidence.counted_out, 4)
        group.members["r2"].receiving = False
        group.members["r1"].paused_term = 0
        await asyncio.sleep(0.2)
        group.end_member("r1")
        crash_primary(group)
        await asyncio.sleep(8)

    run_simulated(go)

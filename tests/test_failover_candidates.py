"""While a member is promoted, no acknowledged commit rests on another one: unknown, or restarted amid its pause."""

import random

import pytest
from failover_model import ProxyView, run_simulated

from petrelhaven.control.failover.promotion import PromotionRequests
from petrelhaven.control.failover.switchover import Switchover


def stop_receiving_at_promotion(group):
    """Has each candidate receive nothing from the moment that the platform is asked for it."""
    request_promotion = group.promote

    async def promote(service, name, fencing_token, holder):
        group.members[name].receiving = False
        await request_promotion(service, name, fencing_token, holder)

    group.promote = promote


async def switch_over_beside_an_unannounced_member(group):
    """A member receives before its first heartbeat, while the primary is replaced."""
    stop_receiving_at_promotion(group)
    group.start_unannounced("n1")
    group.set_member_state("p", "draining")
    await group.wait_until(lambda: group.promoted_names and group.settled)


async def restart_other_during_promotion(group):
    """Restarts the paused replica that is not promoted; its restart ends its pause."""
    stop_receiving_at_promotion(group)
    await group.wait_until(lambda: group.promoted_names)
    other = ({"r1", "r2"} - set(group.promoted_names)).pop()
    group.members[other].paused_term = 0
    await group.wait_until(lambda: group.settled)


async def switch_over_while_a_replica_restarts(group):
    group.set_member_state("p", "draining")
    await restart_other_during_promotion(group)


async def fail_over_while_a_replica_restarts(group):
    """The primary serves on, unreachable for the control nodes."""
    group.set_reachability("p")
    group.coordinator.suspect("g", "p", "mute")
    await restart_other_during_promotion(group)


CHANGES_WITH_ANOTHER_RECEIVER = [
    switch_over_beside_an_unannounced_member,
    switch_over_while_a_replica_restarts,
    fail_over_while_a_replica_restarts,
]
SEEDS = range(4)


async def change_leader(group, change, seed, delay_s):
    """Changes the leader with proxies that apply records `delay_s` late and a promotion that takes 0.5 s."""
    group.rng, group.in_force_delay_s, group.promotion_delay_s = random.Random(seed), delay_s, 0.5
    await change(group)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("delay_s", [0.0, 0.4])
@pytest.mark.parametrize("change", CHANGES_WITH_ANOTHER_RECEIVER)
def test_no_acknowledged_commit_rests_on_a_member_beside_the_candidate(change, delay_s, seed):
    """Guards against lost commits: a member that is unknown, or whose pause a restart ended, alone receives them."""
    run_simulated(lambda group: change_leader(group, change, seed, delay_s))


def proxies_ignore_successors(monkeypatch):
    acknowledges = ProxyView.acknowledges

    def acknowledge_without_successors(view, holders):
        view.successors = frozenset()
        return acknowledges(view, holders)

    monkeypatch.setattr(ProxyView, "acknowledges", acknowledge_without_successors)


def candidate_needs_not_be_in_force(monkeypatch):
    record_candidate = PromotionRequests.record_candidate

    async def return_number_in_force(requests, candidate):
        await record_candidate(requests, candidate)
        return 0

    monkeypatch.setattr(PromotionRequests, "record_candidate", return_number_in_force)


def candidate_catches_up_only_before_its_record(monkeypatch):
    wait_for_catch_up, prepared = Switchover._wait_for_catch_up, set()

    async def wait_once(switchover, candidate):
        if switchover in prepared:
            return True
        prepared.add(switchover)
        return await wait_for_catch_up(switchover, candidate)

    monkeypatch.setattr(Switchover, "_wait_for_catch_up", wait_once)


@pytest.mark.parametrize(
    ("remove_guard", "changes"),
    [
        (proxies_ignore_successors, CHANGES_WITH_ANOTHER_RECEIVER),
        (candidate_needs_not_be_in_force, CHANGES_WITH_ANOTHER_RECEIVER),
        (candidate_catches_up_only_before_its_record, CHANGES_WITH_ANOTHER_RECEIVER[:1]),
    ],
)
def test_without_a_guard_of_the_candidate_the_model_loses_commits(
    monkeypatch, remove_guard, changes
):
    remove_guard(monkeypatch)
    for change in changes:
        assert any(_is_lossy(change, seed) for seed in range(20)), change


def _is_lossy(change, seed):
    try:
        run_simulated(lambda group: change_leader(group, change, seed, 0.4))
    except AssertionError:
        return True
    return False

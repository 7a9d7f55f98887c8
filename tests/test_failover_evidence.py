"""Elections lose no acknowledged commit, checked with the real control state on generated schedules."""

import copy
import json

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from petrelhaven.control.failover import evidence as evidence_module
from petrelhaven.control.failover.evidence import (
    Evidence,
    MemberStatus,
    Proven,
    Unproven,
    find_electable_members,
)
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.runtime.errors import Fault

GENERATED = settings(
    max_examples=1000,
    stateful_step_count=30,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
# Finding the loss that a removed check causes may need a rare schedule, hence more examples.
GENERATED_FOR_GUARDS = settings(GENERATED, max_examples=10_000)
CHOICE = st.integers(0, 1 << 16)


class SimulatedMember:
    """A member: the end of its log, the term of its pause or 0, and whether it ended for good."""

    def __init__(self, position):
        self.position, self.paused_term, self.ended = position, 0, False


class Group(RuleBasedStateMachine):
    """Members commit, receive, leave and join; records are late or missing; primaries end.

    The steps of the coordinator are generated one by one, and each record holds what was read
    before. The steps keep the coordinator's order: a member is paused before it is counted out, its
    record precedes its resumption, and it has ended before its log is bounded.
    """

    find_electable = staticmethod(find_electable_members)

    def __init__(self):
        super().__init__()
        self.control_state = ControlState()
        self.members, self.count, self.term, self.acknowledged = {}, 0, 1, (1, 0)
        self.paused_positions, self.bounds_read = {}, []
        for _ in range(3):
            self._join("replica" if self.members else "primary")
        self.primary, self.primary_ended = "m1", False
        self._record("office", phase="serve", primary="m1", term=1, cause="", n=1)

    def _record(self, kind, **fields):
        record = {"t": kind, "group": "g", **fields}
        try:
            self.control_state.check(record)
        except Fault:
            return
        self.control_state.apply(self.control_state.seq + 1, json.loads(json.dumps(record)))

    def _join(self, role):
        self.count += 1
        name = f"m{self.count}"
        self.members[name] = SimulatedMember((1, 0))
        facts = {"hall": "a", "addr": f"1.1.1.1:{name}", "role": role, "slots": 1, "count": 1}
        self._record("member", name=name, state="ready", **facts)

    def _replicas(self):
        return [
            name
            for name, member in self.members.items()
            if name != self.primary and not member.ended
        ]

    def _choose(self, names, choice):
        return sorted(names)[choice % len(names)]

    def _leadership(self, phase, primary, **more):
        leadership = self.control_state.doc["offices"]["g"]
        number = leadership["n"] + 1
        self._record(
            "office", phase=phase, primary=primary, term=self.term, cause="", n=number, **more
        )

    @precondition(lambda self: not self.primary_ended)
    @rule(receivers=st.sets(CHOICE, max_size=1))
    def commit_drawn(self, receivers):
        """Makes a commit that at most one replica receives."""
        self.commit(receivers)

    def commit(self, receivers):
        """Makes a commit, which is acknowledged once a replica that isn't paused has it."""
        primary_member = self.members[self.primary]
        primary_member.position = (self.term, primary_member.position[1] + 1)
        receiving = [name for name in self._replicas() if not self.members[name].paused_term]
        for choice in receivers if receiving else ():
            self.members[self._choose(receiving, choice)].position = primary_member.position
            self.acknowledged = primary_member.position

    @precondition(lambda self: not self.primary_ended)
    @rule(choice=CHOICE)
    def commit_to_one(self, choice):
        """Makes a commit that one replica receives, if any isn't paused."""
        self.commit({choice})

    @precondition(lambda self: self.count < 6 and len(self._replicas()) < 3)
    @rule()
    def join(self):
        self._join("replica")

    @precondition(lambda self: self._replicas())
    @rule(choice=CHOICE)
    def pause(self, choice):
        name = self._choose(self._replicas(), choice)
        self.members[name].paused_term = self.term + 1
        self.paused_positions[name] = self.members[name].position

    @precondition(lambda self: self.paused_positions and self._phase == "serve")
    @rule(choice=CHOICE)
    def record_counted_out(self, choice):
        name = self._choose(self.paused_positions, choice)
        position = self.paused_positions.pop(name)
        if self.members[name].paused_term and not self.members[name].ended:
            self._record("evidence", what="counted_out", member=name, pos=list(position))

    @precondition(lambda self: self._replicas() and self._phase == "serve")
    @rule(choice=CHOICE, leaves=st.booleans())
    def count_out(self, choice, leaves):
        """Pauses a replica and records it at once; some replicas end right after it."""
        name = self._choose(self._replicas(), choice)
        self.members[name].paused_term = self.term + 1
        position = list(self.members[name].position)
        self._record("evidence", what="counted_out", member=name, pos=position)
        if leaves and len(self._replicas()) > 1:
            self._end_member(name)

    @precondition(lambda self: self._evidence.counted_out and not self.primary_ended)
    @rule(choice=CHOICE)
    def resume(self, choice):
        name = self._choose(self._evidence.counted_out, choice)
        self.paused_positions.pop(name, None)
        self._record("evidence", what="counted_out", member=name, pos=None)
        self.members[name].paused_term = 0

    @precondition(lambda self: len(self._replicas()) > 1)
    @rule(choice=CHOICE)
    def leave(self, choice):
        """Ends a member, paused or not; its log is lost."""
        self._end_member(self._choose(self._replicas(), choice))

    def _end_member(self, name):
        self.members[name].ended = True
        self._record("member", name=name, state="gone", addr=f"1.1.1.1:{name}")

    @precondition(lambda self: not self.primary_ended and self._evidence.unproven)
    @rule()
    def read_bound(self):
        names = [name for name in self._evidence.unproven if self.members[name].ended]
        self.bounds_read = [(names, self.members[self.primary].position)]

    @precondition(lambda self: not self.primary_ended and self._evidence.unproven)
    @rule()
    def bound(self):
        """Reads and records a bound in one step."""
        self.read_bound()
        self.record_bound()

    @precondition(lambda self: self.bounds_read and self._phase == "serve")
    @rule()
    def record_bound(self):
        names, position = self.bounds_read.pop()
        self._record("evidence", what="bounded", members=names, pos=list(position))

    @precondition(lambda self: not self.primary_ended)
    @rule()
    def crash_primary(self):
        self.primary_ended = True
        self._leadership("move", self.primary)

    @precondition(lambda self: self.primary_ended)
    @rule()
    def return_primary(self):
        self.primary_ended = False
        self._leadership("serve", self.primary)

    @precondition(lambda self: self._replicas())
    @rule(unresponsive=CHOICE, absent=st.booleans(), primary_returns=st.booleans())
    def elect(self, unresponsive, absent, primary_returns):
        """Pauses all replicas, of which one may not answer, and elects one if there is proof.

        The old primary may return.
        """
        if not self.primary_ended:
            self.crash_primary()
        names = self._replicas()
        responsive = [
            name for name in names if not (absent and name == self._choose(names, unresponsive))
        ]
        for name in responsive:
            self.members[name].paused_term = self.term + 1
        statuses = {
            name: MemberStatus("replica", self.term, self.members[name].position, self.term + 1)
            for name in responsive
        }
        verdict = self.find_electable(self._evidence, self.primary, names, statuses)
        if isinstance(verdict, Unproven):
            if primary_returns:
                self.return_primary()
            return
        for name in verdict.candidates:
            position = self.members[name].position
            assert position >= self.acknowledged, f"{name} at {position} lacks {self.acknowledged}"
        self._promote(verdict.candidates[0], primary_returns)

    def _promote(self, candidate, primary_returns):
        """Promotes a member, which ends every pause and truncates longer logs."""
        former_primary, self.primary, self.primary_ended = self.primary, candidate, False
        if not primary_returns:
            self._end_member(former_primary)
        self.term += 1
        position = self.members[candidate].position
        for member in self.members.values():
            member.position, member.paused_term = min(member.position, position), 0
        self.paused_positions, self.bounds_read = {}, []
        self._leadership("serve", candidate, pos=list(position))

    @property
    def _evidence(self):
        return self.control_state.evidence("g")

    @property
    def _phase(self):
        return self.control_state.doc["offices"]["g"]["phase"]


def test_every_electable_member_holds_every_acknowledged_commit():
    run_state_machine_as_test(Group, settings=GENERATED)


def without_lower_bound(evidence, *rest):
    return find_electable_members(
        Evidence(counted_out=evidence.counted_out, unproven=evidence.unproven), *rest
    )


def without_counted_out_positions(evidence, *rest):
    counted_out = dict.fromkeys(evidence.counted_out, (0, 0))
    return find_electable_members(
        Evidence(evidence.lower_bound, counted_out, evidence.unproven), *rest
    )


def without_unproven(evidence, *rest):
    return find_electable_members(
        Evidence(lower_bound=evidence.lower_bound, counted_out=evidence.counted_out), *rest
    )


def with_responsive_only(evidence, primary, replicas, statuses):
    return find_electable_members(evidence, primary, statuses, statuses)


@pytest.mark.parametrize(
    "mutant",
    [
        without_lower_bound,
        without_counted_out_positions,
        without_unproven,
        with_responsive_only,
    ],
)
def test_a_proof_without_one_of_its_checks_is_found_to_lose_commits(mutant):
    broken = type("Broken", (Group,), {"find_electable": staticmethod(mutant)})
    with pytest.raises(AssertionError, match="lacks"):
        run_state_machine_as_test(broken, settings=GENERATED_FOR_GUARDS)


@pytest.mark.parametrize(
    ("change", "replacement"),
    [
        ("with_primary", lambda self, changed, position, accepted_loss=False: self),
        ("with_departure", lambda self, member, during_change: self),
    ],
)
def test_an_ignored_record_is_found_to_lose_commits(monkeypatch, change, replacement):
    monkeypatch.setattr(evidence_module.Evidence, change, replacement)
    with pytest.raises(AssertionError, match="lacks"):
        run_state_machine_as_test(Group, settings=GENERATED_FOR_GUARDS)


class GroupWithLostReplicas(Group):
    """Replicas may refuse the control nodes and still receive the log, or return after a crash.

    A lost replica's vote is removed first. Once the record is in force at the proxies, a position
    of the primary that another replica reaches is read, and the replica is counted out at it.
    """

    needs_vote, waits_for_proxies = True, True

    def __init__(self):
        super().__init__()
        self.proxies_non_voting = ()

    def commit(self, receivers):
        """Makes a commit; proxies acknowledge it once a replica with a vote has it."""
        primary_member = self.members[self.primary]
        primary_member.position = (self.term, primary_member.position[1] + 1)
        receiving = [name for name in self._replicas() if not self.members[name].paused_term]
        for choice in receivers if receiving else ():
            name = self._choose(receiving, choice)
            self.members[name].position = primary_member.position
            if name not in self.proxies_non_voting or not self.needs_vote:
                self.acknowledged = primary_member.position

    @precondition(lambda self: len(self._replicas()) > 1 and self._phase == "serve")
    @rule(choice=CHOICE)
    def lose(self, choice):
        """Removes the vote of a replica that refuses the control nodes."""
        name = self._choose(self._replicas(), choice)
        if not self.members[name].paused_term:
            self._record("evidence", what="non_voting", member=name)

    @rule()
    def apply_at_proxies(self):
        self.proxies_non_voting = self._evidence.non_voting

    @precondition(lambda self: not self.primary_ended and self._evidence.non_voting)
    @rule(choice=CHOICE)
    def count_out_lost(self, choice):
        """Counts a lost replica out once the proxies know and another one has caught up."""
        name = self._choose(self._evidence.non_voting, choice)
        if self.waits_for_proxies and name not in self.proxies_non_voting:
            return
        evidence, position = self._evidence, self.members[self.primary].position
        if any(
            self.members[other].position >= position
            for other in self._replicas()
            if other not in evidence.non_voting and other not in evidence.counted_out
        ):
            self._record("evidence", what="counted_out", member=name, pos=list(position))

    @precondition(lambda self: len(self._replicas()) > 1 and self._phase == "serve")
    @rule(choice=CHOICE, proxies_know=st.booleans())
    def lose_and_count_out(self, choice, proxies_know):
        """Counts a replica out in all steps at once, while the others have caught up."""
        for name in self._replicas():
            if not self.members[name].paused_term:
                self.members[name].position = self.members[self.primary].position
        self.lose(choice)
        if proxies_know:
            self.apply_at_proxies()
        if self._evidence.non_voting:
            self.count_out_lost(choice)

    @precondition(lambda self: self._evidence.non_voting and not self.primary_ended)
    @rule(choice=CHOICE)
    def return_lost(self, choice):
        name = self._choose(self._evidence.non_voting, choice)
        self._record("evidence", what="counted_out", member=name, pos=None)


def test_lost_replicas_that_still_receive_cost_no_acknowledged_commit():
    """Guards against lost commits that only a counted out replica has, which is alive."""
    run_state_machine_as_test(GroupWithLostReplicas, settings=GENERATED)


def elect_after_losing(group, proxies_know):
    """Counts one replica out as lost, gives it alone a commit, and elects without it."""
    lost, staying = sorted(group._replicas())
    group._record("evidence", what="non_voting", member=lost)
    if proxies_know:
        group.apply_at_proxies()
    group.count_out_lost(0)
    group.commit({group._replicas().index(lost)})
    absent = sorted(group._replicas()).index(lost)
    group.elect(unresponsive=absent, absent=True, primary_returns=False)
    return lost, staying


@pytest.mark.parametrize("proxies_know", [True, False])
def test_a_commit_that_only_a_lost_replica_has_is_unacknowledged_or_keeps_it_needed(proxies_know):
    group = GroupWithLostReplicas()
    _, staying = elect_after_losing(group, proxies_know)
    assert group.primary == (staying if proxies_know else "m1") and group.primary_ended != (
        proxies_know
    )


@pytest.mark.parametrize(
    ("guard", "proxies_know"), [("needs_vote", True), ("waits_for_proxies", False)]
)
def test_without_a_guard_a_commit_that_only_a_lost_replica_has_is_lost(guard, proxies_know):
    group = type("Broken", (GroupWithLostReplicas,), {guard: False})()
    with pytest.raises(AssertionError, match="lacks"):
        elect_after_losing(group, proxies_know)


@pytest.mark.parametrize(
    ("returned_at", "candidates"), [((1, 4), ("a",)), ((1, 6), ("b",)), ((1, 5), ("a",))]
)
def test_a_counted_out_member_that_has_received_since_is_electable(returned_at, candidates):
    evidence = Evidence(counted_out={"b": (1, 4)}, non_voting=("b",))
    statuses = {"a": replica_status((1, 5)), "b": replica_status(returned_at)}
    verdict = find_electable_members(evidence, "p", ["a", "b"], statuses)
    assert set(candidates) <= set(verdict.candidates)
    assert all(statuses[name].position >= (1, 5) for name in verdict.candidates)


def test_a_lost_member_that_signs_off_may_hold_the_only_copy_until_it_is_bounded():
    """It was never paused, so it may receive until its process has ended."""
    evidence = Evidence(counted_out={"b": (1, 4)}, non_voting=("b",)).with_departure("b", False)
    assert evidence == Evidence(lower_bound=(1, 4), unproven=("b",), non_voting=("b",))
    bounded = evidence.with_bounded_logs(["b"], (1, 9))
    assert bounded == Evidence(lower_bound=(1, 9), non_voting=("b",))
    assert bounded.with_counted_out("b", None) == Evidence(lower_bound=(1, 9))


def replica_status(position, paused_term=2):
    return MemberStatus("replica", 1, position, paused_term)


@pytest.mark.parametrize(
    ("evidence", "statuses", "candidates"),
    [
        (Evidence(), {"a": replica_status((1, 5)), "b": replica_status((1, 4))}, ("a",)),
        (Evidence(), {"a": replica_status((1, 5)), "b": replica_status((1, 5))}, ("a", "b")),
        (
            Evidence(lower_bound=(1, 4), counted_out={"b": (1, 4)}),
            {"a": replica_status((1, 5))},
            ("a",),
        ),
        (
            Evidence(lower_bound=(1, 7), counted_out={"b": (1, 7)}),
            {"a": replica_status((1, 5)), "b": replica_status((1, 7))},
            ("b",),
        ),
        (
            Evidence(counted_out={"b": (1, 7)}),
            {"a": replica_status((1, 5)), "b": replica_status((1, 7))},
            ("b",),
        ),
        (
            Evidence(unproven=("p",)),
            {"a": replica_status((1, 5)), "b": replica_status((1, 4))},
            ("a",),
        ),
    ],
)
def test_the_highest_logs_at_or_above_the_lower_bound_are_electable(evidence, statuses, candidates):
    assert find_electable_members(evidence, "p", ["a", "b"], statuses) == Proven(candidates)


@pytest.mark.parametrize(
    ("evidence", "statuses", "reason", "lost_copies"),
    [
        (Evidence(), {"a": replica_status((1, 5))}, "not heard: b", False),
        (
            Evidence(unproven=("z",)),
            {"a": replica_status((1, 5)), "b": replica_status((1, 4))},
            "z left",
            True,
        ),
        (
            Evidence(lower_bound=(2, 1)),
            {"a": replica_status((1, 5)), "b": replica_status((1, 4))},
            "nobody holds 2.1",
            True,
        ),
    ],
)
def test_an_election_without_proof_is_rejected_with_a_reason(
    evidence, statuses, reason, lost_copies
):
    verdict = find_electable_members(evidence, "p", ["a", "b"], statuses)
    assert reason in verdict.reason and verdict.lost_copies == lost_copies
    behind = find_electable_members(
        Evidence(counted_out={"b": (1, 7)}), "p", ["a", "b"], {"a": replica_status((1, 5))}
    )
    assert behind == Unproven("nobody holds 1.7; the highest is 1.5", True)
    assert find_electable_members(Evidence(), "p", [], {}) == Unproven("no replica is left")


def test_a_control_state_of_an_older_version_counts_missing_members_as_unproven():
    control_state = Group().control_state
    older = copy.deepcopy(control_state.doc)
    del older["evidence"]
    assert ControlState(older).evidence("g") == Evidence()
    older["members"]["m3"]["state"] = "gone"
    upgraded = ControlState(older)
    assert upgraded.evidence("g").unproven == ("unrecorded-1",)
    record = {"t": "evidence", "group": "g", "what": "bounded", "pos": [1, 9]}
    upgraded.apply(upgraded.seq + 1, {**record, "members": ["unrecorded-1"]})
    assert (
        upgraded.evidence("g") == Evidence(lower_bound=(1, 9)) and upgraded.doc["sizes"]["g"] == 2
    )
    assert ControlState(json.loads(json.dumps(upgraded.snapshot()))).evidence(
        "g"
    ) == upgraded.evidence("g")

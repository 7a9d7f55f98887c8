"""The proof of an election, driven through the shipped ledger by drawn schedules: nothing acknowledged is lost."""

import copy
import json

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from petrelhaven.control.failover import evidence as module
from petrelhaven.control.failover.evidence import (
    Evidence,
    MemberStatus,
    Proven,
    Unproven,
    find_electable_members,
)
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.runtime.errors import Fault

DRAWN = settings(
    max_examples=1000,
    stateful_step_count=30,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
# A guard taken out may need a rare schedule, so more are drawn where one must be found.
DRAWN_FOR_GUARDS = settings(DRAWN, max_examples=10_000)
PICK = st.integers(0, 1 << 16)


class Copy:
    """A member: its log's end, and whether it is paused under a term. `ended` is for good."""

    def __init__(self, position):
        self.position, self.held, self.ended = position, 0, False


class Group(RuleBasedStateMachine):
    """Members commit, receive, leave and come; records are entered late or never; primaries die.

    What the coordinator does is drawn step by step, each record from what was read before it, in
    the order that it keeps: paused before counted out, recorded before resumed, ended before bounded.
    """

    check = staticmethod(find_electable_members)

    def __init__(self):
        super().__init__()
        self.control_state = ControlState()
        self.copies, self.count, self.term, self.acked = {}, 0, 1, (1, 0)
        self.read, self.bounds = {}, []
        for _ in range(3):
            self._join("replica" if self.copies else "primary")
        self.primary, self.dead = "m1", False
        self._enter("office", phase="serve", primary="m1", term=1, cause="", n=1)

    def _enter(self, kind, **fields):
        record = {"t": kind, "group": "g", **fields}
        try:
            self.control_state.check(record)
        except Fault:
            return
        self.control_state.apply(self.control_state.seq + 1, json.loads(json.dumps(record)))

    def _join(self, role):
        self.count += 1
        name = f"m{self.count}"
        self.copies[name] = Copy((1, 0))
        facts = {"hall": "a", "addr": f"1.1.1.1:{name}", "role": role, "slots": 1, "count": 1}
        self._enter("member", name=name, state="ready", **facts)

    def _replicas(self):
        return [n for n, c in self.copies.items() if n != self.primary and not c.ended]

    def _one(self, names, pick):
        return sorted(names)[pick % len(names)]

    def _leadership(self, phase, primary, **more):
        leadership = self.control_state.doc["offices"]["g"]
        n = leadership["n"] + 1
        self._enter("office", phase=phase, primary=primary, term=self.term, cause="", n=n, **more)

    @precondition(lambda self: not self.dead)
    @rule(receivers=st.sets(PICK, max_size=1))
    def commit_drawn(self, receivers):
        """A commit that no replica or one receives."""
        self.commit(receivers)

    def commit(self, receivers):
        """A commit is acknowledged once a replica that is not paused has it."""
        leader = self.copies[self.primary]
        leader.position = (self.term, leader.position[1] + 1)
        open_to = [n for n in self._replicas() if not self.copies[n].held]
        for pick in receivers if open_to else ():
            self.copies[self._one(open_to, pick)].position = leader.position
            self.acked = leader.position

    @precondition(lambda self: not self.dead)
    @rule(pick=PICK)
    def commit_to_one(self, pick):
        """A commit that exactly one replica receives."""
        self.commit({pick})

    @precondition(lambda self: self.count < 6 and len(self._replicas()) < 3)
    @rule()
    def join(self):
        self._join("replica")

    @precondition(lambda self: self._replicas())
    @rule(pick=PICK)
    def pause(self, pick):
        name = self._one(self._replicas(), pick)
        self.copies[name].held = self.term + 1
        self.read[name] = self.copies[name].position

    @precondition(lambda self: self.read and self._phase == "serve")
    @rule(pick=PICK)
    def record_counted_out(self, pick):
        name = self._one(self.read, pick)
        position = self.read.pop(name)
        if self.copies[name].held and not self.copies[name].ended:
            self._enter("evidence", what="counted_out", member=name, pos=list(position))

    @precondition(lambda self: self._replicas() and self._phase == "serve")
    @rule(pick=PICK, leaves=st.booleans())
    def count_out(self, pick, leaves):
        """Paused and recorded at once; some leave right after it."""
        name = self._one(self._replicas(), pick)
        self.copies[name].held = self.term + 1
        position = list(self.copies[name].position)
        self._enter("evidence", what="counted_out", member=name, pos=position)
        if leaves and len(self._replicas()) > 1:
            self._end(name)

    @precondition(lambda self: self._evidence.counted_out and not self.dead)
    @rule(pick=PICK)
    def resume(self, pick):
        name = self._one(self._evidence.counted_out, pick)
        self.read.pop(name, None)
        self._enter("evidence", what="counted_out", member=name, pos=None)
        self.copies[name].held = 0

    @precondition(lambda self: len(self._replicas()) > 1)
    @rule(pick=PICK)
    def leave(self, pick):
        """A member ends, paused or not, and its log with it."""
        self._end(self._one(self._replicas(), pick))

    def _end(self, name):
        self.copies[name].ended = True
        self._enter("member", name=name, state="gone", addr=f"1.1.1.1:{name}")

    @precondition(lambda self: not self.dead and self._evidence.unproven)
    @rule()
    def read_bound(self):
        names = [n for n in self._evidence.unproven if self.copies[n].ended]
        self.bounds = [(names, self.copies[self.primary].position)]

    @precondition(lambda self: not self.dead and self._evidence.unproven)
    @rule()
    def bound(self):
        """Read and recorded at once."""
        self.read_bound()
        self.record_bound()

    @precondition(lambda self: self.bounds and self._phase == "serve")
    @rule()
    def record_bound(self):
        names, position = self.bounds.pop()
        self._enter("evidence", what="bounded", members=names, pos=list(position))

    @precondition(lambda self: not self.dead)
    @rule()
    def crash_primary(self):
        self.dead = True
        self._leadership("move", self.primary)

    @precondition(lambda self: self.dead)
    @rule()
    def return_primary(self):
        self.dead = False
        self._leadership("serve", self.primary)

    @precondition(lambda self: self._replicas())
    @rule(unheard=PICK, absent=st.booleans(), back=st.booleans())
    def elect(self, unheard, absent, back):
        """All replicas are paused and asked; one may not answer. The old primary may come back."""
        if not self.dead:
            self.crash_primary()
        names = self._replicas()
        heard = [n for n in names if not (absent and n == self._one(names, unheard))]
        for name in heard:
            self.copies[name].held = self.term + 1
        rows = {
            n: MemberStatus("replica", self.term, self.copies[n].position, self.term + 1)
            for n in heard
        }
        verdict = self.check(self._evidence, self.primary, names, rows)
        if isinstance(verdict, Unproven):
            if back:
                self.return_primary()
            return
        for name in verdict.candidates:
            position = self.copies[name].position
            assert position >= self.acked, f"{name} at {position} lacks {self.acked}"
        self._lead(verdict.candidates[0], back)

    def _lead(self, candidate, back):
        """The promotion ends every pause; whoever was ahead is cut back."""
        former, self.primary, self.dead = self.primary, candidate, False
        if not back:
            self._end(former)
        self.term += 1
        position = self.copies[candidate].position
        for copied in self.copies.values():
            copied.position, copied.held = min(copied.position, position), 0
        self.read, self.bounds = {}, []
        self._leadership("serve", candidate, pos=list(position))

    @property
    def _evidence(self):
        return self.control_state.evidence("g")

    @property
    def _phase(self):
        return self.control_state.doc["offices"]["g"]["phase"]


def test_whoever_is_elected_holds_every_acknowledged_commit():
    run_state_machine_as_test(Group, settings=DRAWN)


def without_floor(evidence, *rest):
    return find_electable_members(
        Evidence(counted_out=evidence.counted_out, unproven=evidence.unproven), *rest
    )


def without_positions_of_those_counted_out(evidence, *rest):
    counted_out = dict.fromkeys(evidence.counted_out, (0, 0))
    return find_electable_members(
        Evidence(evidence.lower_bound, counted_out, evidence.unproven), *rest
    )


def without_unproven(evidence, *rest):
    return find_electable_members(
        Evidence(lower_bound=evidence.lower_bound, counted_out=evidence.counted_out), *rest
    )


def with_those_heard(evidence, primary, replicas, rows):
    return find_electable_members(evidence, primary, rows, rows)


@pytest.mark.parametrize(
    "mutant",
    [
        without_floor,
        without_positions_of_those_counted_out,
        without_unproven,
        with_those_heard,
    ],
)
def test_a_proof_with_a_part_taken_out_is_seen_to_lose(mutant):
    broken = type("Broken", (Group,), {"check": staticmethod(mutant)})
    with pytest.raises(AssertionError, match="lacks"):
        run_state_machine_as_test(broken, settings=DRAWN_FOR_GUARDS)


@pytest.mark.parametrize(
    ("change", "keeps"),
    [
        ("with_primary", lambda self, changed, position, accepted_loss=False: self),
        ("with_departure", lambda self, member, moving: self),
    ],
)
def test_a_record_that_is_not_kept_is_seen_to_lose(monkeypatch, change, keeps):
    monkeypatch.setattr(module.Evidence, change, keeps)
    with pytest.raises(AssertionError, match="lacks"):
        run_state_machine_as_test(Group, settings=DRAWN_FOR_GUARDS)


def row(position, held=2):
    return MemberStatus("replica", 1, position, held)


@pytest.mark.parametrize(
    ("evidence", "rows", "candidates"),
    [
        (Evidence(), {"a": row((1, 5)), "b": row((1, 4))}, ("a",)),
        (Evidence(), {"a": row((1, 5)), "b": row((1, 5))}, ("a", "b")),
        (Evidence(lower_bound=(1, 4), counted_out={"b": (1, 4)}), {"a": row((1, 5))}, ("a",)),
        (
            Evidence(lower_bound=(1, 7), counted_out={"b": (1, 7)}),
            {"a": row((1, 5)), "b": row((1, 7))},
            ("b",),
        ),
        (
            Evidence(counted_out={"b": (1, 7)}),
            {"a": row((1, 5)), "b": row((1, 7))},
            ("b",),
        ),
        (Evidence(unproven=("p",)), {"a": row((1, 5)), "b": row((1, 4))}, ("a",)),
    ],
)
def test_those_with_the_highest_log_that_reaches_the_floor_may_be_elected(
    evidence, rows, candidates
):
    assert find_electable_members(evidence, "p", ["a", "b"], rows) == Proven(candidates)


@pytest.mark.parametrize(
    ("evidence", "rows", "reason", "lost"),
    [
        (Evidence(), {"a": row((1, 5))}, "not heard: b", False),
        (Evidence(unproven=("z",)), {"a": row((1, 5)), "b": row((1, 4))}, "z left", True),
        (
            Evidence(lower_bound=(2, 1)),
            {"a": row((1, 5)), "b": row((1, 4))},
            "nobody holds 2.1",
            True,
        ),
    ],
)
def test_without_proof_the_reason_is_told(evidence, rows, reason, lost):
    verdict = find_electable_members(evidence, "p", ["a", "b"], rows)
    assert reason in verdict.reason and verdict.lost_copies == lost
    behind = find_electable_members(
        Evidence(counted_out={"b": (1, 7)}), "p", ["a", "b"], {"a": row((1, 5))}
    )
    assert behind == Unproven("nobody holds 1.7; the highest is 1.5", True)
    assert find_electable_members(Evidence(), "p", [], {}) == Unproven("no replica is left")


def test_a_control_state_of_an_older_version_counts_those_it_misses_as_unproven():
    control_state = Group().control_state
    old = copy.deepcopy(control_state.doc)
    del old["evidence"]
    assert ControlState(old).evidence("g") == Evidence()
    old["members"]["m3"]["state"] = "gone"
    newer = ControlState(old)
    assert newer.evidence("g").unproven == ("unrecorded-1",)
    record = {"t": "evidence", "group": "g", "what": "bounded", "pos": [1, 9]}
    newer.apply(newer.seq + 1, {**record, "members": ["unrecorded-1"]})
    assert newer.evidence("g") == Evidence(lower_bound=(1, 9)) and newer.doc["sizes"]["g"] == 2
    assert ControlState(json.loads(json.dumps(newer.snapshot()))).evidence("g") == newer.evidence(
        "g"
    )

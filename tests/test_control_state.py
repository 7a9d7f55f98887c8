"""The ledger of control state: legal records leave the state that a plain model has; illegal ones are declined."""

import copy
import json

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from petrelhaven.control.state.control_state import ControlState
from petrelhaven.runtime.errors import Conflict, Duplicate, Invalid, Stale, VersionTaken

DRAWN = settings(
    max_examples=200, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)


def configuration(version, text=None):
    return {
        "t": "manifest",
        "version": version,
        "text": text or json.dumps({"version": version}),
        "by": "op",
    }


def zone(name, state):
    return {"t": "hall", "hall": name, "state": state, "by": "op"}


def member(name, state="ready", addr=None, role="replica", group="g", count=1):
    if state == "gone":
        return {"t": "member", "name": name, "state": "gone", "addr": addr or f"1.1.1.1:{name}"}
    return {
        "t": "member",
        "name": name,
        "group": group,
        "hall": "a",
        "addr": addr or f"1.1.1.1:{name}",
        "role": role,
        "state": state,
        "slots": 5,
        "count": count,
    }


def leadership(group, n, primary="m1", phase="serve"):
    return {
        "t": "office",
        "group": group,
        "n": n,
        "phase": phase,
        "primary": primary,
        "term": n,
        "cause": "x",
        "by": "c",
    }


def legal(led, r):
    try:
        led.check(r)
    except (Duplicate, Invalid, Conflict, Stale):
        return False
    return True


def enter(led, r):
    """Applies a record if it is legal."""
    if legal(led, r):
        led.apply(led.seq + 1, r)
        return True
    return False


class Model:
    """What the records mean, told plainly: the newest version, halls, offices, and the members that are there."""

    def __init__(self):
        self.version, self.zones, self.leaderships, self.here = 0, {}, {}, {}

    def enter(self, r):
        """Whether the record is legal now; takes it if so."""
        t = r["t"]
        if t == "manifest":
            ok = r["version"] > self.version
            self.version = max(self.version, r["version"])
        elif t == "hall":
            ok = (
                r["state"] in ("open", "emptied")
                and self.zones.get(r["hall"], "open") != r["state"]
            )
            if ok:
                self.zones[r["hall"]] = r["state"]
        elif t == "office":
            ok = r["n"] == self.leaderships.get(r["group"], 0) + 1
            if ok:
                self.leaderships[r["group"]] = r["n"]
        elif r["state"] == "gone":
            ok = self.here.pop(r["name"], None) is not None
        else:
            now = {k: v for k, v in r.items() if k not in ("t", "name", "count")}
            ok = self.here.get(r["name"]) != now
            if ok:
                self.here = {
                    n: m for n, m in self.here.items() if m["addr"] != r["addr"] or n == r["name"]
                }
                self.here[r["name"]] = now
        return ok


ADDR = st.sampled_from(["1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3"])
RECORD = (
    st.builds(configuration, st.integers(1, 6), st.sampled_from([None, "{}"]))
    | st.builds(zone, st.sampled_from("ab"), st.sampled_from(["open", "emptied", "shut"]))
    | st.builds(
        member,
        st.sampled_from(["m1", "m2", "m3"]),
        st.sampled_from(["ready", "draining", "gone"]),
        ADDR,
        st.sampled_from(["primary", "replica"]),
        st.sampled_from("gh"),
        st.integers(1, 9),
    )
    | st.builds(leadership, st.sampled_from("gh"), st.integers(1, 4), st.sampled_from(["m1", "m2"]))
)


def state(led):
    return json.dumps(led.doc, sort_keys=True)


@DRAWN
@given(st.lists(RECORD, max_size=40))
def test_what_is_legal_and_what_it_leaves_is_what_the_model_says(records):
    led, model = ControlState(), Model()
    for i, r in enumerate(records):
        r = {**r, "count": i} if "count" in r else r
        before, sent = state(led), copy.deepcopy(r)
        want = model.enter(r)
        assert enter(led, r) == want, r
        assert r == sent and (want or state(led) == before)
        here = {
            n: {k: v for k, v in m.items() if k != "count"}
            for n, m in led.doc["members"].items()
            if m["state"] != "gone"
        }
        assert here == model.here
        assert {g: o["n"] for g, o in led.doc["offices"].items()} == model.leaderships
        assert (led.doc["manifest"] or {"version": 0})["version"] == model.version
        assert {h: led.zone_state(h) for h in "ab"} == {"a": "open", "b": "open", **model.zones}
        for g in "gh":
            assert set(led.group_members(g)) == {
                n for n, m in model.here.items() if m["group"] == g
            }


@DRAWN
@given(st.lists(RECORD, max_size=25), st.data())
def test_a_frame_at_any_point_and_the_records_after_it_leave_the_same_state(records, data):
    led = ControlState()
    taken = [r for r in records if enter(led, r)]
    cut = data.draw(st.integers(0, len(taken)))
    a = ControlState()
    for r in taken[:cut]:
        a.apply(a.seq + 1, r)
    b = ControlState(json.loads(json.dumps(a.snapshot())))
    at = state(a)
    for r in taken[cut:]:
        b.apply(b.seq + 1, r)
    assert (
        state(b) == state(led)
        and state(a) == at
        and b.reported_state() == led.reported_state()
        and b.configuration == led.configuration
    )


STREAMS = [
    [configuration(2), configuration(5)],
    [zone("a", "emptied"), zone("a", "open"), zone("a", "emptied")],
    [zone("b", "emptied")],
    [member("m1", role="primary"), member("m1", "draining", role="primary"), member("m1", "gone")],
    [member("m2", group="h"), member("m2", "gone"), member("m2", group="h", count=2)],
    [leadership("g", 1), leadership("g", 2, phase="move")],
    [leadership("h", 1, "m2")],
]


@DRAWN
@given(st.permutations([i for i, s in enumerate(STREAMS) for _ in s]))
def test_records_about_different_things_leave_the_same_state_in_any_order(order):
    def played(order):
        led, at = ControlState(), [0] * len(STREAMS)
        for i in order:
            assert enter(led, copy.deepcopy(STREAMS[i][at[i]]))
            at[i] += 1
        for o in (o for past in led.doc.get("past", {}).values() for o in past):
            del o["seq"]
        return state(led)

    assert played(order) == played(sorted(order))


def test_each_number_is_applied_once_and_in_order():
    led = ControlState()
    led.apply(1, zone("a", "emptied"))
    for seq in (1, 3, 0):
        with pytest.raises(AssertionError):
            led.apply(seq, zone("a", "open"))
    assert led.seq == led.doc["seq"] == 1 and led.zone_state("a") == "emptied"


def test_a_version_taken_stands_once():
    led = ControlState()
    assert enter(led, configuration(5, '{"x": 1}'))
    for r, fault in (
        (configuration(5, '{"x": 1}'), Duplicate),
        (configuration(5, '{"x": 2}'), Stale),
        (configuration(4), Stale),
    ):
        with pytest.raises(fault):
            led.check(r)
    assert led.configuration == {"x": 1}
    assert enter(led, configuration(6, '{"x": 2}')) and led.configuration == {"x": 2}


def test_a_version_that_was_accepted_is_known_by_its_content_after_later_ones():
    led = ControlState()
    for version in (3, 5, 9):
        assert enter(led, configuration(version, f'{{"x": {version}}}'))
    led = ControlState(json.loads(json.dumps(led.snapshot())))
    for r, fault in (
        (configuration(5, '{"x": 5}'), Duplicate),
        (configuration(3, '{"x": 3}'), Duplicate),
        (configuration(5, '{"x": 6}'), VersionTaken),
        (configuration(9, '{"x": 5}'), VersionTaken),
        (configuration(4, '{"x": 4}'), Stale),
    ):
        with pytest.raises(fault) as told:
            led.check(r)
        assert type(told.value) is fault and told.value.status == 409
        assert told.value.details["version"] == (r["version"] if fault is Duplicate else 9)


def test_the_versions_that_were_accepted_are_forgotten_in_the_end():
    led = ControlState()
    for version in range(1, 1_001):
        assert enter(led, configuration(version, f'{{"x": {version}}}'))
    assert len(led.doc["accepted"]) < 200
    with pytest.raises(Duplicate):
        led.check(configuration(950, '{"x": 950}'))
    with pytest.raises(Stale) as told:
        led.check(configuration(1, '{"x": 1}'))
    assert type(told.value) is Stale


@pytest.mark.parametrize(
    ("records", "bad", "fault"),
    [
        ([], zone("a", "open"), Duplicate),
        ([], zone("a", "shut"), Invalid),
        ([zone("a", "emptied")], zone("a", "emptied"), Duplicate),
        ([], member("m1", "gone"), Duplicate),
        ([member("m1"), member("m1", "gone")], member("m1", "gone"), Duplicate),
        ([member("m1")], member("m1"), Duplicate),
        ([member("m1", count=1)], member("m1", count=2), Duplicate),
        ([], leadership("g", 2), Conflict),
        ([], leadership("g", 0), Conflict),
        ([leadership("g", 1)], leadership("g", 1), Conflict),
        ([leadership("g", 1)], leadership("g", 3), Conflict),
    ],
)
def test_what_is_declined(records, bad, fault):
    led = ControlState()
    for r in records:
        assert enter(led, r)
    before = state(led)
    with pytest.raises(fault):
        led.check(bad)
    assert state(led) == before


def test_a_new_member_at_an_address_takes_the_place_of_the_old_one():
    led = ControlState()
    for r in (
        member("m1", addr="1.1.1.1:1"),
        member("m2", addr="1.1.1.1:2"),
        member("m3", addr="1.1.1.1:1"),
    ):
        assert enter(led, r)
    assert set(led.group_members("g")) == {"m2", "m3"}
    assert enter(led, member("m3", "gone", addr="1.1.1.1:1")) and set(led.group_members("g")) == {
        "m2"
    }


def test_a_late_word_that_a_member_is_gone_does_not_touch_the_one_at_its_address():
    led = ControlState()
    for r in (member("m1", addr="1.1.1.1:1"), member("m2", addr="1.1.1.1:2")):
        assert enter(led, r)
    led.apply(3, member("m1", "gone", addr="1.1.1.1:2"))
    assert set(led.group_members("g")) == {"m2"}


def test_the_members_that_are_gone_are_forgotten_in_the_end():
    led = ControlState()
    for i in range(400):
        assert enter(led, member(f"m{i}"))
        if i >= 3:
            assert enter(led, member(f"m{i}", "gone"))
    assert len(led.doc["members"]) < 80 and set(led.group_members("g")) == {"m0", "m1", "m2"}


def test_a_frame_is_a_copy():
    led = ControlState()
    enter(led, member("m1"))
    f = led.snapshot()
    f["members"]["m1"]["state"] = "gone"
    f["halls"]["a"] = "emptied"
    assert set(led.group_members("g")) == {"m1"} and led.zone_state("a") == "open"

"""The control state against a plain model: valid records change it as the model says; others are declined."""

import copy
import json

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from petrelhaven.control.state.control_state import ControlState
from petrelhaven.runtime.errors import Conflict, Duplicate, Invalid, Stale, VersionTaken

DRAWN_EXAMPLES = settings(
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


def leadership(group, number, primary="m1", phase="serve"):
    return {
        "t": "office",
        "group": group,
        "n": number,
        "phase": phase,
        "primary": primary,
        "term": number,
        "cause": "x",
        "by": "c",
    }


def is_valid(control_state, record):
    try:
        control_state.check(record)
    except (Duplicate, Invalid, Conflict, Stale):
        return False
    return True


def apply_if_valid(control_state, record):
    """Applies a record if it is valid; returns whether it is."""
    if is_valid(control_state, record):
        control_state.apply(control_state.seq + 1, record)
        return True
    return False


class Model:
    """A plain model of the records: the newest version, zones, leaderships and the present members."""

    def __init__(self):
        self.version, self.zones, self.leaderships, self.members = 0, {}, {}, {}
        self.departed = {}

    def apply(self, record):
        """Applies the record if it is valid; returns whether it is."""
        kind = record["t"]
        if kind == "manifest":
            is_valid = record["version"] > self.version
            self.version = max(self.version, record["version"])
        elif kind == "hall":
            is_valid = (
                record["state"] in ("open", "emptied")
                and self.zones.get(record["hall"], "open") != record["state"]
            )
            if is_valid:
                self.zones[record["hall"]] = record["state"]
        elif kind == "office":
            is_valid = record["n"] == self.leaderships.get(record["group"], 0) + 1
            if is_valid:
                self.leaderships[record["group"]] = record["n"]
        elif record["state"] == "gone":
            is_valid = record["name"] in self.members
            if is_valid:
                self.depart(record["name"])
        else:
            fields = {k: v for k, v in record.items() if k not in ("t", "name", "count")}
            is_valid = self.members.get(record["name"]) != fields
            is_valid &= not self.is_late_return(record)
            if is_valid:
                self.departed.pop(record["name"], None)
                for name, other in list(self.members.items()):
                    if other["addr"] == record["addr"] and name != record["name"]:
                        self.depart(name)
                self.members[record["name"]] = fields
        return is_valid

    def depart(self, name):
        """Moves a member to the departed ones, of which the last address is known."""
        self.departed[name] = self.members.pop(name)["addr"]

    def is_late_return(self, record):
        """A departed member doesn't come back as draining, or to its address while another is there."""
        if record["name"] not in self.departed:
            return False
        holders = {m["addr"] for m in self.members.values()}
        returns_to_holder = (
            record["addr"] == self.departed[record["name"]] and record["addr"] in holders
        )
        return record["state"] == "draining" or returns_to_holder


ADDRESSES = st.sampled_from(["1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3"])
RECORDS = (
    st.builds(configuration, st.integers(1, 6), st.sampled_from([None, "{}"]))
    | st.builds(zone, st.sampled_from("ab"), st.sampled_from(["open", "emptied", "shut"]))
    | st.builds(
        member,
        st.sampled_from(["m1", "m2", "m3"]),
        st.sampled_from(["ready", "draining", "gone"]),
        ADDRESSES,
        st.sampled_from(["primary", "replica"]),
        st.sampled_from("gh"),
        st.integers(1, 9),
    )
    | st.builds(leadership, st.sampled_from("gh"), st.integers(1, 4), st.sampled_from(["m1", "m2"]))
)


def state_text(control_state):
    return json.dumps(control_state.doc, sort_keys=True)


@DRAWN_EXAMPLES
@given(st.lists(RECORDS, max_size=40))
def test_control_state_matches_the_model(records):
    control_state, model = ControlState(), Model()
    for count, record in enumerate(records):
        record = {**record, "count": count} if "count" in record else record
        before, original = state_text(control_state), copy.deepcopy(record)
        expected = model.apply(record)
        assert apply_if_valid(control_state, record) == expected, record
        assert record == original and (expected or state_text(control_state) == before)
        members = {
            n: {k: v for k, v in m.items() if k != "count"}
            for n, m in control_state.doc["members"].items()
            if m["state"] != "gone"
        }
        assert members == model.members
        assert {g: o["n"] for g, o in control_state.doc["offices"].items()} == model.leaderships
        assert (control_state.doc["manifest"] or {"version": 0})["version"] == model.version
        assert {h: control_state.zone_state(h) for h in "ab"} == {
            "a": "open",
            "b": "open",
            **model.zones,
        }
        for g in "gh":
            assert set(control_state.group_members(g)) == {
                n for n, m in model.members.items() if m["group"] == g
            }


@DRAWN_EXAMPLES
@given(st.lists(RECORDS, max_size=25), st.data())
def test_a_snapshot_and_later_records_give_the_same_state(records, data):
    control_state = ControlState()
    applied = [record for record in records if apply_if_valid(control_state, record)]
    cut = data.draw(st.integers(0, len(applied)))
    prefix_state = ControlState()
    for record in applied[:cut]:
        prefix_state.apply(prefix_state.seq + 1, record)
    restored_state = ControlState(json.loads(json.dumps(prefix_state.snapshot())))
    text_at_cut = state_text(prefix_state)
    for record in applied[cut:]:
        restored_state.apply(restored_state.seq + 1, record)
    assert (
        state_text(restored_state) == state_text(control_state)
        and state_text(prefix_state) == text_at_cut
        and restored_state.reported_state() == control_state.reported_state()
        and restored_state.configuration == control_state.configuration
    )


INDEPENDENT_STREAMS = [
    [configuration(2), configuration(5)],
    [zone("a", "emptied"), zone("a", "open"), zone("a", "emptied")],
    [zone("b", "emptied")],
    [member("m1", role="primary"), member("m1", "draining", role="primary"), member("m1", "gone")],
    [member("m2", group="h"), member("m2", "gone"), member("m2", group="h", count=2)],
    [leadership("g", 1), leadership("g", 2, phase="move")],
    [leadership("h", 1, "m2")],
]


@DRAWN_EXAMPLES
@given(st.permutations([stream for stream, s in enumerate(INDEPENDENT_STREAMS) for _ in s]))
def test_independent_records_give_the_same_state_in_any_order(order):
    def apply_in_order(order):
        control_state, next_index = ControlState(), [0] * len(INDEPENDENT_STREAMS)
        for stream in order:
            assert apply_if_valid(
                control_state, copy.deepcopy(INDEPENDENT_STREAMS[stream][next_index[stream]])
            )
            next_index[stream] += 1
        for leadership_row in (
            leadership_row
            for history in control_state.doc.get("past", {}).values()
            for leadership_row in history
        ):
            del leadership_row["seq"]
        return state_text(control_state)

    assert apply_in_order(order) == apply_in_order(sorted(order))


def test_each_number_is_applied_once_and_in_order():
    control_state = ControlState()
    control_state.apply(1, zone("a", "emptied"))
    for seq in (1, 3, 0):
        with pytest.raises(AssertionError):
            control_state.apply(seq, zone("a", "open"))
    assert (
        control_state.seq == control_state.doc["seq"] == 1
        and control_state.zone_state("a") == "emptied"
    )


def test_a_configuration_version_is_accepted_once():
    control_state = ControlState()
    assert apply_if_valid(control_state, configuration(5, '{"x": 1}'))
    for record, fault in (
        (configuration(5, '{"x": 1}'), Duplicate),
        (configuration(5, '{"x": 2}'), Stale),
        (configuration(4), Stale),
    ):
        with pytest.raises(fault):
            control_state.check(record)
    assert control_state.configuration == {"x": 1}
    assert apply_if_valid(
        control_state, configuration(6, '{"x": 2}')
    ) and control_state.configuration == {"x": 2}


def test_earlier_versions_are_recognized_by_their_content():
    control_state = ControlState()
    for version in (3, 5, 9):
        assert apply_if_valid(control_state, configuration(version, f'{{"x": {version}}}'))
    control_state = ControlState(json.loads(json.dumps(control_state.snapshot())))
    for record, fault in (
        (configuration(5, '{"x": 5}'), Duplicate),
        (configuration(3, '{"x": 3}'), Duplicate),
        (configuration(5, '{"x": 6}'), VersionTaken),
        (configuration(9, '{"x": 5}'), VersionTaken),
        (configuration(4, '{"x": 4}'), Stale),
    ):
        with pytest.raises(fault) as raised:
            control_state.check(record)
        assert type(raised.value) is fault and raised.value.status == 409
        assert raised.value.details["version"] == (record["version"] if fault is Duplicate else 9)


def test_the_number_of_stored_versions_is_limited():
    control_state = ControlState()
    for version in range(1, 1_001):
        assert apply_if_valid(control_state, configuration(version, f'{{"x": {version}}}'))
    assert len(control_state.doc["accepted"]) < 200
    with pytest.raises(Duplicate):
        control_state.check(configuration(950, '{"x": 950}'))
    with pytest.raises(Stale) as raised:
        control_state.check(configuration(1, '{"x": 1}'))
    assert type(raised.value) is Stale


@pytest.mark.parametrize(
    ("records", "invalid_record", "fault"),
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
def test_invalid_records_are_declined(records, invalid_record, fault):
    control_state = ControlState()
    for record in records:
        assert apply_if_valid(control_state, record)
    before = state_text(control_state)
    with pytest.raises(fault):
        control_state.check(invalid_record)
    assert state_text(control_state) == before


def test_a_new_member_replaces_the_one_at_its_address():
    control_state = ControlState()
    for record in (
        member("m1", addr="1.1.1.1:1"),
        member("m2", addr="1.1.1.1:2"),
        member("m3", addr="1.1.1.1:1"),
    ):
        assert apply_if_valid(control_state, record)
    assert set(control_state.group_members("g")) == {"m2", "m3"}
    assert apply_if_valid(control_state, member("m3", "gone", addr="1.1.1.1:1")) and set(
        control_state.group_members("g")
    ) == {"m2"}


def test_a_late_departure_keeps_the_member_at_the_same_address():
    control_state = ControlState()
    for record in (member("m1", addr="1.1.1.1:1"), member("m2", addr="1.1.1.1:2")):
        assert apply_if_valid(control_state, record)
    control_state.apply(3, member("m1", "gone", addr="1.1.1.1:2"))
    assert set(control_state.group_members("g")) == {"m2"}


def test_the_number_of_stored_departed_members_is_limited():
    control_state = ControlState()
    for index in range(400):
        assert apply_if_valid(control_state, member(f"m{index}"))
        if index >= 3:
            assert apply_if_valid(control_state, member(f"m{index}", "gone"))
    assert len(control_state.doc["members"]) < 80 and set(control_state.group_members("g")) == {
        "m0",
        "m1",
        "m2",
    }


def test_a_snapshot_is_a_copy():
    control_state = ControlState()
    apply_if_valid(control_state, member("m1"))
    snapshot = control_state.snapshot()
    snapshot["members"]["m1"]["state"] = "gone"
    snapshot["halls"]["a"] = "emptied"
    assert (
        set(control_state.group_members("g")) == {"m1"} and control_state.zone_state("a") == "open"
    )

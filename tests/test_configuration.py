"""Configurations: rejected with the paths of all faults; versions only increase."""

import json

import pytest

from petrelhaven.control.configuration.parsing import parse_configuration
from petrelhaven.control.resumable.control_state import ResumableControlState
from petrelhaven.runtime.errors import Duplicate, Fault, Invalid, Stale
from petrelhaven.simulator.resumable.world import configuration

VALID = json.loads(configuration("small"))


def changed(**fields):
    return json.dumps({**VALID, **fields})


INVALID = {
    "not-json": "{",
    "unknown-field": changed(colour="red"),
    "missing": json.dumps({key: value for key, value in VALID.items() if key != "groups"}),
    "wrong-types": changed(version="1", halls="a", bounds={"fetch_us": 1.5}),
    "duplicate-names": changed(groups=VALID["groups"] * 2, halls=["a", "a"]),
    "field-twice": '{"name": "a", "name": "b"}',
    "route-to-no-group": changed(
        routes=[{"name": "r", "group": "nowhere"}, {"name": "q", "group": "g1", "reads": "stale"}]
    ),
    "out-of-range": changed(
        version=0,
        groups=[{"name": "g1", "cap": 0, "members": 99, "least": -1}],
        bounds={"wait_us": 1, "queue": 10**9},
    ),
    "impossible": changed(
        groups=[{"name": "g1", "members": 2, "least": 2}],
        bounds={"margin_us": 2_000_000, "join_us": 3_000_000},
    ),
    "true-is-no-number": changed(version=True),
    "list": "[]",
    "deep": "[" * 3000,
}


def test_every_fault_is_named_by_its_path(snapshot):
    faults_by_case = {}
    for case, text in INVALID.items():
        with pytest.raises(Invalid) as raised:
            parse_configuration(text)
        faults_by_case[case] = (
            raised.value.details["faults"]
            if case not in ("not-json", "deep", "field-twice")
            else [fault[0] for fault in raised.value.details["faults"]]
        )
    assert faults_by_case == snapshot


def test_versions_only_increase_and_the_text_is_stored_unchanged():
    control_state = ResumableControlState()

    def enter(text):
        record = {"t": "manifest", "text": text}
        control_state.check(record)
        control_state.apply(control_state.seq + 1, record)

    text = configuration("small", 5) + "  \n"
    enter(text)
    assert control_state.doc["manifest"]["text"] == text
    for next_text, fault_type in (
        (text, Duplicate),
        (configuration("small", 5, wait_us=20_000), Stale),
        (configuration("small", 4), Stale),
        ("{}", Invalid),
    ):
        with pytest.raises(fault_type):
            enter(next_text)
    assert control_state.seq == 1 and control_state.configuration.version == 5
    enter(configuration("small", 6))
    assert [old_configuration["version"] for old_configuration in control_state.doc["old"]] == [5]


def test_a_served_group_is_removed_only_with_retire():
    control_state = ResumableControlState()
    control_state.apply(1, {"t": "manifest", "text": configuration("nordvik", 1)})
    control_state.apply(
        2, {"t": "epoch", "group": "g3", "n": 1, "phase": "serve", "primary": "m", "shares": {}}
    )
    smaller = json.loads(configuration("nordvik", 2))
    smaller["groups"], smaller["routes"] = (
        smaller["groups"][:2],
        [route for route in smaller["routes"] if route["group"] != "g3"],
    )
    with pytest.raises(Fault) as raised:
        control_state.check({"t": "manifest", "text": json.dumps(smaller)})
    assert "g3" in str(raised.value.details)
    control_state.check({"t": "manifest", "text": json.dumps(smaller), "retire": True})

"""Manifests: declined whole, every fault by its path; versions only rise."""

import json

import pytest

from petrelhaven.control.configuration.parsing import parse_configuration
from petrelhaven.control.resumable.control_state import ResumableControlState
from petrelhaven.runtime.errors import Duplicate, Fault, Invalid, Stale
from petrelhaven.simulator.resumable.world import configuration

GOOD = json.loads(configuration("small"))


def changed(**kw):
    return json.dumps({**GOOD, **kw})


BAD = {
    "not-json": "{",
    "unknown-field": changed(colour="red"),
    "missing": json.dumps({k: v for k, v in GOOD.items() if k != "groups"}),
    "wrong-types": changed(version="1", halls="a", bounds={"fetch_us": 1.5}),
    "duplicate-names": changed(groups=GOOD["groups"] * 2, halls=["a", "a"]),
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
    got = {}
    for n, text in BAD.items():
        with pytest.raises(Invalid) as e:
            parse_configuration(text)
        got[n] = (
            e.value.details["faults"]
            if n not in ("not-json", "deep", "field-twice")
            else [x[0] for x in e.value.details["faults"]]
        )
    assert got == snapshot


def test_versions_only_increase_and_the_text_is_stored_unchanged():
    r = ResumableControlState()

    def enter(text):
        rec = {"t": "manifest", "text": text}
        r.check(rec)
        r.apply(r.seq + 1, rec)

    text = configuration("small", 5) + "  \n"
    enter(text)
    assert r.doc["manifest"]["text"] == text
    for t, f in (
        (text, Duplicate),
        (configuration("small", 5, wait_us=20_000), Stale),
        (configuration("small", 4), Stale),
        ("{}", Invalid),
    ):
        with pytest.raises(f):
            enter(t)
    assert r.seq == 1 and r.configuration.version == 5
    enter(configuration("small", 6))
    assert [m["version"] for m in r.doc["old"]] == [5]


def test_a_served_group_is_removed_only_with_retire():
    r = ResumableControlState()
    r.apply(1, {"t": "manifest", "text": configuration("nordvik", 1)})
    r.apply(
        2, {"t": "epoch", "group": "g3", "n": 1, "phase": "serve", "primary": "m", "shares": {}}
    )
    less = json.loads(configuration("nordvik", 2))
    less["groups"], less["routes"] = (
        less["groups"][:2],
        [x for x in less["routes"] if x["group"] != "g3"],
    )
    with pytest.raises(Fault) as e:
        r.check({"t": "manifest", "text": json.dumps(less)})
    assert "g3" in str(e.value.details)
    r.check({"t": "manifest", "text": json.dumps(less), "retire": True})

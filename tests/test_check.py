"""The history checker is shown to fail on a planted violation of each kind, and only there."""

import pytest

from petrelhaven.simulator.resumable.history_check import check

W = {
    "t": "write",
    "key": "g1:v1",
    "by": 1,
    "try": 1,
    "start": 0,
    "end": 1_000,
    "val": 1,
    "outcome": "kept",
}
R = {"t": "read", "key": "g1:v1", "start": 2_000, "end": 2_500, "val": 1, "browse": False}
GOOD = [
    W,
    R,
    {"t": "once", "key": "g1:o", "outcome": "kept"},
    {"t": "both", "keys": ["g1:a", "g1:b"], "outcome": "kept"},
    {"t": "show", "want": ["x"], "got": "x"},
    {"t": "once", "key": "g1:u", "outcome": "unknown"},
    {"t": "once", "key": "g1:n", "outcome": "not kept"},
    {
        "t": "read",
        "key": "g1:v1",
        "start": 1_100_000,
        "end": 1_100_001,
        "val": None,
        "browse": True,
    },
]
TRUTH = {"g1:v1": 1, "g1:o": 1, "g1:a": 1, "g1:b": 1, "g1:u": 1}

PLANTED = {
    "strong read misses a commit": (GOOD + [{**R, "val": None}], TRUTH, "missed commit"),
    "browsing read misses an old commit": (
        GOOD + [{**R, "start": 1_600_000, "val": None, "browse": True}],
        TRUTH,
        "missed commit",
    ),
    "try twice": (GOOD, {**TRUTH, "g1:u": 2}, "try took effect twice"),
    "kept after not kept": (GOOD, {**TRUTH, "g1:n": 1}, "kept after not kept"),
    "read of what was not kept": (
        GOOD + [{**W, "val": 2, "outcome": "not kept"}, {**R, "val": 2}],
        TRUTH,
        "read what was not kept",
    ),
    "commit lost": (GOOD, {**TRUTH, "g1:v1": 0}, "acknowledged commit lost"),
    "counter lost": (GOOD, {**TRUTH, "g1:o": 0}, "acknowledged commit lost"),
    "transaction torn": (GOOD, {**TRUTH, "g1:b": 0}, "transaction torn"),
    "values mixed": (GOOD + [{"t": "show", "want": ["x"], "got": "y"}], TRUTH, "mixed"),
    "session closed": (GOOD + [{"t": "closed", "sid": "s"}], TRUTH, "session closed"),
}


def test_a_good_history_passes():
    assert check(GOOD, TRUTH) == []


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_violation_is_found(name):
    hist, truth, rule = PLANTED[name]
    assert [b[0] for b in check(hist, truth) if rule in b[0]]

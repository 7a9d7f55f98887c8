"""Connection shares across epoch changes: whatever each edge has applied, a member's cap is never passed."""

import mutants
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from petrelhaven.control.resumable.control_state import ResumableControlState
from petrelhaven.simulator.resumable.world import configuration

CAP = 10
PLANS = st.lists(
    st.lists(st.integers(0, 5), min_size=4, max_size=4).map(
        lambda xs: [
            min(x, CAP - sum(min(y, CAP) for y in xs[:i])) if sum(xs[:i]) < CAP else 0
            for i, x in enumerate(xs)
        ]
    ),
    min_size=1,
    max_size=6,
)


def _epoch(n, shares):
    return {
        "t": "epoch",
        "group": "g1",
        "n": n,
        "phase": "serve",
        "primary": "m",
        "shares": {f"e{i}": {"m": s} for i, s in enumerate(shares)},
    }


def _walk(plans, picks):
    """Edges apply the changes at their own pace; an epoch is settled only once every edge has applied it."""
    recs = [{"t": "manifest", "text": configuration("small")}]
    worst = 0
    edges = [ResumableControlState() for _ in range(4)]
    n = 0
    picks = iter(picks)

    def go(to):
        for e in edges:
            while e.seq < to:
                e.apply(e.seq + 1, recs[e.seq])

    go(1)
    for p in plans:
        n += 1
        recs.append(_epoch(n, p))
        for _ in range(6):
            e = edges[next(picks, 0) % 4]
            if e.seq < len(recs):
                e.apply(e.seq + 1, recs[e.seq])
            worst = max(worst, sum(r.share("g1", f"e{i}", "m") for i, r in enumerate(edges)))
        if next(picks, 0) % 2:
            go(len(recs))
            recs.append({"t": "settle", "group": "g1", "n": n})
            for _ in range(3):
                e = edges[next(picks, 0) % 4]
                if e.seq < len(recs):
                    e.apply(e.seq + 1, recs[e.seq])
                worst = max(worst, sum(r.share("g1", f"e{i}", "m") for i, r in enumerate(edges)))
    return worst


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(PLANS, st.lists(st.integers(0, 7), max_size=80))
def test_shares_never_pass_the_cap(plans, picks):
    assert _walk(plans, picks) <= CAP


def test_without_settling_the_cap_is_passed():
    mp = pytest.MonkeyPatch()
    mutants.share_at_once(mp)
    try:
        assert _walk([[5, 5, 0, 0], [0, 0, 5, 5]], [0, 1, 0, 1, 0, 1, 1, 2, 2, 2, 3, 3, 3]) > CAP
    finally:
        mp.undo()

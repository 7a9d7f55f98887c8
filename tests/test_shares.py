"""Connection shares across epoch changes: the proxies never open more connections to a member than its limit.

The proxies apply the records at different times, so some use the shares of the previous epoch while others use
those of the new one.
"""

import mutants
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from petrelhaven.control.resumable.control_state import ResumableControlState
from petrelhaven.simulator.resumable.world import configuration

CAP = 10
# Up to six epochs; each has the shares of four proxies, whose sum is at most CAP.
PLANS = st.lists(
    st.lists(st.integers(0, 5), min_size=4, max_size=4).map(
        lambda drawn: [
            min(share, CAP - sum(min(earlier, CAP) for earlier in drawn[:i]))
            if sum(drawn[:i]) < CAP
            else 0
            for i, share in enumerate(drawn)
        ]
    ),
    min_size=1,
    max_size=6,
)


def _epoch(number, shares):
    return {
        "t": "epoch",
        "group": "g1",
        "n": number,
        "phase": "serve",
        "primary": "m",
        "shares": {f"e{i}": {"m": share} for i, share in enumerate(shares)},
    }


def _walk(plans, picks):
    """Returns the largest sum of the proxies' shares while they apply the epochs of `plans` one record at a time.

    `picks` selects which proxy applies its next record, and which epochs are recorded as in force. Such a record is
    appended only once every proxy has applied the epoch.
    """
    records = [{"t": "manifest", "text": configuration("small")}]
    largest_sum = 0
    proxy_states = [ResumableControlState() for _ in range(4)]
    number = 0
    picks = iter(picks)

    def apply_everywhere(seq):
        for state in proxy_states:
            while state.seq < seq:
                state.apply(state.seq + 1, records[state.seq])

    apply_everywhere(1)
    for shares in plans:
        number += 1
        records.append(_epoch(number, shares))
        for _ in range(6):
            state = proxy_states[next(picks, 0) % 4]
            if state.seq < len(records):
                state.apply(state.seq + 1, records[state.seq])
            largest_sum = max(
                largest_sum,
                sum(state.share("g1", f"e{i}", "m") for i, state in enumerate(proxy_states)),
            )
        if next(picks, 0) % 2:
            apply_everywhere(len(records))
            records.append({"t": "settle", "group": "g1", "n": number})
            for _ in range(3):
                state = proxy_states[next(picks, 0) % 4]
                if state.seq < len(records):
                    state.apply(state.seq + 1, records[state.seq])
                largest_sum = max(
                    largest_sum,
                    sum(state.share("g1", f"e{i}", "m") for i, state in enumerate(proxy_states)),
                )
    return largest_sum


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(PLANS, st.lists(st.integers(0, 7), max_size=80))
def test_shares_never_pass_the_cap(plans, picks):
    assert _walk(plans, picks) <= CAP


def test_shares_used_before_an_epoch_is_in_force_exceed_the_cap():
    monkeypatch = pytest.MonkeyPatch()
    mutants.share_at_once(monkeypatch)
    try:
        assert _walk([[5, 5, 0, 0], [0, 0, 5, 5]], [0, 1, 0, 1, 0, 1, 1, 2, 2, 2, 3, 3, 3]) > CAP
    finally:
        monkeypatch.undo()

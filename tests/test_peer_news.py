"""Updates about peers: which rows are declined, and which update is newer."""

import pytest

from petrelhaven.membership.update import PeerUpdate
from petrelhaven.runtime.errors import Malformed

ROW = ["e1", "edge", "north", "10.0.0.1:7000", 3, "alive"]


def test_a_parsed_row_is_serialized_unchanged():
    assert [update.to_wire() for update in PeerUpdate.parse_rows([ROW])] == [ROW]


@pytest.mark.parametrize(
    "rows",
    [
        None,
        {"e1": "alive"},
        [None],
        [tuple(ROW)],
        [ROW[:5]],
        [[*ROW, "more"]],
        [[1, *ROW[1:]]],
        [[*ROW[:4], -1, "alive"]],
        [[*ROW[:4], True, "alive"]],
        [[*ROW[:4], "3", "alive"]],
        [[*ROW[:5], "dead"]],
        [[*ROW[:5], None]],
        [[*ROW[:5], ["alive"]]],
        [[*ROW[:5], {"alive": 1}]],
        [ROW, [*ROW[:5], "dead"]],
    ],
)
def test_rows_that_are_no_updates_are_declined(rows):
    with pytest.raises(Malformed):
        PeerUpdate.parse_rows(rows)


@pytest.mark.parametrize(
    ("state", "incarnation", "newer"),
    [
        ("alive", 3, False),
        ("suspect", 3, True),
        ("gone", 3, True),
        ("alive", 4, True),
        ("gone", 2, False),
    ],
)
def test_a_higher_incarnation_wins_then_the_more_severe_state(state, incarnation, newer):
    update = PeerUpdate("e1", "edge", "north", "10.0.0.1:7000", incarnation, state)
    assert update.supersedes("alive", 3) == newer

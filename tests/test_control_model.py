"""Runs the control nodes under random schedules of faults and orders and checks invariants.

The mutant tests remove one safeguard at a time and expect a schedule to violate an invariant.
`CONTROL_MODEL_SCHEDULES` sets how many schedules each part draws; `CONTROL_MODEL_SEED` draws others.
"""

import os

import control_mutants
import pytest
from hypothesis import HealthCheck, Phase, given, seed, settings
from model.cluster import Shape
from model.schedule import Step, play, play_without_healing, schedules, shapes, shrunk

from petrelhaven.control.node import ControlNode

_COUNT = int(os.environ.get("CONTROL_MODEL_SCHEDULES", "20"))
_SEED = os.environ.get("CONTROL_MODEL_SEED")
_PARTS = 5


# Hypothesis derives the draws from the source of `check`: any change to it, even of a name, draws others.
def _random_schedules_test(part):
    found = settings(
        max_examples=_COUNT,
        derandomize=_SEED is None,
        database=None,
        deadline=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
        report_multiple_bugs=False,
    )

    @found
    @given(shapes(), schedules())
    def check(shape, steps):
        result = play(shape, steps, seed=part)
        if result.broken:
            rule = next(iter(result.broken))
            fewest = shrunk(shape, steps, part, rule)
            pytest.fail(f"{result.broken}: {shape}, seed {part}, {fewest}")

    return check if _SEED is None else seed(f"{_SEED}-{part}")(check)


@pytest.mark.parametrize("part", range(_PARTS))
def test_no_random_schedule_violates_an_invariant(part):
    _random_schedules_test(part)()


HEAD_LOST_AFTER_VIEW_CHANGE = {
    "three nodes restarted, then the head replaced": (
        Shape(3),
        1024,
        [Step(372, "blackout", 3, 3, 88), Step(1782, "replace", 3, 0, 3706)],
    ),
    "the head and another disk lost while a view is decided": (
        Shape(5, 8192),
        1145,
        [
            Step(169, "replace", 2, 6, 2860),
            Step(380, "lossy", 1, 6, 1206),
            Step(249, "burst", 4, 4, 20_000),
            Step(131, "hall", 3, 3, 1015),
            Step(184, "tear", 1, 5, 3688),
            Step(55, "lose", 0, 1, 546),
        ],
    ),
}


@pytest.mark.parametrize("name", HEAD_LOST_AFTER_VIEW_CHANGE)
def test_if_the_head_is_lost_before_the_handover_another_node_can_become_head(name):
    shape, play_seed, steps = HEAD_LOST_AFTER_VIEW_CHANGE[name]
    assert play(shape, steps, play_seed).broken == {}


def _orders_on_both_sides(faulty, pauses_ms):
    """Repeated orders, races and reads through the faulty node and through another one."""
    other = faulty + 1
    steps = []
    for pause_ms in pauses_ms:
        steps += [
            Step(pause_ms, "order", faulty),
            Step(0, "read", faulty),
            Step(50, "order", other),
        ]
        steps += [Step(0, "read", other), Step(300, "race", faulty, 1), Step(0, "read", faulty)]
        steps += [Step(0, "fence"), Step(100, "read", other)]
    return steps


@pytest.mark.parametrize("cores", [3, 5])
@pytest.mark.parametrize("faulty", [0, 2])
@pytest.mark.parametrize("fault", ["cut", "cut outwards", "cut inwards", "freeze"])
def test_a_node_cut_off_or_frozen_for_20_s_serves_no_stale_state(cores, faulty, fault):
    kind, _, direction = fault.partition(" ")
    steps = [
        Step(1000, "order", 1),
        Step(300, kind, faulty, ["", "outwards", "inwards"].index(direction), 20_000),
        *_orders_on_both_sides(faulty, [0, 700, 3000, 6000, 7000, 1000, 300, 100, 100, 700, 1500]),
    ]
    result = play(Shape(cores), steps, 7)
    assert result.broken == {}
    assert result.acknowledged >= 20 and result.reads >= 20


@pytest.mark.parametrize("shape", [Shape(3), Shape(3, 8192, 4), Shape(5, 8192, 4)], ids=repr)
@pytest.mark.parametrize("lost", [False, True])
def test_a_node_that_missed_hundreds_of_changes_catches_up_and_becomes_head_with_the_newest_state(
    shape, lost
):
    """All nodes restart afterwards, so that the node that missed the changes becomes the head."""
    steps = [
        Step(1000, "many", 1, 0, 25_000),
        Step(500, "lose" if lost else "kill", 2, 0, 24_500),
        Step(30_000, "read", 2),
        Step(500, "kill", 0, 0, 4000),
        Step(2500, "order", 2),
        Step(0, "read", 2),
        Step(500, "kill", 1, 0, 4000),
        Step(6000, "read", 2),
        Step(0, "fence"),
        Step(100, "blackout", 0, 1, 300),
        Step(4000, "read", 2),
    ]
    result = play(shape, steps, 11)
    assert result.broken == {}
    assert result.acknowledged > 400


def test_a_node_counts_once_in_the_expiry_of_a_former_view_although_it_reports_to_itself():
    steps = [
        Step(66, "kill", 0, 0, 582),
        Step(839, "replace", 3, 6, 20_000),
        Step(0, "read", 4, 0, 819),
        Step(286, "lose", 3, 0, 20_000),
        Step(575, "burst", 3, 5, 2865),
        Step(0, "lose", 1, 6, 109),
        Step(28, "slow", 1, 6, 20_000),
        Step(66, "kill", 0, 0, 582),
    ]
    assert play(Shape(3, 8192), steps, 2).broken == {}


@pytest.mark.parametrize("cores", [3, 5])
@pytest.mark.parametrize("after_ms", [5, 60, 150, 400])
def test_the_newest_configuration_survives_lost_disks_and_a_power_failure_of_all_nodes(
    cores, after_ms
):
    """The highest tolerated number of disks is lost after an order was sent, and all other nodes lose power."""
    for first_lost in range(cores):
        lost = [Step(0, "lose", first_lost + i, 0, 1500) for i in range((cores - 1) // 2)]
        steps = [
            Step(1000, "order", first_lost),
            Step(1000, "order", first_lost + 1),
            Step(after_ms, "lose", first_lost, 0, 1500),
            *lost[1:],
            Step(0, "blackout", 0, 1, 1500),
            *(Step(300 if i else 4000, "read", i) for i in range(cores)),
        ]
        result = play(Shape(cores), steps, 31 + first_lost)
        assert result.broken == {}, first_lost
        assert result.reads >= cores, first_lost


def _loss_after_replacement_in_cut(cores, seed, lost, gap_ms):
    """A node is replaced during a cut; another one is lost permanently `gap_ms` after the cut.

    With five nodes, one more was lost before.
    """
    steps = [Step(500, "order", 0)]
    if cores == 5:
        steps.append(Step(300, "gone", 3))
    steps += [
        Step(500, "replace_in_cut", cores - 1, 0, 8000),
        Step(8000 + gap_ms, "gone", lost),
        Step(0, "order", cores - 1),
        Step(3000, "order", 1 - lost),
    ]
    return play_without_healing(Shape(cores), steps, seed, 2000)


@pytest.mark.parametrize("cores", [3, 5])
@pytest.mark.parametrize("lost", [0, 1])
def test_a_loss_right_after_a_replacement_in_a_cut_leaves_a_majority(cores, lost):
    """The replacement is a single view change, which leaves only a short time without a majority."""
    for play_seed in range(4):
        result = _loss_after_replacement_in_cut(cores, play_seed, lost, 100)
        assert result.broken == {}, play_seed
        assert result.acknowledged == 3, play_seed


MUTANTS = {
    "vote_not_stored": (
        "every node is ready again after healing",
        Shape(5, 8192, 4),
        1,
        [
            Step(181, "blackout", 3, 6, 2514),
        ],
    ),
    "votes_under_any_identity": (
        "no vote under an unknown identity",
        Shape(3, tail=4),
        0,
        [
            Step(1233, "lose", 4, 4, 593),
        ],
    ),
    "promise_ignored": (
        "a vote is never forgotten",
        Shape(5),
        0,
        [
            Step(215, "blackout", 0, 1, 300),
            Step(100, "slow", 0, 7, 6000),
            Step(10, "slow", 1, 7, 6000),
        ],
    ),
    "minority_decides": (
        "one view per number",
        Shape(3),
        2014,
        [
            Step(1068, "cut", 0, 0, 4613),
        ],
    ),
    "confirmed_without_majority": (
        "nodes act only with a recent confirmation by a majority",
        Shape(3, tail=4),
        0,
        [
            Step(68, "cut", 0, 2, 2613),
        ],
    ),
    "confirms_an_older_view": (
        "no node is confirmed in an older view while another is active",
        Shape(3),
        0,
        [],
    ),
    "tail_reads_while_not_active": (
        "nodes act only with a recent confirmation by a majority",
        Shape(3, 8192, 4),
        5,
        [
            Step(2303, "read", 4, 5, 5679),
            Step(0, "freeze", 2, 7, 1474),
        ],
    ),
    "complete_without_handover": (
        "a complete node has all records committed before its view",
        Shape(3, tail=4),
        0,
        [
            Step(1786, "lose", 3, 6, 4875),
            Step(299, "hall", 0, 4, 20_000),
        ],
    ),
    "former_views_not_awaited": (
        "no node is confirmed in an older view while another is active",
        Shape(5),
        0,
        [],
    ),
    "any_report_ends_the_wait": (
        "no node is confirmed in an older view while another is active",
        Shape(5),
        0,
        [],
    ),
    "swap_decided_by_any_majority": (
        "majorities before and after a change intersect",
        Shape(3, tail=4),
        110,
        [
            Step(2565, "depart", 1, 4, 20_000),
            Step(1383, "cut", 0, 7, 20_000),
            Step(384, "slow", 4, 6, 1323),
        ],
    ),
    "acknowledged_before_commit": (
        "a read includes all orders acknowledged before it",
        Shape(5, 8192, 4),
        756,
        [
            Step(87, "order", 4, 2, 1402),
            Step(181, "blackout", 3, 6, 2514),
            Step(0, "kill", 3, 5, 20_000),
        ],
    ),
    "records_not_synced": (
        "one record per number",
        Shape(5, 8192, 4),
        2,
        [
            Step(767, "order", 3, 4, 20_000),
            Step(1676, "blackout", 1, 2, 20_000),
        ],
    ),
    "reset_without_snapshot": (
        "a complete node has all records committed before its view",
        Shape(5, 8192, 4),
        1893,
        [
            Step(87, "order", 4, 2, 1402),
            Step(2879, "blackout", 2, 3, 2484),
            Step(0, "split", 0, 0, 3522),
            Step(379, "burst", 3, 4, 7296),
            Step(2580, "order", 4, 2, 759),
            Step(1425, "kill", 2, 7, 6614),
            Step(0, "kill", 3, 0, 20_000),
        ],
    ),
    "reset_not_synced": (
        "a complete node has all records committed before its view",
        Shape(3, tail=1),
        12,
        [
            Step(100, "order"),
            Step(100, "order"),
            Step(100, "order"),
            Step(100, "order"),
            Step(200, "lose", 2, 0, 2043),
            Step(3550, "kill", 2, 0, 500),
        ],
    ),
    "versions_not_checked": (
        "an order is applied once",
        Shape(3, tail=4),
        0,
        [
            Step(181, "race", 0, 6, 3211),
        ],
    ),
    "fence_before_commit": (
        "one holder per fencing token",
        Shape(3),
        0,
        [
            Step(1000, "cut", 0, 0, 4577),
            Step(117, "fence"),
            Step(2041, "fence"),
        ],
    ),
}


_SEEDS_PER_VARIANT = 4


def _cut_during_view_change():
    """A node is killed; another one is cut off at about the time when the others change the view."""
    return [
        [Step(165, "kill", 4, 0, 4000), Step(pause_ms, "cut", target, 0, 3000)]
        for pause_ms in range(900, 1300, 50)
        for target in (2, 1, 3)
    ]


def _frozen_head():
    """The head is frozen for a few seconds, and its network is slow afterwards."""
    return [
        [Step(197, "freeze", 0, 0, span_ms), Step(500, "slow", 0, 6, 4000)]
        for span_ms in range(2500, 4000, 100)
    ]


VARIANTS = {
    "former_views_not_awaited": _cut_during_view_change,
    "any_report_ends_the_wait": _cut_during_view_change,
    "confirms_an_older_view": _frozen_head,
}


def _violating_run(name):
    """The first schedule and seed that violate the expected invariant under the mutant, or None."""
    invariant, shape, first_seed, steps = MUTANTS[name]
    for variant in VARIANTS[name]() if name in VARIANTS else [steps]:
        for play_seed in range(first_seed, first_seed + _SEEDS_PER_VARIANT):
            if invariant in play(shape, variant, play_seed).broken:
                return shape, variant, play_seed
    return None


@pytest.mark.parametrize("name", MUTANTS)
def test_each_mutant_violates_its_invariant(name):
    with pytest.MonkeyPatch.context() as monkeypatch:
        getattr(control_mutants, name)(monkeypatch)
        run = _violating_run(name)
    assert run is not None
    assert play(*run).broken == {}


def test_every_mutant_is_tested():
    assert set(MUTANTS) == set(control_mutants.__all__)


# Guards against a change of members whose majorities before and after don't intersect. It was seen with
# seed 110 of the schedule of `swap_decided_by_any_majority` after control nodes got another timer.
def test_members_are_swapped_in_one_decision_whatever_else_a_node_waits_for(monkeypatch):
    async def wake_often(clock):
        while True:
            await clock.sleep(250_000)

    real = ControlNode.start

    def start(self):
        real(self)
        self.tasks.spawn(wake_often(self.clock))

    monkeypatch.setattr(ControlNode, "start", start)
    steps = [
        Step(pause_ms=2565, kind="depart", target=1, option=4, span_ms=20000),
        Step(pause_ms=1383, kind="cut", target=0, option=7, span_ms=20000),
        Step(pause_ms=384, kind="slow", target=4, option=6, span_ms=1323),
    ]
    assert play(Shape(3, 1048576, 4), steps, 110).broken == {}

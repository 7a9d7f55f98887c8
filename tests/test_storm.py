"""A fixed small set of storms; the same seed gives the same history. Sweeps of many seeds run by `drill sweep`."""
import pytest

from petrelhaven.drill.storm import run


@pytest.mark.parametrize("seed,size", [(0, "small"), (2, "small"), (5, "small"), (19, "small"), (22, "small"), (23, "small"), (31, "small"),
                                       (62, "small"), (1003, "nordvik"), (1009, "nordvik"), (2004, "archivo"), (2013, "archivo")])
def test_a_storm_breaks_no_rule(seed, size):
    bad, w = run(seed, size)
    assert bad == []
    assert sum(v.count["ok"] for v in w.visitors) > 100


FOUND = {
    "a hall is emptied, then the primary's store is lost while the next replica catches up":
        (299, "small", [[4.845, "member_drain", 280209603], [12.928, "hall", 999602071], [13.4, "member_store", 966454656]]),
    "all cores are killed and a member at once, while others have not been heard again":
        (705, "small", [[7.642, "unanswered", 320317860], [14.301, "core_all", 131344703], [14.617, "member_kill", 341379453]]),
}


@pytest.mark.parametrize("name", FOUND)
def test_a_storm_that_once_broke_a_rule_breaks_none(name):
    seed, size, rows = FOUND[name]
    assert run(seed, size, rows)[0] == []


def test_the_same_seed_gives_the_same_history():
    a, b = run(7)[1], run(7)[1]
    assert a.hist == b.hist and a.net.log == b.net.log

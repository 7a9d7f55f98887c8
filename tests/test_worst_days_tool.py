"""The tool that draws worst days: it deals every variant, a seed names a day, and it shrinks a find."""

import sys
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tools"))

from worst_days.bench import NOT_PLAYED, Bench, refused_kind  # noqa: E402
from worst_days.day import Day, Entry  # noqa: E402
from worst_days.drawing import Density, closings, draw_day, variants  # noqa: E402
from worst_days.kinds import merge_kinds, parse_kinds, with_variants  # noqa: E402
from worst_days.report import Finding, Outcome, read_report  # noqa: E402
from worst_days.shrinking import shrink  # noqa: E402
from worst_days.site import read_site  # noqa: E402

KINDS = """Each entry has 'at' and 'kind'. on: the class of machines.
closing = { kind = wipe } strikes at the end; how taken: not an entry of this list

stop_server: share (.15) of a service's servers are down; how: dark (silent, for long), gone (for good)
lie: share (.15) say well and fail (how: errors hang), or say ill and are well (how: bad)
slow_server: fail x (.4) of their requests; how: errors, slow (x (8) times as long), + one_zone (only some)
kill_herd: share (.6) are killed at once; how: power; on core: all; how taken: after a client's work

these may come too:
core_cut: count (1) machines are cut off; how: one_way, seeds (new ones, some restarted)
config_change: how: route weights
evacuate: a zone is emptied
"""

SITE = """
name = "harbour"
length_s = 30.0
zones = [{ name = "north", region = "a" }, { name = "south", region = "b" }]
troubles = [{ kind = "stop_server", how = "dark primary", for_s = 3.0 }]

[[day]]
name = "calm"
slot = "quiet"
seed = 1
faults = []
plan = []
one = 0.9
zero = 0.5
goal = { floor = 0.5 }
traffic = [{ zone = "north", per_s = 10.5, mix = { reads = 1 } }]

[[day]]
name = "first"
slot = "trouble"
seed = 2
faults = [{ at = 3, kind = "core_cut", how = "leader refuse" }]
plan = [{ at = 1.5, kind = "config_change", how = "route" }]
closing = { kind = "wipe_after_ack", down_s = 1.0, how = "aimed" }
one = 0.9
zero = 0.4
goal = { floor = 0.4 }
floor_classes = [0.4]
traffic = [{ zone = "north", per_s = 20.0, mix = { reads = 1 } }]
"""

REPORT = {
    "G": 0.81,
    "served": 0.95,
    "breaks": {},
    "fault": None,
    "short": [],
    "missed": [],
    "windows": [{"n": 90, "worth": 1.0} for _ in range(5)],
}


@pytest.fixture
def site(tmp_path):
    path = tmp_path / "harbour.toml"
    path.write_text(SITE)
    return read_site(path)


@pytest.fixture
def kinds(site):
    return with_variants(parse_kinds(KINDS), site.variants)


def test_every_kind_of_the_list_is_read_with_its_variants_and_strength():
    read = {kind.name: (kind.variants, kind.strength) for kind in parse_kinds(KINDS)}
    assert read == {
        "stop_server": (("dark", "gone"), None),
        "lie": (("errors", "hang", "bad"), None),
        "slow_server": (("errors", "slow", "one_zone"), 0.4),
        "kill_herd": (("power", "taken"), None),
        "core_cut": (("one_way", "seeds"), None),
        "config_change": (("route", "weights"), None),
        "evacuate": ((), None),
    }


def test_lists_of_several_sites_are_joined_with_the_variants_of_all():
    joined = merge_kinds([parse_kinds("a: how: x y\n"), parse_kinds("b: none\na: how: y z\n")])
    assert {kind.name: kind.variants for kind in joined} == {"a": ("x", "y", "z"), "b": ()}


def test_a_seed_names_a_day(site, kinds):
    drawn = [draw_day(site, kinds, seed) for seed in range(30)]
    assert drawn == [draw_day(site, kinds, seed) for seed in range(30)]
    assert len({day.text() for day in drawn}) == 30
    assert drawn[7].name == "harbour:7"


def test_every_variant_of_every_kind_and_every_closing_is_drawn_in_turn(site, kinds):
    every = {(kind.name, how) for kind, how in variants(kinds)}
    assert ("stop_server", "dark primary") in every
    assert ("core_cut", "leader refuse") in every
    assert ("core_cut", "leader race hard") in every
    days = [draw_day(site, kinds, seed) for seed in range((len(every) + 1) // 2)]
    assert every <= {(entry.kind, entry.how) for day in days for entry in day.entries[:2]}
    many = [draw_day(site, kinds, seed).closing for seed in range(200)]
    told = {(closing.get("kind"), closing.get("how", "")) for closing in many if closing}
    assert told == {(closing["kind"], closing.get("how", "")) for closing in closings(site)}
    assert ("wipe_after_ack", "aimed") in told
    assert {} in many


def test_a_day_has_two_to_six_entries_that_overlap_or_repeat_and_three_orders(site, kinds):
    days = [draw_day(site, kinds, seed) for seed in range(200)]
    troubles = [day.entries[:-3] for day in days]
    assert {len(entries) for entries in troubles} == {2, 3, 4, 5, 6}
    assert all(0 < entry.at <= 24 for day in days for entry in day.entries)
    repeats = [e for e in troubles if len({(x.kind, x.how, x.settings) for x in e}) < len(e)]
    assert repeats
    orders = {entry.kind for day in days for entry in day.entries[-3:]}
    assert orders == {"config_change", "evacuate"}


def test_a_dense_day_has_more_entries_and_some_at_one_moment(site, kinds):
    dense = Density(fewest=4, most=6, together=0.5)
    days = [draw_day(site, kinds, seed, dense) for seed in range(40)]
    assert {len(day.entries) - 3 for day in days} == {4, 5, 6}
    moments = [{entry.at for entry in day.entries[:-3]} for day in days]
    assert any(len(times) < len(day.entries) - 3 for times, day in zip(moments, days, strict=True))
    assert days == [draw_day(site, kinds, seed, dense) for seed in range(40)]


def test_the_operator_orders_a_plain_change_where_no_order_is_among_the_kinds(site):
    day = draw_day(site, parse_kinds("hup: how: now later\n"), 3)
    assert {entry.kind for entry in day.entries[:-3]} == {"hup"}
    assert {(entry.kind, entry.how) for entry in day.entries[-3:]} <= {
        ("config_change", "idle"),
        ("config_change", ""),
    }


def test_a_day_is_written_in_the_shape_of_the_sites_own_days(site, kinds, tmp_path):
    for seed in range(60):
        day = draw_day(site, kinds, seed)
        (table,) = tomllib.loads(day.write(tmp_path).read_text())["day"]
        assert table["goal"] == {"floor": 0.4}
        assert table["traffic"] == [{"zone": "north", "per_s": 20.0, "mix": {"reads": 1}}]
        assert table.get("closing", {}) == day.closing
        written = [*table["plan"], *table["faults"]]
        assert sorted(map(str, written)) == sorted(str(entry.table()) for entry in day.entries)
        assert {entry["kind"] for entry in table["plan"]} <= {"config_change", "evacuate"}
        assert not {"config_change", "evacuate"} & {entry["kind"] for entry in table["faults"]}


def test_a_planned_replacement_is_planned_work_and_another_is_a_fault():
    assert Entry(1.0, "replace_core", "planned").planned
    assert not Entry(1.0, "replace_core").planned


def test_a_calm_report_has_no_finding():
    assert read_report(REPORT, 0.5) == Outcome(0.81, 0.95, ())


@pytest.mark.parametrize(
    ("change", "label"),
    [
        ({"breaks": {"CONFIG": 2}}, "rule CONFIG"),
        ({"fault": "it ended by itself"}, "fault"),
        ({"short": ["orders unacknowledged 3 times: 2"]}, "short orders unacknowledged"),
        ({"missed": ["config version 3 was never acked"]}, "missed"),
        ({"G": 0.49}, "worth"),
        ({"G": None}, "worth"),
        ({"windows": [{"n": 90, "worth": 0.6}] * 3 + [{"n": 10, "worth": 1.0}]}, "unserved"),
    ],
)
def test_each_thing_that_is_wrong_is_found(change, label):
    outcome = read_report(REPORT | change, 0.5)
    assert [found.split(" at ")[0] for found in outcome.labels] == [label]


def test_a_group_served_again_at_the_end_is_no_finding():
    windows = [{"n": 90, "worth": worth} for worth in (1.0, 0.1, 0.2, 0.95)]
    assert read_report(REPORT | {"windows": windows}, 0.5).findings == ()


def _day(*entries, closing=None):
    return Day("harbour:1", 5, {"slot": "trouble"}, entries, closing or {})


def test_a_find_shrinks_to_its_fewest_shortest_and_plainest_entries():
    full = Entry(3.0, "disk_full", "leader race", (("for_s", 8.0), ("count", 4)))
    cut = Entry(4.0, "core_cut", "", (("for_s", 6.0),))
    day = _day(Entry(1.0, "hup"), full, Entry(2.0, "lie"), cut, closing={"kind": "kill_all"})

    def breaks(tried):
        kinds = {entry.kind: entry for entry in tried.entries}
        return {"disk_full", "core_cut"} <= kinds.keys() and kinds["core_cut"].setting("for_s") > 2

    small = shrink(day, breaks, 100)
    plain = Entry(3.0, "disk_full", "", (("for_s", 1.0), ("count", 1)))
    assert small == _day(plain, cut.with_setting("for_s", 3.0))
    assert small.seed == day.seed


def test_shrinking_keeps_to_its_plays_and_never_takes_a_day_that_holds():
    day = _day(*(Entry(float(i), "hup") for i in range(6)))
    tried = []
    assert shrink(day, lambda candidate: tried.append(candidate) or False, 4) == day
    assert len(tried) == 4
    assert shrink(day, lambda candidate: True, 0) == day


def _bench(tmp_path, script):
    program = tmp_path / "bench"
    program.write_text(f"#!{sys.executable}\n{script}")
    program.chmod(0o755)
    return Bench(program, tmp_path / "site.toml", tmp_path, tmp_path, "a trial", ("--jobs", "2"))


FAKE = """
import json, sys, tomllib
if sys.argv[1] == "kinds":
    print("hup: how: now later")
    raise SystemExit
(day,) = tomllib.load(open(sys.argv[3], "rb"))["day"]
kinds = [entry["kind"] for entry in [*day["plan"], *day["faults"]]]
if "lie" in kinds:
    print("fleetbench: lie: contract health is not open", file=sys.stderr)
    raise SystemExit(1)
report = {"G": 0.9, "served": 1.0, "fault": None, "short": [], "missed": [], "windows": []}
report["breaks"] = {"CONFIG": 1} if "disk_full" in kinds else {}
json.dump(report, open(sys.argv[sys.argv.index("--report") + 1], "w"))
print(*sys.argv[4:])
"""


def test_a_day_is_played_by_the_program_that_is_given(tmp_path):
    bench = _bench(tmp_path, FAKE)
    assert [(kind.name, kind.variants) for kind in bench.kinds(Path("s"))] == [
        ("hup", ("now", "later"))
    ]
    calm = bench.play(_day(Entry(1.0, "hup")))
    assert calm.outcome == Outcome(0.9, 1.0, ())
    assert "--why a trial (harbour:1)" in (tmp_path / "harbour-1.out").read_text()
    broken = bench.play(_day(Entry(1.0, "disk_full")))
    assert broken.outcome.labels == {"rule CONFIG"}


def test_a_kind_that_the_site_has_no_part_in_is_left_out(tmp_path):
    bench = _bench(tmp_path, FAKE)
    played = bench.play(_day(Entry(1.0, "lie"), Entry(2.0, "disk_full"), Entry(3.0, "lie")))
    assert played.day == _day(Entry(2.0, "disk_full"))
    assert played.outcome.labels == {"rule CONFIG"}


def test_a_day_that_could_not_be_played_is_said_so(tmp_path):
    bench = _bench(tmp_path, "raise SystemExit('the machine is too busy')")
    outcome = bench.play(_day(Entry(1.0, "hup"))).outcome
    assert outcome.findings == (Finding(NOT_PLAYED, "the machine is too busy"),)
    assert refused_kind(outcome) is None
    assert refused_kind(replace(outcome, findings=(Finding("fault", "x"),))) is None

"""Embargo rules: release times, what a manifest may say, records on the chain, and the table against a small model."""

import asyncio
import datetime
import json
import os
import re
import subprocess
import sys
import zoneinfo
from pathlib import Path

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from configuration_documents import configuration_text, internal_name  # noqa: E402
from petrelhaven.control.configuration.parsing import parse_configuration  # noqa: E402
from petrelhaven.control.embargo.records import Rule, configuration_fields, stored_rules  # noqa: E402
from petrelhaven.control.embargo.requests import parse_change_request  # noqa: E402
from petrelhaven.control.embargo.rules import rules_report  # noqa: E402
from petrelhaven.control.embargo.table import RuleTable  # noqa: E402
from petrelhaven.control.resumable.node import ResumableControlNode  # noqa: E402
from petrelhaven.control.state.control_state import ControlState  # noqa: E402
from petrelhaven.proxy.session.statement import Statement  # noqa: E402
from petrelhaven.runtime.errors import Conflict, Duplicate, Invalid, Stale, TooLarge  # noqa: E402
from petrelhaven.runtime.instant import format_instant, parse_instant  # noqa: E402
from petrelhaven.runtime.wall_clock import agreed  # noqa: E402
from petrelhaven.simulator.resumable.world import configuration  # noqa: E402

DRAWN = settings(
    max_examples=300, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)
SRC = Path(__file__).parent.parent / "src"


def us(*at):
    return int(datetime.datetime(*at, tzinfo=datetime.UTC).timestamp()) * 1_000_000


@pytest.mark.parametrize(
    ("text", "zone", "want"),
    [
        ("2026-03-01T09:00:00Z", "", us(2026, 3, 1, 9)),
        ("2026-03-01T09:00:00+01:00", "", us(2026, 3, 1, 8)),
        ("2026-03-01T09:00:00-00:00", "", us(2026, 3, 1, 9)),
        ("2026-03-01T09:00:00.000001Z", "", us(2026, 3, 1, 9) + 1),
        ("2026-03-01T09:00:00.5+05:30", "", us(2026, 3, 1, 3, 30) + 500_000),
        ("2026-03-01T09:00:00", "Europe/Oslo", us(2026, 3, 1, 8)),
        ("2026-07-01T09:00:00", "Europe/Oslo", us(2026, 7, 1, 7)),
        ("2026-03-29T01:59:59", "Europe/Oslo", us(2026, 3, 29, 0, 59, 59)),
        ("2026-03-29T03:00:00", "Europe/Oslo", us(2026, 3, 29, 1)),
        ("2026-10-25T03:00:00", "Europe/Oslo", us(2026, 10, 25, 2)),
        ("2026-10-25T02:30:00+02:00", "", us(2026, 10, 25, 0, 30)),
        ("2026-10-25T02:30:00+01:00", "", us(2026, 10, 25, 1, 30)),
        ("2026-03-01T00:00:00", "Pacific/Kiritimati", us(2026, 2, 28, 10)),
        ("2026-02-28T23:00:00", "Pacific/Pago_Pago", us(2026, 3, 1, 10)),
        ("2028-02-29T12:00:00", "Asia/Kathmandu", us(2028, 2, 29, 6, 15)),
    ],
)
def test_a_release_time_is_parsed_to_one_instant(text, zone, want):
    assert parse_instant(text, zone) == want
    assert parse_instant(format_instant(want)) == want


@pytest.mark.parametrize(
    ("text", "zone", "why"),
    [
        ("2026-03-29T02:30:00", "Europe/Oslo", "does not exist"),
        ("2026-10-25T02:30:00", "Europe/Oslo", "comes twice"),
        ("2026-03-01T09:00:00", "", "needs an offset"),
        ("2026-03-01T09:00:00Z", "Europe/Oslo", "leave the zone out"),
        ("2026-03-01T09:00:00", "Europe/Atlantis", "not known"),
        ("2026-03-01T09:00:00", "../etc/passwd", "not known"),
        ("2026-03-01T09:00:00", "Europe", "not known"),
        ("2026-02-29T09:00:00Z", "", "no moment"),
        ("2026-03-01T24:00:01Z", "", "no moment"),
        ("2026-03-01T09:00:60Z", "", "no moment"),
        ("2026-03-01", "", "must be an instant"),
        ("2026-03-01 09:00:00Z", "", "must be an instant"),
        ("2026-03-01T09:00Z", "", "must be an instant"),
        ("2026-03-01T09:00:00.0000001Z", "", "must be an instant"),
        ("tomorrow", "", "must be an instant"),
        ("", "", "must be an instant"),
        ("1969-01-01T00:00:00Z", "", "between 1970"),
        ("2999-01-01T00:00:00Z", "", "between 1970"),
        ("0001-01-01T00:00:00+14:00", "", "between 1970"),
        ("٢٠٢٦-03-01T09:00:00Z", "", "must be|no moment"),
    ],
)
def test_invalid_and_ambiguous_release_times_are_declined(text, zone, why):
    with pytest.raises(ValueError, match=why):
        parse_instant(text, zone)


@DRAWN
@given(
    st.datetimes(datetime.datetime(1971, 1, 2), datetime.datetime(2037, 1, 1)).map(
        lambda d: d.replace(microsecond=0)
    ),
    st.sampled_from(
        [
            "Europe/Oslo",
            "America/New_York",
            "Australia/Lord_Howe",
            "Africa/Casablanca",
            "Asia/Tehran",
        ]
    ),
)
def test_a_local_time_is_accepted_only_if_it_occurs_exactly_once(at, zone):
    z = zoneinfo.ZoneInfo(zone)
    shows = {
        m
        for m in (at.replace(tzinfo=z, fold=f).astimezone(datetime.UTC) for f in (0, 1))
        if m.astimezone(z).replace(tzinfo=None, fold=0) == at
    }
    try:
        got = parse_instant(at.isoformat(), zone)
    except ValueError:
        assert len(shows) != 1
    else:
        assert [int(m.timestamp()) * 1_000_000 for m in shows] == [got]


def rule(name="n", **kw):
    return {"name": name, "group": "g1", "thing": "a", "until": "2026-03-01T09:00:00Z", **kw}


def faults_of(**kw):
    with pytest.raises(Invalid) as e:
        parse_configuration(json.dumps({**json.loads(configuration("small")), **kw}))
    return {p for p, _ in e.value.details["faults"]}


def test_faults_in_embargoes_of_a_configuration_are_reported_by_path():
    assert faults_of(embargoing=["g1", "nowhere"]) == {"embargoing[1]"}
    assert faults_of(embargoing="g1") == {"embargoing"}
    assert faults_of(embargoes=[3]) == {"embargoes[0]"}
    assert faults_of(embargoes=[rule(), rule()]) == {"embargoes[1].name"}
    assert faults_of(embargoes=[rule(colour="red"), {"name": "b"}]) == {
        "embargoes[0].colour",
        "embargoes[1].group",
        "embargoes[1].until",
    }
    assert faults_of(
        embargoes=[
            rule(group="x"),
            rule("B"),
            rule("c", prefix="p"),
            rule("d", thing=""),
            rule("e", until="soon"),
            rule("f", until="2026-03-29T02:30:00", zone="Europe/Oslo"),
            rule("g", early=[""]),
            rule("h", thing="x" * 513),
            rule("i", early=[1]),
        ]
    ) == {
        "embargoes[0].group",
        "embargoes[1].name",
        "embargoes[2].thing",
        "embargoes[3].thing",
        "embargoes[4].until",
        "embargoes[5].until",
        "embargoes[6].early",
        "embargoes[7].thing",
        "embargoes[8].early[0]",
    }
    assert faults_of(embargoing=["g1"], bounds={"wall_us": 200_000}) == {"bounds.wall_us"}
    assert faults_of(bounds={"spread_us": -1}) == {"bounds.spread_us"}


def test_only_configurations_with_embargoes_have_embargo_fields_in_their_record():
    assert configuration_fields(parse_configuration(configuration("small"))) == {}
    one = rule(until="2026-03-01T09:00:00", zone="Asia/Tokyo")
    m = parse_configuration(json.dumps({**json.loads(configuration("small")), "embargoes": [one]}))
    got = configuration_fields(m)["embargo"]
    assert got["scope"] == ["g1"] and got["rules"]["n"]["until"] == us(2026, 3, 1, 0)


class Chain:
    """A ledger, and what an operator says to it."""

    def __init__(self, **kw):
        self.led, self.version = ControlState(), 0
        self.configuration(**kw)

    def put(self, r):
        r = json.loads(json.dumps(r))
        self.led.check(r)
        self.led.apply(self.led.seq + 1, r)

    def configuration(self, **kw):
        self.version += 1
        m = parse_configuration(
            json.dumps({**json.loads(configuration("small", self.version)), **kw})
        )
        self.put(
            {
                "t": "manifest",
                "text": "{}" + " " * self.version,
                "version": self.version,
                **configuration_fields(m),
            }
        )

    def say(self, do, name="n", **kw):
        self.put(parse_change_request({"do": do, "name": name, **kw}).record.to_document())

    def add(self, name="n", **kw):
        self.say("add", **rule(name, **kw), by="me")

    def rules(self):
        return {n: r.until_us for (_, n), r in stored_rules(self.led.doc)}


def test_a_rule_is_added_moved_earlier_and_later_and_lifted():
    c = Chain(embargoing=["g1"])
    c.add()
    assert c.rules() == {"n": us(2026, 3, 1, 9)}
    with pytest.raises(Duplicate):
        c.add()
    with pytest.raises(Stale):
        c.add(early=["me"])
    c.say("move", until="2026-03-01T08:00:00Z", by="her")
    c.say("move", until="2026-04-01T08:00:00", zone="Europe/Oslo", n=3)
    assert c.rules() == {"n": us(2026, 4, 1, 6)}
    with pytest.raises(Duplicate):
        c.say("move", until="2026-04-01T06:00:00Z")
    with pytest.raises(Conflict):
        c.say("move", until="2026-05-01T06:00:00Z", n=3)
    with pytest.raises(Conflict):
        c.say("lift", n=9)
    c.say("lift")
    assert c.rules() == {}
    with pytest.raises(Duplicate):
        c.say("lift")
    with pytest.raises(Stale):
        c.say("move", until="2026-05-01T06:00:00Z")
    t = rules_report(c.led.doc)
    assert [(p["do"], p["by"]) for p in t["past"]] == [
        ("add", "me"),
        ("move", "her"),
        ("move", ""),
        ("lift", ""),
    ]


@pytest.mark.parametrize(
    ("d", "at"),
    [
        (None, "$"),
        ({"do": "burn"}, "do"),
        ({"do": "lift"}, "name"),
        ({"do": "add", **rule(until="x")}, "until"),
        ({"do": "add", **rule(colour=1)}, "colour"),
        ({"do": "add", **rule(thing=3)}, "thing"),
        ({"do": "add", **rule(early="me")}, "early"),
        ({"do": "move", "name": "n", "until": 5}, "until"),
        ({"do": "move", "name": "n", "until": "2026-03-01T09:00:00Z", "thing": "b"}, "thing"),
        ({"do": "lift", "name": "n", "n": True}, "n"),
        ({"do": "add", **rule(gone=[1])}, "gone"),
        ({"do": "add", **rule(), "by": 7}, "by"),
        ({"do": "add", **rule(prefix="p")}, "thing"),
    ],
)
def test_faults_of_a_change_request_are_reported_by_field(d, at):
    with pytest.raises(Invalid) as e:
        parse_change_request(d)
    assert at in {p for p, _ in e.value.details["faults"]}


def test_a_group_must_be_embargoed_before_and_while_it_has_rules():
    c = Chain()
    assert "embargoes" not in c.led.doc and "embargo_since" not in c.led.doc
    with pytest.raises(Invalid):
        c.add()
    c.configuration(embargoing=["g1"])
    since = c.led.seq
    c.add()
    c.configuration(embargoing=["g1"], embargoes=[rule("m", prefix="x", thing="")])
    assert c.led.doc["embargo_since"] == {"g1": since} and set(c.rules()) == {"m", "n"}
    with pytest.raises(Invalid):
        c.configuration()
    c.version -= 1
    c.say("lift")
    c.configuration()
    assert c.rules() == {} and c.led.doc["embargo_since"] == {}


def test_the_total_size_of_placed_rules_is_limited():
    c = Chain(embargoing=["g1"])
    with pytest.raises(TooLarge):
        for i in range(6000):
            c.led.doc.setdefault("embargoes", {})[f"x{i}"] = {"group": "g1", "thing": "y" * 500}
        c.add()


def test_a_snapshot_and_later_records_lead_to_the_same_rules():
    c = Chain(embargoing=["g1"])
    c.add("a")
    other = ControlState(json.loads(json.dumps(c.led.snapshot())))
    for r in (
        parse_change_request(
            {"do": "move", "name": "a", "until": "2026-03-01T10:00:00Z"}
        ).record.to_document(),
        parse_change_request({"do": "add", **rule("b")}).record.to_document(),
    ):
        c.put(r)
        other.apply(other.seq + 1, json.loads(json.dumps(r)))
    assert other.doc == c.led.doc


WORD = st.text("ab", max_size=5)
RULE = st.fixed_dictionaries(
    {
        "group": st.sampled_from("gh"),
        "kind": st.booleans(),
        "at": st.text("ab", min_size=1, max_size=4),
        "until": st.integers(1, 9),
        "early": st.lists(st.sampled_from("xyz"), max_size=2),
    }
)
STEP = st.tuples(st.integers(0, 7), RULE | st.none())


def as_rule(d):
    return Rule(
        group=d["group"],
        record_key="" if d["kind"] else d["at"],
        prefix=d["at"] if d["kind"] else "",
        until_us=d["until"],
        until_text="",
        zone="",
        exempt_clients=tuple(d["early"]),
    )


def covers(r, group, thing):
    return r.group == group and (
        r.record_key == thing if r.record_key else thing.startswith(r.prefix)
    )


@DRAWN
@given(
    st.lists(STEP, max_size=25),
    st.lists(WORD, min_size=1, max_size=3),
    st.sampled_from("xyzw"),
    st.integers(0, 9),
)
def test_the_rule_table_agrees_with_a_linear_search(steps, things, client, now):
    t, model = RuleTable(), {}
    for k, d in steps:
        if d is None:
            t.drop(k)
            model.pop(k, None)
        else:
            model[k] = as_rule(d)
            t.put(k, model[k])
    assert len(t) == len(model)
    for g in "gh":
        for x in things:
            assert sorted(k for k, _ in t.covering(g, x)) == sorted(
                k for k, r in model.items() if covers(r, g, x)
            )
        holds = [
            r.until_us
            for r in model.values()
            if r.until_us > now
            and client not in r.exempt_clients
            and any(covers(r, g, x) for x in things)
        ]
        hit = t.latest_release(g, things, client, now)
        assert (hit[1].until_us if hit else None) == max(holds, default=None)


def test_every_record_key_that_a_member_may_parse_is_checked():
    assert Statement("1", "read", "FETCH a").things == {"a"}
    assert Statement("1", "read", "FETCH a  b ").things == {"a  b ", "a", "b"}
    assert Statement("1", "execute", "EXECUTE q a b", name="q", data="a b").things == {
        "a b",
        "a",
        "b",
    }


@DRAWN
@given(
    st.integers(0, 1000),
    st.lists(st.tuples(st.integers(0, 40), st.integers(0, 40)), min_size=2, max_size=4),
    st.lists(st.tuples(st.integers(-2000, 2000), st.integers(0, 80)), max_size=3),
)
def test_the_interval_of_a_majority_contains_true_time_despite_wrong_clocks(true, good, bad):
    bad = bad[: len(good) - 1]
    n = len(good) + len(bad)
    got = agreed([(true - a, true + b) for a, b in good] + [(x, x + w) for x, w in bad], n // 2 + 1)
    assert got is not None and got[0] <= true <= got[1]


def test_without_a_majority_there_is_no_interval():
    assert agreed([(0, 1), (5, 6), (9, 10)], 2) is None
    assert agreed([(0, 10)], 2) is None and agreed([], 1) is None and agreed([(3, 2)], 1) is None


def test_no_embargo_module_is_imported_while_embargoes_are_disabled():
    code = (
        "import sys, petrelhaven.control.node, petrelhaven.proxy.node, petrelhaven.proxy.core_connection\n"
        "print([m for m in sys.modules if m.split('.')[0] in ('dateutil', 'sortedcontainers', 'zoneinfo')"
        " or 'embargo' in m and not m.endswith(('interface', 'control.embargo'))"
        " or m.endswith(('.wall_clock', '.agreed_time', '.instant'))])"
    )
    out = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONPATH": str(SRC)},
        capture_output=True,
        text=True,
    )
    assert out.stdout.strip() == "[]", out


def test_the_wall_clock_is_read_in_one_place():
    reads = re.compile(r"CLOCK_REALTIME|time\.time|datetime\.now|utcnow|localtime|gmtime")
    assert [p.name for p in SRC.rglob("*.py") if reads.search(p.read_text())] == ["wall_clock.py"]


def test_a_resumable_control_node_declines_configurations_with_embargoes():
    m = {**json.loads(configuration("small")), "embargoing": ["g1"]}
    with pytest.raises(Invalid) as e:
        asyncio.run(ResumableControlNode.apply(None, json.dumps(m)))
    assert [p for p, _ in e.value.details["faults"]] == ["embargoing"]


CONFIG = {
    "Revision": 1,
    "Services": [{"Name": "svc"}, {"Name": "Ärger"}],
    "Routes": [{"Hostname": "db", "Service": "svc", "TimeoutMs": 800}],
}
ROW = {
    "Name": "n",
    "Service": "Ärger",
    "Prefix": "a-",
    "Until": "2026-03-01T09:00:00",
    "Zone": "Europe/Oslo",
}


def test_a_platform_configuration_enables_embargoes_with_a_nonempty_section():
    assert "embargoes" not in json.loads(configuration_text(json.dumps(CONFIG).encode(), ["a"]))
    section = {
        "Services": ["svc"],
        "ClockErrorMs": 50,
        "ClockWidthMs": 300,
        "SpreadMs": 0,
        "Rules": [ROW],
    }
    m = parse_configuration(
        configuration_text(json.dumps({**CONFIG, "Embargo": section}).encode(), ["a"])
    )
    assert (m.bounds.skew_us, m.bounds.wall_us, m.bounds.spread_us) == (50_000, 300_000, 0)
    got = configuration_fields(m)["embargo"]
    assert got["scope"] == sorted(["svc", internal_name("Ärger")]) and got["rules"]["n"][
        "until"
    ] == us(2026, 3, 1, 8)
    assert (
        configuration_fields(
            parse_configuration(
                configuration_text(json.dumps({**CONFIG, "Embargo": {}}).encode(), ["a"])
            )
        )
        == {}
    )


@pytest.mark.parametrize(
    ("section", "at"),
    [
        (3, "Embargo"),
        ({"Colour": 1}, "Embargo.Colour"),
        ({"Services": ["x"]}, "Embargo.Services[0]"),
        ({"Rules": [1]}, "Embargo.Rules[0]"),
        ({"Rules": [{**ROW, "Service": "x"}]}, "Embargo.Rules[0].Service"),
        ({"Rules": [{**ROW, "Thingy": "x"}]}, "Embargo.Rules[0].Thingy"),
        ({"Rules": [{**ROW, "Early": [1]}]}, "Embargo.Rules[0].Early"),
        ({"Rules": [{**ROW, "Until": 5}]}, "Embargo.Rules[0].Until"),
        ({"SpreadMs": "x"}, "Embargo.SpreadMs"),
    ],
)
def test_faults_of_a_platform_configuration_are_reported_by_field(section, at):
    with pytest.raises(Invalid) as e:
        configuration_text(json.dumps({**CONFIG, "Embargo": section}).encode(), ["a"])
    assert [p for p, _ in e.value.details["faults"]] == [at]

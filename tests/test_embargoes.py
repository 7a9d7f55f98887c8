"""Tests embargo rules: release times, configurations, chain records, and the rule table."""

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
SOURCE_ROOT = Path(__file__).parent.parent / "src"


def utc_us(*fields):
    return int(datetime.datetime(*fields, tzinfo=datetime.UTC).timestamp()) * 1_000_000


@pytest.mark.parametrize(
    ("text", "zone", "expected"),
    [
        ("2026-03-01T09:00:00Z", "", utc_us(2026, 3, 1, 9)),
        ("2026-03-01T09:00:00+01:00", "", utc_us(2026, 3, 1, 8)),
        ("2026-03-01T09:00:00-00:00", "", utc_us(2026, 3, 1, 9)),
        ("2026-03-01T09:00:00.000001Z", "", utc_us(2026, 3, 1, 9) + 1),
        ("2026-03-01T09:00:00.5+05:30", "", utc_us(2026, 3, 1, 3, 30) + 500_000),
        ("2026-03-01T09:00:00", "Europe/Oslo", utc_us(2026, 3, 1, 8)),
        ("2026-07-01T09:00:00", "Europe/Oslo", utc_us(2026, 7, 1, 7)),
        ("2026-03-29T01:59:59", "Europe/Oslo", utc_us(2026, 3, 29, 0, 59, 59)),
        ("2026-03-29T03:00:00", "Europe/Oslo", utc_us(2026, 3, 29, 1)),
        ("2026-10-25T03:00:00", "Europe/Oslo", utc_us(2026, 10, 25, 2)),
        ("2026-10-25T02:30:00+02:00", "", utc_us(2026, 10, 25, 0, 30)),
        ("2026-10-25T02:30:00+01:00", "", utc_us(2026, 10, 25, 1, 30)),
        ("2026-03-01T00:00:00", "Pacific/Kiritimati", utc_us(2026, 2, 28, 10)),
        ("2026-02-28T23:00:00", "Pacific/Pago_Pago", utc_us(2026, 3, 1, 10)),
        ("2028-02-29T12:00:00", "Asia/Kathmandu", utc_us(2028, 2, 29, 6, 15)),
    ],
)
def test_a_release_time_is_parsed_to_one_instant(text, zone, expected):
    assert parse_instant(text, zone) == expected
    assert parse_instant(format_instant(expected)) == expected


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
        lambda instant: instant.replace(microsecond=0)
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
def test_a_local_time_is_accepted_only_if_it_occurs_exactly_once(local_time, zone):
    zone_info = zoneinfo.ZoneInfo(zone)
    instants = {
        instant
        for instant in (
            local_time.replace(tzinfo=zone_info, fold=fold).astimezone(datetime.UTC)
            for fold in (0, 1)
        )
        if instant.astimezone(zone_info).replace(tzinfo=None, fold=0) == local_time
    }
    try:
        parsed_us = parse_instant(local_time.isoformat(), zone)
    except ValueError:
        assert len(instants) != 1
    else:
        assert [int(instant.timestamp()) * 1_000_000 for instant in instants] == [parsed_us]


def rule_document(name="n", **kw):
    return {"name": name, "group": "g1", "thing": "a", "until": "2026-03-01T09:00:00Z", **kw}


def fault_paths(**kw):
    with pytest.raises(Invalid) as raised:
        parse_configuration(json.dumps({**json.loads(configuration("small")), **kw}))
    return {path for path, _ in raised.value.details["faults"]}


def test_faults_in_embargoes_of_a_configuration_are_reported_by_path():
    assert fault_paths(embargoing=["g1", "nowhere"]) == {"embargoing[1]"}
    assert fault_paths(embargoing="g1") == {"embargoing"}
    assert fault_paths(embargoes=[3]) == {"embargoes[0]"}
    assert fault_paths(embargoes=[rule_document(), rule_document()]) == {"embargoes[1].name"}
    assert fault_paths(embargoes=[rule_document(colour="red"), {"name": "b"}]) == {
        "embargoes[0].colour",
        "embargoes[1].group",
        "embargoes[1].until",
    }
    assert fault_paths(
        embargoes=[
            rule_document(group="x"),
            rule_document("B"),
            rule_document("c", prefix="p"),
            rule_document("d", thing=""),
            rule_document("e", until="soon"),
            rule_document("f", until="2026-03-29T02:30:00", zone="Europe/Oslo"),
            rule_document("g", early=[""]),
            rule_document("h", thing="x" * 513),
            rule_document("i", early=[1]),
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
    assert fault_paths(embargoing=["g1"], bounds={"wall_us": 200_000}) == {"bounds.wall_us"}
    assert fault_paths(bounds={"spread_us": -1}) == {"bounds.spread_us"}


def test_only_configurations_with_embargoes_have_embargo_fields_in_their_record():
    assert configuration_fields(parse_configuration(configuration("small"))) == {}
    document = rule_document(until="2026-03-01T09:00:00", zone="Asia/Tokyo")
    parsed = parse_configuration(
        json.dumps({**json.loads(configuration("small")), "embargoes": [document]})
    )
    section = configuration_fields(parsed)["embargo"]
    assert section["scope"] == ["g1"] and section["rules"]["n"]["until"] == utc_us(2026, 3, 1, 0)


class Chain:
    """A control state, with operators' requests applied to it as records."""

    def __init__(self, **kw):
        self.control_state, self.version = ControlState(), 0
        self.configure(**kw)

    def append(self, record):
        record = json.loads(json.dumps(record))
        self.control_state.check(record)
        self.control_state.apply(self.control_state.seq + 1, record)

    def configure(self, **kw):
        self.version += 1
        parsed = parse_configuration(
            json.dumps({**json.loads(configuration("small", self.version)), **kw})
        )
        self.append(
            {
                "t": "manifest",
                "text": "{}" + " " * self.version,
                "version": self.version,
                **configuration_fields(parsed),
            }
        )

    def change(self, action, name="n", **kw):
        self.append(parse_change_request({"do": action, "name": name, **kw}).record.to_document())

    def add(self, name="n", **kw):
        self.change("add", **rule_document(name, **kw), by="me")

    def rules(self):
        return {name: rule.until_us for (_, name), rule in stored_rules(self.control_state.doc)}


def test_a_rule_is_added_moved_earlier_and_later_and_lifted():
    chain = Chain(embargoing=["g1"])
    chain.add()
    assert chain.rules() == {"n": utc_us(2026, 3, 1, 9)}
    with pytest.raises(Duplicate):
        chain.add()
    with pytest.raises(Stale):
        chain.add(early=["me"])
    chain.change("move", until="2026-03-01T08:00:00Z", by="her")
    chain.change("move", until="2026-04-01T08:00:00", zone="Europe/Oslo", n=3)
    assert chain.rules() == {"n": utc_us(2026, 4, 1, 6)}
    with pytest.raises(Duplicate):
        chain.change("move", until="2026-04-01T06:00:00Z")
    with pytest.raises(Conflict):
        chain.change("move", until="2026-05-01T06:00:00Z", n=3)
    with pytest.raises(Conflict):
        chain.change("lift", n=9)
    chain.change("lift")
    assert chain.rules() == {}
    with pytest.raises(Duplicate):
        chain.change("lift")
    with pytest.raises(Stale):
        chain.change("move", until="2026-05-01T06:00:00Z")
    report = rules_report(chain.control_state.doc)
    assert [(change["do"], change["by"]) for change in report["past"]] == [
        ("add", "me"),
        ("move", "her"),
        ("move", ""),
        ("lift", ""),
    ]


@pytest.mark.parametrize(
    ("document", "field"),
    [
        (None, "$"),
        ({"do": "burn"}, "do"),
        ({"do": "lift"}, "name"),
        ({"do": "add", **rule_document(until="x")}, "until"),
        ({"do": "add", **rule_document(colour=1)}, "colour"),
        ({"do": "add", **rule_document(thing=3)}, "thing"),
        ({"do": "add", **rule_document(early="me")}, "early"),
        ({"do": "move", "name": "n", "until": 5}, "until"),
        ({"do": "move", "name": "n", "until": "2026-03-01T09:00:00Z", "thing": "b"}, "thing"),
        ({"do": "lift", "name": "n", "n": True}, "n"),
        ({"do": "add", **rule_document(gone=[1])}, "gone"),
        ({"do": "add", **rule_document(), "by": 7}, "by"),
        ({"do": "add", **rule_document(prefix="p")}, "thing"),
    ],
)
def test_faults_of_a_change_request_are_reported_by_field(document, field):
    with pytest.raises(Invalid) as raised:
        parse_change_request(document)
    assert field in {path for path, _ in raised.value.details["faults"]}


def test_a_group_must_be_embargoed_before_and_while_it_has_rules():
    chain = Chain()
    assert (
        "embargoes" not in chain.control_state.doc
        and "embargo_since" not in chain.control_state.doc
    )
    with pytest.raises(Invalid):
        chain.add()
    chain.configure(embargoing=["g1"])
    since = chain.control_state.seq
    chain.add()
    chain.configure(embargoing=["g1"], embargoes=[rule_document("m", prefix="x", thing="")])
    assert chain.control_state.doc["embargo_since"] == {"g1": since} and set(chain.rules()) == {
        "m",
        "n",
    }
    with pytest.raises(Invalid):
        chain.configure()
    chain.version -= 1
    chain.change("lift")
    chain.configure()
    assert chain.rules() == {} and chain.control_state.doc["embargo_since"] == {}


def test_the_total_size_of_placed_rules_is_limited():
    chain = Chain(embargoing=["g1"])
    with pytest.raises(TooLarge):
        for number in range(6000):
            chain.control_state.doc.setdefault("embargoes", {})[f"x{number}"] = {
                "group": "g1",
                "thing": "y" * 500,
            }
        chain.add()


def test_a_snapshot_and_later_records_lead_to_the_same_rules():
    chain = Chain(embargoing=["g1"])
    chain.add("a")
    restored = ControlState(json.loads(json.dumps(chain.control_state.snapshot())))
    for record in (
        parse_change_request(
            {"do": "move", "name": "a", "until": "2026-03-01T10:00:00Z"}
        ).record.to_document(),
        parse_change_request({"do": "add", **rule_document("b")}).record.to_document(),
    ):
        chain.append(record)
        restored.apply(restored.seq + 1, json.loads(json.dumps(record)))
    assert restored.doc == chain.control_state.doc


RECORD_KEY = st.text("ab", max_size=5)
RULE = st.fixed_dictionaries(
    {
        "group": st.sampled_from("gh"),
        "is_prefix": st.booleans(),
        "pattern": st.text("ab", min_size=1, max_size=4),
        "until": st.integers(1, 9),
        "early": st.lists(st.sampled_from("xyz"), max_size=2),
    }
)
STEP = st.tuples(st.integers(0, 7), RULE | st.none())


def as_rule(document):
    return Rule(
        group=document["group"],
        record_key="" if document["is_prefix"] else document["pattern"],
        prefix=document["pattern"] if document["is_prefix"] else "",
        until_us=document["until"],
        until_text="",
        zone="",
        exempt_clients=tuple(document["early"]),
    )


def covers(rule, group, record_key):
    return rule.group == group and (
        rule.record_key == record_key if rule.record_key else record_key.startswith(rule.prefix)
    )


@DRAWN
@given(
    st.lists(STEP, max_size=25),
    st.lists(RECORD_KEY, min_size=1, max_size=3),
    st.sampled_from("xyzw"),
    st.integers(0, 9),
)
def test_the_rule_table_agrees_with_a_linear_search(steps, record_keys, client, now):
    table, model = RuleTable(), {}
    for key, document in steps:
        if document is None:
            table.drop(key)
            model.pop(key, None)
        else:
            model[key] = as_rule(document)
            table.put(key, model[key])
    assert len(table) == len(model)
    for group in "gh":
        for record_key in record_keys:
            assert sorted(key for key, _ in table.covering(group, record_key)) == sorted(
                key for key, rule in model.items() if covers(rule, group, record_key)
            )
        withholding = [
            rule.until_us
            for rule in model.values()
            if rule.until_us > now
            and client not in rule.exempt_clients
            and any(covers(rule, group, record_key) for record_key in record_keys)
        ]
        latest = table.latest_release(group, record_keys, client, now)
        assert (latest[1].until_us if latest else None) == max(withholding, default=None)


def test_every_record_key_that_a_member_may_parse_is_checked():
    assert Statement("1", "read", "FETCH a").record_keys == {"a"}
    assert Statement("1", "read", "FETCH a  b ").record_keys == {"a  b ", "a", "b"}
    assert Statement("1", "execute", "EXECUTE q a b", name="q", data="a b").record_keys == {
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
def test_the_interval_of_a_majority_contains_true_time_despite_wrong_clocks(
    true_time, correct, wrong
):
    wrong = wrong[: len(correct) - 1]
    count = len(correct) + len(wrong)
    interval = agreed(
        [(true_time - below, true_time + above) for below, above in correct]
        + [(lowest, lowest + width) for lowest, width in wrong],
        count // 2 + 1,
    )
    assert interval is not None and interval[0] <= true_time <= interval[1]


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
    process = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONPATH": str(SOURCE_ROOT)},
        capture_output=True,
        text=True,
    )
    assert process.stdout.strip() == "[]", process


def test_the_wall_clock_is_read_in_one_place():
    wall_clock_read = re.compile(r"CLOCK_REALTIME|time\.time|datetime\.now|utcnow|localtime|gmtime")
    assert [
        path.name for path in SOURCE_ROOT.rglob("*.py") if wall_clock_read.search(path.read_text())
    ] == ["wall_clock.py"]


def test_a_resumable_control_node_declines_configurations_with_embargoes():
    document = {**json.loads(configuration("small")), "embargoing": ["g1"]}
    with pytest.raises(Invalid) as raised:
        asyncio.run(ResumableControlNode.apply(None, json.dumps(document)))
    assert [path for path, _ in raised.value.details["faults"]] == ["embargoing"]


CONFIG = {
    "Revision": 1,
    "Services": [{"Name": "svc"}, {"Name": "Ärger"}],
    "Routes": [{"Hostname": "db", "Service": "svc", "TimeoutMs": 800}],
}
RULE_ROW = {
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
        "Rules": [RULE_ROW],
    }
    parsed = parse_configuration(
        configuration_text(json.dumps({**CONFIG, "Embargo": section}).encode(), ["a"])
    )
    assert (parsed.bounds.skew_us, parsed.bounds.wall_us, parsed.bounds.spread_us) == (
        50_000,
        300_000,
        0,
    )
    fields = configuration_fields(parsed)["embargo"]
    assert fields["scope"] == sorted(["svc", internal_name("Ärger")]) and fields["rules"]["n"][
        "until"
    ] == utc_us(2026, 3, 1, 8)
    assert (
        configuration_fields(
            parse_configuration(
                configuration_text(json.dumps({**CONFIG, "Embargo": {}}).encode(), ["a"])
            )
        )
        == {}
    )


@pytest.mark.parametrize(
    ("section", "path"),
    [
        (3, "Embargo"),
        ({"Colour": 1}, "Embargo.Colour"),
        ({"Services": ["x"]}, "Embargo.Services[0]"),
        ({"Rules": [1]}, "Embargo.Rules[0]"),
        ({"Rules": [{**RULE_ROW, "Service": "x"}]}, "Embargo.Rules[0].Service"),
        ({"Rules": [{**RULE_ROW, "Thingy": "x"}]}, "Embargo.Rules[0].Thingy"),
        ({"Rules": [{**RULE_ROW, "Early": [1]}]}, "Embargo.Rules[0].Early"),
        ({"Rules": [{**RULE_ROW, "Until": 5}]}, "Embargo.Rules[0].Until"),
        ({"SpreadMs": "x"}, "Embargo.SpreadMs"),
    ],
)
def test_faults_of_a_platform_configuration_are_reported_by_field(section, path):
    with pytest.raises(Invalid) as raised:
        configuration_text(json.dumps({**CONFIG, "Embargo": section}).encode(), ["a"])
    assert [fault_path for fault_path, _ in raised.value.details["faults"]] == [path]

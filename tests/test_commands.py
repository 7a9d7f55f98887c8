"""Tests of the exit codes, output and help of the command line programs."""

import re
import subprocess
import sys

import pytest

from petrelhaven.commands import diff
from petrelhaven.commands.ctl import program
from petrelhaven.runtime.errors import Duplicate, NotReady
from petrelhaven.simulator import main as simulator

UNREACHABLE = "127.0.0.1:1"
COMMANDS = [
    ["apply", "{file}"],
    ["show"],
    ["show", "--unconfirmed"],
    ["evacuate", "a"],
    ["restore", "a"],
    ["why", "g1"],
    ["elect", "--group", "g1", "--member", "m1", "--accept-loss"],
    ["elect", "--group", "g1", "--member", "m1", "--epoch", "1", "--accept-loss"],
    ["reform", "--lost", "c1"],
    ["status"],
    ["status", "--node", UNREACHABLE],
    ["embargo", "add", "x", "--group", "g1", "--thing", "t", "--until", "2199-01-01T00:00:00Z"],
    ["embargo", "move", "x", "--until", "2199-01-01T00:00:00Z"],
    ["embargo", "lift", "x"],
    ["embargo", "list"],
    ["embargo", "why", "--group", "g1", "--thing", "t"],
]
WITHOUT_FLEET = {"check", "salvage"}
WITHDRAWN_TERMS = re.compile(
    r"\b(manifests?|halls?|cores?|kept|held|offices?|visitors?|edges?)\b", re.I
)


def exit_code_of(main, *argv):
    with pytest.raises(SystemExit) as exit_error:
        main(list(argv))
    return exit_error.value.code


def subparsers(parser):
    for action in parser._actions:
        if hasattr(action, "choices") and isinstance(action.choices, dict):
            for subparser in action.choices.values():
                yield subparser
                yield from subparsers(subparser)


@pytest.mark.parametrize("argv", COMMANDS, ids=" ".join)
def test_a_command_that_no_node_answers_exits_with_3(argv, tmp_path, capsys):
    file = tmp_path / "configuration.json"
    file.write_text('{"name": "x", "version": 1}')
    argv = [argument.format(file=file) for argument in argv]
    assert exit_code_of(program.main, "--control", UNREACHABLE, *argv) == 3
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_every_command_that_needs_a_fleet_is_tested():
    verbs = {argv[0] for argv in COMMANDS}
    choices = next(
        action.choices
        for action in program.parser()._actions
        if isinstance(getattr(action, "choices", None), dict)
    )
    assert set(choices) == verbs | WITHOUT_FLEET


def test_wrong_usage_exits_with_2_and_prints_the_usage(capsys):
    for argv in (["status", "--colour"], ["nothing"], []):
        assert exit_code_of(program.main, *argv) == 2
        assert "usage: petrelhavenctl" in capsys.readouterr().err
    assert exit_code_of(program.main, "status") == 1  # declined: --control is missing
    assert "--control: missing" in capsys.readouterr().err
    assert exit_code_of(program.main, "--control", UNREACHABLE, "apply", "/no/such/file") == 2


def test_commands_without_a_fleet_decline_invalid_input_with_1(tmp_path, capsys):
    invalid = tmp_path / "wrong.json"
    invalid.write_text('{"name": "x", "colour": 1}')
    assert exit_code_of(program.main, "check", str(invalid)) == 1
    assert "colour: unknown field" in capsys.readouterr().err
    assert exit_code_of(program.main, "salvage", str(tmp_path)) in (1, 2)


def test_the_exit_codes_are_documented():
    with open("docs/operating/exit-codes.md", encoding="utf-8") as page:
        text = page.read()
    rows = dict(re.findall(r"^\| (\d+) \| (.+?) \|", text, re.M))
    assert set(rows) == {"0", "1", "2", "3", "4", "5", "130"}
    epilog = program.parser().epilog
    for code in ("0", "1", "2", "3", "4", "5"):
        assert f"{code} " in epilog
    for verb in (
        {argv[0] for argv in COMMANDS} | WITHOUT_FLEET | {"fleet", "soak", "sweep", "scene"}
    ):
        assert f"`{verb}" in text, verb


def test_status_with_an_unreachable_node_exits_with_5(monkeypatch, capsys):
    status = {
        "name": "c1",
        "settings": {},
        "view": None,
        "state": "joining",
        "head": False,
        "ruling": False,
        "seq": 0,
        "commit": 0,
        "manifest": 0,
    }

    async def answer(address, verb, path, **_):
        if address == UNREACHABLE:
            raise program.Unreachable(address)
        return status

    monkeypatch.setattr("petrelhaven.commands.ctl.nodes.fetch", answer)
    assert exit_code_of(program.main, "--control", f"127.0.0.1:2,{UNREACHABLE}", "status") == 5
    shown = capsys.readouterr()
    assert "c1: joining" in shown.out and f"{UNREACHABLE}: nobody answers" in shown.out
    assert "1 of 2 did not answer" in shown.err


def test_a_change_appended_by_an_earlier_attempt_counts_as_done(monkeypatch, capsys):
    asked = []

    async def answer(address, verb, path, **_):
        asked.append(address)
        if address == "a:1":
            raise NotReady("not confirmed yet")
        raise Duplicate("embargo x stands already")

    monkeypatch.setattr("petrelhaven.commands.ctl.command.fetch", answer)
    lift = ["embargo", "lift", "x"]
    program.main(["--control", "a:1,b:1", *lift])
    assert asked == ["a:1", "b:1"] and "is lifted and in force" in capsys.readouterr().out
    # without an earlier attempt, the change was made by another operator
    assert exit_code_of(program.main, "--control", "b:1", *lift) == 1


@pytest.mark.parametrize("make", [program.parser, simulator.parser], ids=["ctl", "sim"])
def test_the_help_contains_no_withdrawn_terms(make):
    parsers = [make(), *subparsers(make())]
    assert len(parsers) > 5
    for parser in parsers:
        shown = parser.format_help()
        if parser.prog.endswith((" sweep", " soak")):
            # the names of fault kinds stay, since they are part of notes and recorded seeds
            shown = re.sub(r"\b[a-z]+(_[a-z]+)+\b|(?<=[ ])(manifests?|hall)\b", "", shown)
        assert WITHDRAWN_TERMS.findall(shown) == [], parser.prog


def test_former_options_are_accepted_but_hidden():
    parse = program.parser().parse_args
    assert parse(["--core", "a:1", "status"]).control == "a:1"
    elect = ["elect", "--group", "g", "--member", "m", "--accept-loss"]
    assert parse([*elect, "--office", "3"]).epoch == 3
    assert parse(["embargo", "why", "--group", "g", "--thing", "t", "--visitor", "v"]).client == "v"
    parse = simulator.parser().parse_args
    assert parse(["fleet", "--visitors", "3", "--faults", "edge,core"]).clients == 3
    assert [parse(["sweep", "--path", old]).path for old in ("kept", "held")] == [
        "resumable",
        "connection",
    ]


@pytest.mark.parametrize(
    "argv,message",
    [
        (["sweep", "--seeds", "2"], "A-B"),
        (["sweep", "--seeds", "5-2"], "A-B"),
        (["sweep", "--kinds", "nothing"], "is none of"),
        (["sweep", "--path", "both"], "invalid choice"),
        (["fleet", "--faults", "nothing"], "is none of"),
        (["soak", "--kinds", "nothing"], "is none of"),
        (["scene", "nothing"], "invalid choice"),
        (["measure", "nothing"], "invalid choice"),
        ([], "required"),
    ],
)
def test_wrong_usage_of_the_simulator_prints_the_usage(argv, message, capsys):
    assert exit_code_of(simulator.main, *argv) == 2
    shown = capsys.readouterr().err
    assert "usage: petrelhaven-sim" in shown and message in shown


def test_a_fleet_that_cannot_start_exits_with_3(tmp_path, capsys):
    blocking_file = tmp_path / "file"
    blocking_file.write_text("")
    assert (
        exit_code_of(simulator.main, "fleet", "--size", "small", "--dir", str(blocking_file / "x"))
        == 3
    )
    assert "could not be played" in capsys.readouterr().err


def test_diff_of_unreachable_nodes_exits_with_3(capsys):
    assert exit_code_of(diff.main, UNREACHABLE, UNREACHABLE) == 3
    assert exit_code_of(diff.main, UNREACHABLE) == 2


# --- each command of the simulator, run once as a separate process


def run_simulator(*argv):
    process = subprocess.run(
        [sys.executable, "-m", "petrelhaven.simulator.main", *argv],
        capture_output=True,
        text=True,
        timeout=300,
    )
    return process.returncode, process.stdout + process.stderr


@pytest.mark.parametrize("path", ["resumable", "connection", "embargoed", "control"])
def test_a_sweep_runs_and_counts_statements(path):
    code, out = run_simulator(
        "sweep", "--seeds", "1-3", "--path", path, "--jobs", "2", "--faults", "2"
    )
    assert code == 0, out
    found = re.search(r"^0 of 2 storms violated a rule; (\d+) statements answered$", out, re.M)
    assert found and int(found[1]) > 50, out


def test_a_scene_runs_and_prints_its_observations():
    code, out = run_simulator("scene", "primary_lost")
    assert code == 0 and "violations: 0" in out and out.startswith("seen: "), out


def test_a_measurement_prints_its_table():
    code, out = run_simulator("measure", "commit")
    rows = re.findall(r"^ +\d+ +[\d.]+ ms +[\d.]+ ms +[\d.]+ +[\d.]+$", out, re.M)
    assert code == 0 and len(rows) == 2 and out.startswith("lag ms"), out


def test_a_fleet_injects_each_fault(tmp_path):
    code, out = run_simulator(
        *("fleet", "--size", "small", "--clients", "5", "--seconds", "1", "--dir", str(tmp_path)),
        *("--faults", "proxy,control,freeze,drain"),
    )
    assert code == 0 and "violations: 0" in out, out
    assert [
        f"fault {kind} brought about" in out for kind in ("proxy", "control", "freeze", "drain")
    ] == [True] * 4


def test_a_soak_runs(tmp_path):
    code, out = run_simulator("soak", "--size", "small", "--seconds", "3", "--dir", str(tmp_path))
    assert code == 0 and "violations: 0" in out and "statements ok" in out, out


def test_printed_violations_are_truncated_and_counted(capsys):
    from petrelhaven.simulator.commands.base import exit_code, print_violations

    print_violations([("LOST", "x" * 5000)] * 30)
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 21 and max(map(len, lines)) < 700 and lines[-1] == "violations: 30"
    assert (exit_code([]), exit_code([1])) == (0, 1)

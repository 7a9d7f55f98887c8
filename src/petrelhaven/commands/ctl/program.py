"""The parser of petrelhavenctl, its run, and its exit codes."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Callable, Sequence

from petrelhaven.commands.ctl import configuration, embargoes, groups, nodes, zones
from petrelhaven.commands.ctl.command import Command, PartlyAnswered, add_hidden_alias
from petrelhaven.runtime.errors import DeadlineExceeded, Fault, Malformed, Unreachable

__all__ = ["main", "parser", "run"]

_DECLINED, _WRONG_CALL, _NOBODY_ANSWERED, _OUTCOME_UNKNOWN, _PARTLY_ANSWERED = 1, 2, 3, 4, 5
_US_PER_S = 1e6


def parser() -> argparse.ArgumentParser:
    """The parser of the command line."""
    made = argparse.ArgumentParser(
        prog="petrelhavenctl",
        description="Drives a petrelhaven fleet.",
        epilog="Exit codes: 0 done, 1 declined, 2 wrong call, 3 nobody answered, 4 the outcome "
        "is not known (read back with show), 5 told in part: not every control node that was asked "
        "answered.",
    )
    made.add_argument(
        "--control",
        default="",
        metavar="IP:PORT,...",
        help="HTTP addresses of control nodes, tried in order",
    )
    add_hidden_alias(made, "--core", "control")
    made.add_argument("--by", default="", help="who asks, stored with the change")
    made.set_defaults(needs_control=True)
    commands = made.add_subparsers(dest="verb", required=True)
    for theme in (configuration, zones, groups, nodes, embargoes):
        theme.add_commands(commands)
    return made


async def run(arguments: argparse.Namespace, out: Callable[[str], object]) -> None:
    """Runs one command; `out` prints a line.

    Raises:
        Fault: a control node declined, or the call is wrong.
        ExceptionGroup: of a Fault for each control node, if none serves.
        PartlyAnswered: not every control node that was asked answered.
    """
    if arguments.needs_control and not arguments.control:
        raise Malformed("--control: missing")
    await arguments.run(Command(arguments, out))


def _print_declined(fault: Fault) -> None:
    print(f"petrelhavenctl: declined: {fault.code}: {fault.note}", file=sys.stderr)
    for path, problem in fault.details.get("faults", []):
        print(f"  {path}: {problem}", file=sys.stderr)
    if fault.retry_after_us:
        print(f"  come back in {fault.retry_after_us / _US_PER_S:g} s", file=sys.stderr)


def _run_for_exit_code(arguments: argparse.Namespace) -> int:
    try:
        asyncio.run(run(arguments, print))
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(f"petrelhavenctl: {_line(fault)}", file=sys.stderr)
        return _NOBODY_ANSWERED
    except PartlyAnswered as silent:
        print(f"petrelhavenctl: {silent}", file=sys.stderr)
        return _PARTLY_ANSWERED
    except Fault as fault:
        return _code_of(fault)
    except (OSError, UnicodeDecodeError) as error:
        print(f"petrelhavenctl: {error}", file=sys.stderr)
        return _WRONG_CALL
    return 0


def _code_of(fault: Fault) -> int:
    """Prints a fault; returns its exit code."""
    if isinstance(fault, DeadlineExceeded):
        print(f"petrelhavenctl: {fault.note}", file=sys.stderr)
        return _OUTCOME_UNKNOWN
    if isinstance(fault, Unreachable):
        print(f"petrelhavenctl: nobody answers: {fault.note}", file=sys.stderr)
        return _NOBODY_ANSWERED
    _print_declined(fault)
    return _DECLINED


def _line(fault: Exception) -> str:
    return f"{fault.code}: {fault.note}" if isinstance(fault, Fault) else str(fault)


def main(argv: Sequence[str] | None = None) -> None:
    """Runs one command and exits with its code if that is not 0."""
    exit_code = _run_for_exit_code(parser().parse_args(argv))
    if exit_code:
        sys.exit(exit_code)

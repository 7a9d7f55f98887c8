"""The argument parser, the main function and the exit codes of petrelhavenctl."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Callable, Sequence

from petrelhaven.commands.ctl import configuration, embargoes, groups, nodes, zones
from petrelhaven.commands.ctl.command import Command, PartlyAnswered, add_hidden_alias
from petrelhaven.runtime.errors import DeadlineExceeded, Fault, Malformed, Unreachable

__all__ = ["main", "parser", "run"]

_EXIT_DECLINED = 1
_EXIT_WRONG_USAGE = 2
_EXIT_NO_ANSWER = 3
_EXIT_OUTCOME_UNKNOWN = 4
_EXIT_PARTLY_ANSWERED = 5
_US_PER_S = 1e6


def parser() -> argparse.ArgumentParser:
    """Builds the parser of the command line."""
    command_line = argparse.ArgumentParser(
        prog="petrelhavenctl",
        description="Operates a petrelhaven fleet.",
        epilog="Exit codes: 0 done, 1 declined, 2 wrong usage, 3 no node answered, 4 the outcome "
        "is unknown (check it with show), 5 partial answer: some of the queried control nodes "
        "did not answer.",
    )
    command_line.add_argument(
        "--control",
        default="",
        metavar="IP:PORT,...",
        help="HTTP addresses of control nodes, tried in order",
    )
    add_hidden_alias(command_line, "--core", "control")
    command_line.add_argument(
        "--by", default="", help="name of the requester, stored with the change"
    )
    command_line.set_defaults(needs_control=True)
    commands = command_line.add_subparsers(dest="verb", required=True)
    for module in (configuration, zones, groups, nodes, embargoes):
        module.add_commands(commands)
    return command_line


async def run(arguments: argparse.Namespace, out: Callable[[str], object]) -> None:
    """Runs one command, which prints lines through `out`.

    Raises:
        Fault: A control node declined the request, or the usage is wrong.
        ExceptionGroup: No control node serves the request; it has a Fault for each of them.
        PartlyAnswered: Some of the queried control nodes didn't answer.
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
            print(f"petrelhavenctl: {_format_fault(fault)}", file=sys.stderr)
        return _EXIT_NO_ANSWER
    except PartlyAnswered as error:
        print(f"petrelhavenctl: {error}", file=sys.stderr)
        return _EXIT_PARTLY_ANSWERED
    except Fault as fault:
        return _report_fault(fault)
    except (OSError, UnicodeDecodeError) as error:
        print(f"petrelhavenctl: {error}", file=sys.stderr)
        return _EXIT_WRONG_USAGE
    return 0


def _report_fault(fault: Fault) -> int:
    """Prints a fault and returns its exit code."""
    if isinstance(fault, DeadlineExceeded):
        print(f"petrelhavenctl: {fault.note}", file=sys.stderr)
        return _EXIT_OUTCOME_UNKNOWN
    if isinstance(fault, Unreachable):
        print(f"petrelhavenctl: nobody answers: {fault.note}", file=sys.stderr)
        return _EXIT_NO_ANSWER
    _print_declined(fault)
    return _EXIT_DECLINED


def _format_fault(fault: Exception) -> str:
    return f"{fault.code}: {fault.note}" if isinstance(fault, Fault) else str(fault)


def main(argv: Sequence[str] | None = None) -> None:
    """Runs one command and exits with its code if that isn't 0."""
    exit_code = _run_for_exit_code(parser().parse_args(argv))
    if exit_code:
        sys.exit(exit_code)

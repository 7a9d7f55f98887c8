"""`petrelhaven-sim measure`: one measurement, as ratios or counts."""

from __future__ import annotations

import argparse

from petrelhaven.simulator.commands.base import NOTHING_FOUND, CommandParsers
from petrelhaven.simulator.measure import MEASURES

__all__ = ["add_command"]


def add_command(commands: CommandParsers) -> None:
    """Adds this command to petrelhaven-sim's parser."""
    parser = commands.add_parser("measure", help="one measurement, as ratios or counts")
    parser.add_argument("what", choices=sorted(MEASURES))
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    return MEASURES[arguments.what]() or NOTHING_FOUND

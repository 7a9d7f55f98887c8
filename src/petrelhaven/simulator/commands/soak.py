"""`petrelhaven-sim soak`: a deployment at full size as processes, under seeded faults."""

from __future__ import annotations

import argparse
import asyncio
import tempfile

from petrelhaven.simulator.commands.base import (
    SIZES,
    CommandParsers,
    comma_list,
    exit_code,
    print_violations,
)
from petrelhaven.simulator.soak import KINDS, Soak

__all__ = ["add_command"]


def add_command(commands: CommandParsers) -> None:
    """Adds this command to petrelhaven-sim's parser."""
    parser = commands.add_parser(
        "soak",
        help="a deployment at full size as processes: the brief's load, a seeded schedule of "
        "faults, a checked history",
    )
    parser.add_argument("--size", choices=SIZES, default="nordvik")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120)
    parser.add_argument(
        "--kinds",
        type=comma_list(KINDS),
        default=KINDS,
        metavar="KIND,...",
        help="of " + ", ".join(KINDS),
    )
    parser.add_argument("--dir", help="folder for data and logs (a new temporary one)")
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    folder = arguments.dir or tempfile.mkdtemp(prefix="petrelhaven-soak-")
    print(f"seed {arguments.seed}; data and logs in {folder}", flush=True)
    soak = Soak(
        folder,
        arguments.size,
        arguments.seed,
        arguments.seconds,
        kinds=arguments.kinds,
        out=lambda line: print(line, flush=True),
    )
    violations = asyncio.run(soak.run())
    print_violations(violations)
    return exit_code(violations)

"""`petrelhaven-sim scene`: one fault brought about on purpose, in virtual time."""

from __future__ import annotations

import argparse

from petrelhaven.simulator.commands.base import SIZES, CommandParsers, exit_code
from petrelhaven.simulator.resumable.scene import NEEDS, SCENES, SIZE
from petrelhaven.simulator.resumable.storm import inside, violation_line

__all__ = ["add_command"]


def add_command(commands: CommandParsers) -> None:
    """Adds this command to petrelhaven-sim's parser."""
    parser = commands.add_parser(
        "scene", help="one fault brought about on purpose, in virtual time"
    )
    parser.add_argument("name", choices=sorted(SCENES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--size", choices=SIZES, help="the scene's own, if left out")
    parser.add_argument("--log", action="store_true", help="print every node's events")
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    name = arguments.name
    size = arguments.size or SIZE.get(name, "small")
    violations, world = inside(SCENES[name], arguments.seed, size, **NEEDS.get(name, {}))
    for row in world.net.log if arguments.log else ():
        print(*row)
    seen = ", ".join(f"{key} {value}" for key, value in world.seen.items() if isinstance(key, str))
    print("seen: " + (seen or "-"))
    for violation in violations:
        print("VIOLATION " + violation_line(violation))
    print(f"violations: {len(violations)}")
    return exit_code(violations)

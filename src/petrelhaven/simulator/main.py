"""petrelhaven-sim: a local fleet with load and checks, and the seeded simulator."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from petrelhaven.simulator.commands import fleet, measure, scene, soak, sweep
from petrelhaven.simulator.commands.base import NOT_PLAYED

__all__ = ["main", "parser"]

_INTERRUPTED = 130
_COMMANDS = (fleet, soak, sweep, scene, measure)


def parser() -> argparse.ArgumentParser:
    """The parser of the command line."""
    made = argparse.ArgumentParser(
        prog="petrelhaven-sim",
        description="Tries a fleet out.",
        epilog="Exit codes: 0 nothing that must never happen was seen, 1 something was, "
        "2 wrong call, 3 it could not be played, 130 interrupted before its end.",
    )
    commands = made.add_subparsers(dest="verb", required=True)
    for command in _COMMANDS:
        command.add_command(commands)
    return made


def main(argv: Sequence[str] | None = None) -> None:
    """Runs one command and exits with its code."""
    arguments = parser().parse_args(argv)
    try:
        sys.exit(arguments.run(arguments))
    except (OSError, TimeoutError) as error:
        print(f"petrelhaven-sim: could not be played: {error!r}", file=sys.stderr)
        sys.exit(NOT_PLAYED)
    except KeyboardInterrupt:
        sys.exit(_INTERRUPTED)


if __name__ == "__main__":
    main()

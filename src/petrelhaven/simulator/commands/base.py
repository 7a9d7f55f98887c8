"""What the commands of petrelhaven-sim share: exit codes, argument types, violations in print."""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable, Sequence
from typing import Any

__all__ = [
    "NOTHING_FOUND",
    "NOT_PLAYED",
    "SIZES",
    "VIOLATIONS_FOUND",
    "CommandParsers",
    "Handler",
    "comma_list",
    "exit_code",
    "print_violations",
]

NOTHING_FOUND, VIOLATIONS_FOUND, NOT_PLAYED = 0, 1, 3
SIZES = ("nordvik", "archivo", "small")
_SHOWN = 20
_SHOWN_LETTERS = 600

CommandParsers = Any  # argparse's action of subparsers, whose type has no public name
Handler = Callable[[argparse.Namespace], int]


def comma_list(known: Sequence[str]) -> Callable[[str], list[str]]:
    """An argument type: names of `known`, apart by commas."""

    def names(text: str) -> list[str]:
        found = [name for name in text.split(",") if name]
        for name in found:
            if name not in known:
                raise argparse.ArgumentTypeError(f"{name!r} is none of {', '.join(known)}")
        return found

    return names


def print_violations(violations: Sequence[object]) -> None:
    """Prints the first violations and how many there are."""
    for violation in violations[:_SHOWN]:
        print("VIOLATION " + json.dumps(violation, default=str)[:_SHOWN_LETTERS])
    print(f"violations: {len(violations)}")


def exit_code(violations: Sequence[object]) -> int:
    """The exit code for a run that found these."""
    return VIOLATIONS_FOUND if violations else NOTHING_FOUND

"""petrelhaven-diff: compares the states that two nodes report."""

import argparse
import asyncio
import sys
from collections.abc import Sequence
from typing import Any

from petrelhaven.runtime.errors import Fault
from petrelhaven.transport.http import fetch

__all__ = ["differences", "main"]

_COMPARED_FIELDS = ("manifest", "digest", "halls", "edges", "epochs", "members", "kith", "seq")
_RESPONSE_TIMEOUT_US = 3_000_000
_EXIT_NO_ANSWER = 3

StateReport = dict[str, Any]
Difference = tuple[str, Any, Any]


def _collect_differences(first: object, second: object, path: str, found: list[Difference]) -> None:
    """Appends to `found` each value that differs between two documents, with its path."""
    if isinstance(first, dict) and isinstance(second, dict):
        for key in sorted(set(first) | set(second)):
            _collect_differences(
                first.get(key), second.get(key), f"{path}.{key}" if path else key, found
            )
    elif first != second:
        found.append((path, first, second))


def differences(first: StateReport, second: StateReport) -> list[Difference]:
    """Returns the rows (path, value of the first node, value of the second node)."""
    found: list[Difference] = []
    for key in _COMPARED_FIELDS:
        if key in first and key in second:
            _collect_differences(first[key], second[key], key, found)
    if first.get("view") and second.get("view"):
        _collect_differences(first["view"], second["view"], "view", found)
    return found


async def _fetch_reports(first: str, second: str) -> list[StateReport]:
    calls = [
        fetch(address, "GET", "/belief", us=_RESPONSE_TIMEOUT_US) for address in (first, second)
    ]
    return list(await asyncio.gather(*calls))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="petrelhaven-diff",
        description="Compares the configuration version, epochs, membership and view "
        "that two nodes report.",
        epilog="Exit codes: 0 equal, 1 different, 2 wrong usage, 3 a node did not answer.",
    )
    parser.add_argument("a", metavar="IP:PORT")
    parser.add_argument("b", metavar="IP:PORT")
    return parser


def main(argv: Sequence[str] | None = None) -> None:
    """Prints the differences.

    Exits with 0 if there are none, 1 if there are some, 3 if a node doesn't answer.
    """
    nodes = _parser().parse_args(argv)
    try:
        first, second = asyncio.run(_fetch_reports(nodes.a, nodes.b))
    except Fault as fault:
        print(f"petrelhaven-diff: {fault.code}: {fault.note}", file=sys.stderr)
        sys.exit(_EXIT_NO_ANSWER)
    found = differences(first, second)
    for path, first_value, second_value in found:
        print(f"{path}: {first['name']} {first_value!r}, {second['name']} {second_value!r}")
    if not found:
        epochs = ", ".join(f"{name} epoch {epoch['n']}" for name, epoch in first["epochs"].items())
        print(
            f"{first['name']} and {second['name']} agree: "
            f"configuration {first['manifest']}, change {first['seq']}, {epochs}"
        )
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()

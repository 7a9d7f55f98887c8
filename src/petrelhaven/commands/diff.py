"""petrelhaven-diff: compares what two nodes believe."""

import argparse
import asyncio
import sys
from collections.abc import Sequence
from typing import Any

from petrelhaven.runtime.errors import Fault
from petrelhaven.transport.http import fetch

__all__ = ["differences", "main"]

_COMPARED = ("manifest", "digest", "halls", "edges", "epochs", "members", "kith", "seq")
_ANSWER_US = 3_000_000
_NO_ANSWER = 3

Belief = dict[str, Any]
Difference = tuple[str, Any, Any]


def _walk(first: object, second: object, path: str, found: list[Difference]) -> None:
    """Adds to `found` where two documents differ, by the path of each value."""
    if isinstance(first, dict) and isinstance(second, dict):
        for key in sorted(set(first) | set(second)):
            _walk(first.get(key), second.get(key), f"{path}.{key}" if path else key, found)
    elif first != second:
        found.append((path, first, second))


def differences(first: Belief, second: Belief) -> list[Difference]:
    """Rows of (path, belief of the first, belief of the second)."""
    found: list[Difference] = []
    for key in _COMPARED:
        if key in first and key in second:
            _walk(first[key], second[key], key, found)
    if first.get("view") and second.get("view"):
        _walk(first["view"], second["view"], "view", found)
    return found


async def _beliefs(first: str, second: str) -> list[Belief]:
    calls = [fetch(address, "GET", "/belief", us=_ANSWER_US) for address in (first, second)]
    return list(await asyncio.gather(*calls))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="petrelhaven-diff",
        description="Compares the configuration version, epochs, membership and plan "
        "that two nodes hold.",
        epilog="Exit codes: 0 the same, 1 they differ, 2 wrong call, 3 a node did not answer.",
    )
    parser.add_argument("a", metavar="IP:PORT")
    parser.add_argument("b", metavar="IP:PORT")
    return parser


def main(argv: Sequence[str] | None = None) -> None:
    """Prints the differences.

    Exits 0 where there are none, 1 where there are, 3 where a node does not answer.
    """
    nodes = _parser().parse_args(argv)
    try:
        first, second = asyncio.run(_beliefs(nodes.a, nodes.b))
    except Fault as fault:
        print(f"petrelhaven-diff: {fault.code}: {fault.note}", file=sys.stderr)
        sys.exit(_NO_ANSWER)
    found = differences(first, second)
    for path, one, other in found:
        print(f"{path}: {first['name']} {one!r}, {second['name']} {other!r}")
    if not found:
        epochs = ", ".join(f"{name} epoch {epoch['n']}" for name, epoch in first["epochs"].items())
        print(
            f"{first['name']} and {second['name']} agree: "
            f"configuration {first['manifest']}, change {first['seq']}, {epochs}"
        )
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()

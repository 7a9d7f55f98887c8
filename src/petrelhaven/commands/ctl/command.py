"""The context of a petrelhavenctl command: its arguments, control nodes and output."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from petrelhaven.runtime.errors import DeadlineExceeded, Duplicate, Fault, NotSent, Unreachable
from petrelhaven.transport.http import fetch

__all__ = [
    "Command",
    "CommandParsers",
    "Document",
    "Handler",
    "PartlyAnswered",
    "add_hidden_alias",
    "format_outcome",
    "read_text",
]

REPEATED = "repeated"
"""Key of the answer to a change that an earlier attempt of the same call already appended."""

_RETRY_OTHER_NODE_CODES = ("not-ready", "not-head")
_US_PER_S = 1e6

Document = dict[str, Any]
CommandParsers = Any  # the subparsers action of argparse, whose type isn't public


class PartlyAnswered(Exception):  # noqa: N818 (named like the exit code)
    """Some of the control nodes didn't answer the request for their own state."""


def add_hidden_alias(
    parser: CommandParsers,
    alias: str,
    name: str,
    **options: Any,  # noqa: ANN401 (as in argparse)
) -> None:
    """Accepts the former name of an option for one version, without listing it in the help.

    Args:
        parser: The parser of the option.
        alias: The former name, with its dashes.
        name: The attribute that the option sets.
        options: Further arguments of `add_argument`, such as `type`.
    """
    parser.add_argument(
        alias, dest=name, default=argparse.SUPPRESS, help=argparse.SUPPRESS, **options
    )


@dataclass(frozen=True, slots=True)
class Command:
    """One invocation of petrelhavenctl.

    Attributes:
        arguments: The parsed command line.
        print: Prints a line for the operator.
    """

    arguments: argparse.Namespace
    print: Callable[[str], object]

    @property
    def control_nodes(self) -> list[str]:
        """The HTTP addresses of the control nodes, in the order in which they are tried."""
        return str(self.arguments.control).split(",")

    @property
    def by_query(self) -> str:
        """The start of a query string, with the requester if `--by` was given."""
        return f"?by={self.arguments.by}" if self.arguments.by else "?"

    async def read(
        self, verb: str, path: str, doc: Document | None = None, raw: bool = False
    ) -> Any:  # noqa: ANN401 (any JSON document, or bytes)
        """Sends a read-only request and returns the answer of the first node that serves it.

        Args:
            verb: The HTTP method.
            path: The path with its query string.
            doc: A JSON document to send.
            raw: Whether to return the bytes of the answer instead of a parsed document.

        Raises:
            ExceptionGroup: No control node serves the request; it has a Fault for each of them.
            Fault: A control node declined the request.
        """
        return await self._request(self.control_nodes, False, verb, path, {"doc": doc, "raw": raw})

    async def change(
        self,
        path: str,
        nodes: list[str] | None = None,
        doc: Document | None = None,
        data: bytes | None = None,
    ) -> Document:
        """Sends a POST that changes state and returns the answer of the first node that serves it.

        Args:
            path: The path with its query string.
            nodes: The addresses to try instead of those of all control nodes.
            doc: A JSON document to send.
            data: Bytes to send if there is no document.

        Raises:
            DeadlineExceeded: The request may have arrived, and its outcome is unknown.
            ExceptionGroup: No control node serves the request; it has a Fault for each of them.
            Fault: A control node declined the request.
        """
        answer: Document = await self._request(
            nodes or self.control_nodes, True, "POST", path, {"doc": doc, "data": data}
        )
        return answer

    @staticmethod
    async def _request(
        nodes: list[str],
        is_change: bool,
        verb: str,
        path: str,
        options: Document,
    ) -> Any:  # noqa: ANN401 (as for `read`)
        faults: list[Exception] = []
        for node in nodes:
            try:
                return await fetch(node, verb, path, **options)
            except Duplicate:
                if not is_change or not faults:
                    raise
                return {REPEATED: True}  # an earlier attempt of this call appended the record
            except (DeadlineExceeded, Unreachable) as fault:
                if is_change and not isinstance(fault, NotSent):
                    raise DeadlineExceeded(
                        "the outcome is not known; read back with show or embargo list"
                    ) from None
                faults.append(fault)
            except Fault as fault:
                if fault.code not in _RETRY_OTHER_NODE_CODES:
                    raise
                faults.append(fault)
        raise ExceptionGroup("no control node serves", faults)


Handler = Callable[[Command], Awaitable[None]]


def format_outcome(answer: Document) -> str:
    """Formats the number of a change and how long it took until it was in force."""
    if answer.get(REPEATED):
        return "entered by an earlier attempt of this call"
    return f"change {answer['change']}, {answer['in_force_us'] / _US_PER_S:.3f} s"


def read_text(file: str) -> str:
    """Reads a text file, or standard input for `-`."""
    if file == "-":
        return sys.stdin.read()
    with open(file, encoding="utf-8") as handle:
        return handle.read()

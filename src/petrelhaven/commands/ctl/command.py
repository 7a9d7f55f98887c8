"""What a command of petrelhavenctl is given: its arguments, the nodes to ask, where to print."""

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
"""Key of the answer to a change that an earlier attempt of the same call has entered."""

_ANOTHER_NODE_MAY_SERVE = ("not-ready", "not-head")
_US_PER_S = 1e6

Document = dict[str, Any]
CommandParsers = Any  # argparse's action of subparsers, whose type has no public name


class PartlyAnswered(Exception):  # noqa: N818 (named after what the operator is told)
    """Some of the control nodes that were asked for their own state did not answer."""


def add_hidden_alias(
    parser: CommandParsers,
    alias: str,
    name: str,
    **options: Any,  # noqa: ANN401 (as of argparse)
) -> None:
    """Takes the former name of an option for one version, without showing it.

    Args:
        parser: the parser that has the option.
        alias: the former name, with its dashes.
        name: the option's attribute.
        options: as of `add_argument`, such as `type`.
    """
    parser.add_argument(
        alias, dest=name, default=argparse.SUPPRESS, help=argparse.SUPPRESS, **options
    )


@dataclass(frozen=True, slots=True)
class Command:
    """One call of petrelhavenctl.

    Attributes:
        arguments: the command line's.
        print: prints a line for the operator.
    """

    arguments: argparse.Namespace
    print: Callable[[str], object]

    @property
    def control_nodes(self) -> list[str]:
        """The HTTP addresses of the control nodes, in the order in which they are asked."""
        return str(self.arguments.control).split(",")

    @property
    def by_query(self) -> str:
        """The start of a query that says who asks, if that was given."""
        return f"?by={self.arguments.by}" if self.arguments.by else "?"

    async def read(
        self, verb: str, path: str, doc: Document | None = None, raw: bool = False
    ) -> Any:  # noqa: ANN401 (a JSON document of any form, or bytes)
        """The answer of the first control node that serves a call which changes nothing.

        Args:
            verb: HTTP's.
            path: with its query.
            doc: a JSON document to send.
            raw: answer with bytes instead of a document.

        Raises:
            ExceptionGroup: of a Fault for each control node, if none serves.
            Fault: a control node declined.
        """
        return await self._ask(self.control_nodes, False, verb, path, {"doc": doc, "raw": raw})

    async def change(
        self,
        path: str,
        nodes: list[str] | None = None,
        doc: Document | None = None,
        data: bytes | None = None,
    ) -> Document:
        """The answer of the first control node that serves a POST which changes something.

        Args:
            path: with its query.
            nodes: the addresses to ask in place of all.
            doc: a JSON document to send, or else
            data: bytes to send.

        Raises:
            DeadlineExceeded: the call may have arrived, and its outcome is not known.
            ExceptionGroup: of a Fault for each control node, if none serves.
            Fault: a control node declined.
        """
        answer: Document = await self._ask(
            nodes or self.control_nodes, True, "POST", path, {"doc": doc, "data": data}
        )
        return answer

    @staticmethod
    async def _ask(
        nodes: list[str],
        changes: bool,
        verb: str,
        path: str,
        options: Document,
    ) -> Any:  # noqa: ANN401 (as above)
        faults: list[Exception] = []
        for node in nodes:
            try:
                return await fetch(node, verb, path, **options)
            except Duplicate:
                if not changes or not faults:
                    raise
                return {REPEATED: True}  # an earlier attempt of this very call has entered it
            except (DeadlineExceeded, Unreachable) as fault:
                if changes and not isinstance(fault, NotSent):
                    raise DeadlineExceeded(
                        "the outcome is not known; read back with show or embargo list"
                    ) from None
                faults.append(fault)
            except Fault as fault:
                if fault.code not in _ANOTHER_NODE_MAY_SERVE:
                    raise
                faults.append(fault)
        raise ExceptionGroup("no control node serves", faults)


Handler = Callable[[Command], Awaitable[None]]


def format_outcome(answer: Document) -> str:
    """The number of a change and how long it took until it was in force, for printing."""
    if answer.get(REPEATED):
        return "entered by an earlier attempt of this call"
    return f"change {answer['change']}, {answer['in_force_us'] / _US_PER_S:.3f} s"


def read_text(file: str) -> str:
    """The text of a file, or of standard input for `-`."""
    if file == "-":
        return sys.stdin.read()
    with open(file, encoding="utf-8") as opened:
        return opened.read()

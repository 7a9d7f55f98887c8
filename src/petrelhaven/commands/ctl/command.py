"""What a command of petrelhavenctl is given: its arguments, the cores to ask, where to print."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from petrelhaven.runtime.errors import DeadlineExceeded, Fault, NotSent, Unreachable
from petrelhaven.transport.http import fetch

__all__ = ["Command", "CommandParsers", "Document", "Handler", "in_force", "read_text"]

_ANOTHER_CORE_MAY_SERVE = ("not-ready", "not-head")
_US_PER_S = 1e6

Document = dict[str, Any]
CommandParsers = Any  # argparse's action of subparsers, whose type has no public name


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
    def cores(self) -> list[str]:
        """The HTTP addresses of the cores, in the order in which they are asked."""
        return str(self.arguments.core).split(",")

    @property
    def by_query(self) -> str:
        """The start of a query that says who asks, if that was given."""
        return f"?by={self.arguments.by}" if self.arguments.by else "?"

    async def read(
        self, verb: str, path: str, doc: Document | None = None, raw: bool = False
    ) -> Any:  # noqa: ANN401 (a JSON document of any form, or bytes)
        """The answer of the first core that serves a call which changes nothing.

        Args:
            verb: HTTP's.
            path: with its query.
            doc: a JSON document to send.
            raw: answer with bytes instead of a document.

        Raises:
            ExceptionGroup: of a Fault for each core, if none serves.
            Fault: a core declined.
        """
        return await self._ask(self.cores, False, verb, path, {"doc": doc, "raw": raw})

    async def change(
        self,
        path: str,
        cores: list[str] | None = None,
        doc: Document | None = None,
        data: bytes | None = None,
    ) -> Document:
        """The answer of the first core that serves a POST which changes something.

        Args:
            path: with its query.
            cores: the addresses to ask in place of all.
            doc: a JSON document to send, or else
            data: bytes to send.

        Raises:
            DeadlineExceeded: the call may have arrived, and its outcome is not known.
            ExceptionGroup: of a Fault for each core, if none serves.
            Fault: a core declined.
        """
        answer: Document = await self._ask(
            cores or self.cores, True, "POST", path, {"doc": doc, "data": data}
        )
        return answer

    @staticmethod
    async def _ask(
        cores: list[str],
        changes: bool,
        verb: str,
        path: str,
        options: Document,
    ) -> Any:  # noqa: ANN401 (as above)
        faults: list[Exception] = []
        for core in cores:
            try:
                return await fetch(core, verb, path, **options)
            except (DeadlineExceeded, Unreachable) as fault:
                if changes and not isinstance(fault, NotSent):
                    raise DeadlineExceeded(
                        "the outcome is not known; read back with show or embargo list"
                    ) from None
                faults.append(fault)
            except Fault as fault:
                if fault.code not in _ANOTHER_CORE_MAY_SERVE:
                    raise
                faults.append(fault)
        raise ExceptionGroup("no core serves", faults)


Handler = Callable[[Command], Awaitable[None]]


def in_force(answer: Document) -> str:
    """The number of a change and how long it took until it was in force, for printing."""
    return f"change {answer['change']}, {answer['in_force_us'] / _US_PER_S:.3f} s"


def read_text(file: str) -> str:
    """The text of a file, or of standard input for `-`."""
    if file == "-":
        return sys.stdin.read()
    with open(file, encoding="utf-8") as opened:
        return opened.read()

"""Statements of clients and their replies; adapters translate between these and the protocol."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.position import Position

__all__ = ["Statement", "Reply"]


class Statement:
    """A client's statement.

    Attributes:
        number: The number that the client gave it.
        verb: begin, commit, rollback, read, write, set, prepare, execute or forget.
        text: The statement as received.
        name: The name of the value or prepared statement, if there is one.
        writes: Whether it may write.
        prepared_text: The text of the prepared statement, for PREPARE and EXECUTE.
        data: The value that SET sets, or the arguments of EXECUTE.
    """

    __slots__ = ("number", "verb", "name", "writes", "prepared_text", "text", "data")

    def __init__(  # noqa: PLR0913, PLR0917 (the fields of a statement)
        self,
        number: str,
        verb: str,
        text: str,
        name: str = "",
        writes: bool = False,
        prepared_text: str = "",
        data: str = "",
    ) -> None:
        """Creates a statement from its fields."""
        self.number = number
        self.verb = verb
        self.text = text
        self.name = name
        self.writes = writes
        self.prepared_text = prepared_text
        self.data = data

    @property
    def record_keys(self) -> set[str]:
        """The record keys that a read may name: its argument as one key, and split at spaces."""
        argument = self.data if self.verb == "execute" else self.text.partition(" ")[2]
        return {argument, *argument.split()}


class Reply:
    """The reply to a statement: rows and a stamp, or an error code and a text.

    Attributes:
        rows: The rows of the result.
        stamp: The member's version stamp of the result, "-" for none.
        code: The error code, or None if the statement succeeded.
        text: The explanation of the error.
        state: The session's state after the statement: I, T or E.
        position: The position of the member's log, or None.

    Codes: busy, lagging, readonly, misdirected, crowded, failed, unprepared, timeout, malformed,
    aborted, unsure (the outcome is unknown), unknown (no such database), oversize, withheld (under
    an embargo, or no tenant has the client's key).
    """

    __slots__ = ("rows", "stamp", "code", "text", "state", "position")

    def __init__(  # noqa: PLR0913, PLR0917 (the fields of a reply)
        self,
        rows: Sequence[str] = (),
        stamp: str = "-",
        code: str | None = None,
        text: str = "",
        state: str = "I",
        position: Position | None = None,
    ) -> None:
        """Creates a reply from its fields."""
        self.rows = rows
        self.stamp = stamp
        self.code = code
        self.text = text
        self.state = state
        self.position = position

    @property
    def ok(self) -> bool:
        """Whether the statement succeeded."""
        return self.code is None

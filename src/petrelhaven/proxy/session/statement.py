"""A client's statement and its reply; adapters translate them to and from the protocol."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.position import Position

__all__ = ["Statement", "Reply"]


class Statement:
    """One statement of a client.

    Attributes:
        num: The number that the client gave it.
        verb: begin, commit, rollback, read, write, set, prepare, execute or forget.
        text: The statement as it came.
        name: The name of the value or prepared statement, if it has one.
        writes: Whether it may write.
        shape: The text of the prepared statement that PREPARE names.
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
        """Takes a statement's fields."""
        self.number = number
        self.verb = verb
        self.text = text
        self.name = name
        self.writes = writes
        self.prepared_text = prepared_text
        self.data = data

    @property
    def record_keys(self) -> set[str]:
        """The records that a read names, in each way that a member may split its text."""
        words = self.data if self.verb == "execute" else self.text.partition(" ")[2]
        return {words, *words.split()}


class Reply:
    """What is answered: rows and a stamp, or a code and a text.

    Attributes:
        rows: The rows of the result.
        stamp: The member's stamp of it, "-" for none.
        code: Why it was not served, or None if it was.
        text: What goes with the code.
        state: The session's state after it: I, T or E.
        pos: The position of the member's log, or None.

    Codes: busy, lagging, readonly, misdirected, crowded, failed, unprepared, timeout, malformed,
    aborted, unsure, unknown (no such database), oversize, withheld (not released yet, or
    no tenant has the client's key).
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
        """Takes a reply's fields."""
        self.rows = rows
        self.stamp = stamp
        self.code = code
        self.text = text
        self.state = state
        self.position = position

    @property
    def ok(self) -> bool:
        """Whether the statement was run."""
        return self.code is None

"""A statement of a held session and its reply; the wire puts them into words."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.position import Position

__all__ = ["Statement", "Reply"]


class Statement:
    """One statement of a client.

    `num` is the number that the client gave it, `text` how it came. Verbs: begin, commit, rollback,
    read, write, set, prepare, execute, forget. `name` and `data` are a value's or a prepared
    statement's name and what is said of it, `shape` the text of a prepared statement.
    """

    __slots__ = ("num", "verb", "name", "writes", "shape", "text", "data")

    def __init__(  # noqa: PLR0913, PLR0917 (the fields of a statement)
        self,
        num: str,
        verb: str,
        text: str,
        name: str = "",
        writes: bool = False,
        shape: str = "",
        data: str = "",
    ) -> None:
        """Takes a statement's fields."""
        self.num = num
        self.verb = verb
        self.text = text
        self.name = name
        self.writes = writes
        self.shape = shape
        self.data = data

    @property
    def things(self) -> set[str]:
        """What a read asks for, in each way that a member may take its words."""
        words = self.data if self.verb == "execute" else self.text.partition(" ")[2]
        return {words, *words.split()}


class Reply:
    """What is answered: rows and a stamp, or a code and a text.

    `state` is the session's state after it (I, T or E), `pos` the position of the member's log.
    Codes: busy, lagging, readonly, misdirected, crowded, failed, unprepared, timeout, malformed,
    aborted, unsure, unknown (no such database), oversize, withheld (not released yet).
    """

    __slots__ = ("rows", "stamp", "code", "text", "state", "pos")

    def __init__(  # noqa: PLR0913, PLR0917 (the fields of a reply)
        self,
        rows: Sequence[str] = (),
        stamp: str = "-",
        code: str | None = None,
        text: str = "",
        state: str = "I",
        pos: Position | None = None,
    ) -> None:
        """Takes a reply's fields."""
        self.rows = rows
        self.stamp = stamp
        self.code = code
        self.text = text
        self.state = state
        self.pos = pos

    @property
    def ok(self) -> bool:
        """Whether the statement was run and not declined."""
        return self.code is None

"""Who leads a group."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

__all__ = ["MOVING", "SERVING", "SWITCHOVER", "Leadership"]

SERVING = "serve"
"""The primary serves."""
MOVING = "move"
"""No primary is known to serve: the leadership moves after a failure."""
SWITCHOVER = "swap"
"""The leadership is to move as planned; the former primary still serves."""


@dataclass(frozen=True, slots=True)
class Leadership:
    """Who is primary of a group, as a record of the control state names it.

    Attributes:
        number: Rises whenever the primary or the phase changes.
        primary: The name of the primary.
        phase: `SERVING`, `MOVING` or `SWITCHOVER`.
        stuck: Whether the control nodes see no way to a primary now.
        term: The term under which the primary was promoted.
    """

    number: int
    primary: str
    phase: str
    stuck: bool
    term: int = 0

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> Leadership:
        """The leadership that a record of the control state names."""
        return cls(
            number=record.get("since", record["n"]),
            primary=record["primary"],
            phase=record["phase"],
            stuck=bool(record.get("stuck")),
            term=record.get("term", 0),
        )

"""Who leads a group."""

from dataclasses import dataclass
from typing import Any

__all__ = ["Leadership"]


@dataclass(frozen=True, slots=True)
class Leadership:
    """Who is primary of a group; `number` rises when that or the phase changes.

    Phases: serve, move (no primary is known to serve), swap (planned, it still serves).

    `stuck` tells that control sees no way to a primary now.
    """

    number: int
    primary: str
    phase: str
    stuck: bool
    term: int = 0

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> "Leadership":
        """The leadership that a record of the control state tells."""
        return cls(
            number=record.get("since", record["n"]),
            primary=record["primary"],
            phase=record["phase"],
            stuck=bool(record.get("stuck")),
            term=record.get("term", 0),
        )

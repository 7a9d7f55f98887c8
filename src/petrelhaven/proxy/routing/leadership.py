"""Who leads a group."""

from dataclasses import dataclass
from typing import Any

__all__ = ["Leadership"]


@dataclass(frozen=True, slots=True)
class Leadership:
    """Who is primary of a group.

    Phases: serve, move (no primary is known to serve), swap (planned, it still serves).

    `stuck` tells that control sees no way to a primary now.
    """

    number: int
    primary: str
    phase: str
    stuck: bool

    @classmethod
    def from_record(cls, record: dict[str, Any]) -> "Leadership":
        """The leadership that a record of the control state tells."""
        return cls(record["n"], record["primary"], record["phase"], bool(record.get("stuck")))

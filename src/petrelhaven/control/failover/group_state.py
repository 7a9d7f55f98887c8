"""A group as the control state records it: its leadership and its members, as typed values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from petrelhaven.control.failover.evidence import Position

__all__ = [
    "GroupMember",
    "Leadership",
    "LeadershipPhase",
    "MemberEndpoint",
    "NewLeadership",
    "draining_members",
]

_PRIMARY, _REPLICA = "primary", "replica"
_READY, _DRAINING = "ready", "draining"


class LeadershipPhase(StrEnum):
    """What a leadership record says of its group; the values are those stored."""

    SERVING = "serve"
    """The primary serves."""
    FAILOVER = "move"
    """The primary is lost; nobody is known to serve."""
    SWITCHOVER = "swap"
    """The primary serves until a candidate replaces it."""


@dataclass(frozen=True, slots=True)
class Leadership:
    """The leadership of a group in force.

    Attributes:
        number: Counts the leadership records of the group.
        primary: The primary, or the last one while the phase is a failover.
        term: The term of that primary's log.
        cause: Why the record was entered, for operators.
        requested: Members whose promotion was requested and may still take effect.
    """

    number: int
    phase: LeadershipPhase
    primary: str
    term: int
    cause: str
    requested: frozenset[str]

    @classmethod
    def from_row(cls, row: Mapping[str, Any]) -> Leadership:
        """Reads the row that the control state stores."""
        return cls(
            number=row["n"],
            phase=LeadershipPhase(row["phase"]),
            primary=row["primary"],
            term=row["term"],
            cause=row["cause"],
            requested=frozenset(row.get("requested", ())),
        )

    @property
    def is_serving(self) -> bool:
        """Whether no change of the primary is under way."""
        return self.phase is LeadershipPhase.SERVING

    @property
    def pending(self) -> frozenset[str]:
        """Members that a request of the change under way may still promote."""
        return frozenset() if self.is_serving else self.requested


@dataclass(frozen=True, slots=True)
class NewLeadership:
    """What is to be recorded of a group's leadership next.

    Attributes:
        phase: What holds from the record on.
        primary: The primary, or the last one.
        term: The term of that primary's log.
        cause: Why, for operators.
        stuck: Whether proxies are to send writers away, since no primary is near.
        position: The new primary's position in its log, if it is known.
        accepted_loss: The operator who accepted that commits may be lost, or "".
        requested: Members whose promotion may be requested under this record.
    """

    phase: LeadershipPhase
    primary: str
    term: int
    cause: str
    stuck: bool = False
    position: Position | None = None
    accepted_loss: str = ""
    requested: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MemberEndpoint:
    """Where a member is reached, and as whom it must answer there."""

    name: str
    group: str
    address: str

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> MemberEndpoint:
        """Reads the body of the message `warden.look`."""
        return cls(body["member"], body["group"], body["addr"])

    def to_body(self) -> dict[str, Any]:
        """The body of the message `warden.look`."""
        return {"member": self.name, "addr": self.address, "group": self.group}


@dataclass(frozen=True, slots=True)
class GroupMember:
    """A member as recorded: `role` and `state` are what it announced last."""

    name: str
    group: str
    zone: str
    address: str
    role: str
    state: str

    @classmethod
    def from_row(cls, name: str, row: Mapping[str, Any]) -> GroupMember:
        """Reads the row that the control state stores under the member's name."""
        return cls(name, row["group"], row["hall"], row["addr"], row["role"], row["state"])

    @property
    def endpoint(self) -> MemberEndpoint:
        """Where it is reached."""
        return MemberEndpoint(self.name, self.group, self.address)

    @property
    def is_primary(self) -> bool:
        """Whether it announced itself as a primary."""
        return self.role == _PRIMARY

    @property
    def is_replica(self) -> bool:
        """Whether it announced itself as a replica."""
        return self.role == _REPLICA

    @property
    def is_ready(self) -> bool:
        """Whether it serves and is not about to leave."""
        return self.state == _READY

    @property
    def is_draining(self) -> bool:
        """Whether it is about to leave."""
        return self.state == _DRAINING


def draining_members(rows: Mapping[str, Mapping[str, Any]]) -> set[str]:
    """The names of the members that are about to leave, among the stored rows of all groups."""
    return {name for name, row in rows.items() if row["state"] == _DRAINING}

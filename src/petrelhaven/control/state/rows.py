"""Typed values for the rows of the control state's document."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from petrelhaven.control.state.record import Position, parse_position

__all__ = ["AcceptedConfiguration", "Leadership", "LeadershipPhase", "Member", "MemberState"]


class MemberState(StrEnum):
    """The state of a member; the values are part of the stored data."""

    READY = "ready"
    """The member serves and is not about to leave."""
    DRAINING = "draining"
    """The member serves for a while longer and is about to leave."""
    GONE = "gone"
    """The member has departed."""


class LeadershipPhase(StrEnum):
    """The phase of a group's leadership; the values are part of the stored data."""

    SERVING = "serve"
    """The primary serves."""
    FAILOVER = "move"
    """The primary is lost, and no member is known to serve."""
    SWITCHOVER = "swap"
    """The old primary serves until a candidate replaces it."""


@dataclass(frozen=True, slots=True)
class Member:
    """A member, with the values of its last recorded announcement.

    Attributes:
        name: Its name, unique among all groups.
        group: The group that it belongs to.
        zone: The zone that it runs in.
        address: Host and port.
        role: primary or replica, as announced by the member.
        state: ready, draining or gone.
        slots: How many requests it accepts at once.
        count: Rises with each announcement of a member.
    """

    name: str
    group: str
    zone: str
    address: str
    role: str
    state: str
    slots: int
    count: int

    @classmethod
    def from_row(cls, name: str, row: Mapping[str, Any]) -> Member:
        """Reads a row of `members`."""
        return cls(
            name=name,
            group=row["group"],
            zone=row["hall"],
            address=row["addr"],
            role=row["role"],
            state=row["state"],
            slots=row["slots"],
            count=row["count"],
        )

    @property
    def is_primary(self) -> bool:
        """Whether it announced itself as a primary."""
        return self.role == "primary"

    @property
    def is_replica(self) -> bool:
        """Whether it announced itself as a replica."""
        return self.role == "replica"

    @property
    def is_ready(self) -> bool:
        """Whether it serves and is not about to leave."""
        return self.state == MemberState.READY

    @property
    def is_draining(self) -> bool:
        """Whether it is about to leave."""
        return self.state == MemberState.DRAINING


@dataclass(frozen=True, slots=True)
class Leadership:
    """The primary of a group, or a leader change that is in progress.

    Attributes:
        number: The number of the group's last leadership record; it is the fencing token.
        phase: Whether the primary serves, or which kind of leader change is in progress.
        primary: The primary, or the old one during a change.
        term: The term under which the primary was promoted.
        cause: The reason, for operators.
        by: The control node that submitted the record.
        stuck: Whether no candidate can be promoted at present.
        since: The number of the first record with this primary and phase.
        position: The end of the primary's log at its promotion; None if it isn't recorded.
        requested: Candidates whose promotion was requested and isn't known to have failed.
    """

    number: int
    phase: LeadershipPhase
    primary: str
    term: int
    cause: str
    by: str
    stuck: bool
    since: int
    position: Position | None = None
    requested: tuple[str, ...] = ()

    @classmethod
    def from_row(cls, row: Mapping[str, Any]) -> Leadership:
        """Reads a row of `offices`."""
        return cls(
            number=row["n"],
            phase=LeadershipPhase(row["phase"]),
            primary=row["primary"],
            term=row.get("term", 0),
            cause=row.get("cause", ""),
            by=row.get("by", ""),
            stuck=bool(row.get("stuck")),
            since=row.get("since", row["n"]),
            position=parse_position(row.get("pos")),
            requested=tuple(row.get("requested", ())),
        )

    @property
    def is_serving(self) -> bool:
        """Whether no leader change is in progress."""
        return self.phase is LeadershipPhase.SERVING

    @property
    def pending(self) -> frozenset[str]:
        """Members that a requested promotion of the current change may still promote."""
        return frozenset() if self.is_serving else frozenset(self.requested)


@dataclass(frozen=True, slots=True)
class AcceptedConfiguration:
    """The configuration in force.

    Attributes:
        version: Its version.
        text: The operator's document, unchanged.
        by: Who applied it.
        digest: SHA-256 of the text, in hexadecimal digits.
        embargo: Scope and rules of its embargoes; None without any.
    """

    version: int
    text: str
    by: str
    digest: str
    embargo: Mapping[str, Any] | None = None

    @classmethod
    def from_row(cls, row: Mapping[str, Any]) -> AcceptedConfiguration:
        """Reads the field `manifest` of the document."""
        return cls(
            version=row["version"],
            text=row["text"],
            by=row.get("by", ""),
            digest=row["digest"],
            embargo=row.get("embargo"),
        )

    def to_row(self) -> dict[str, Any]:
        """Returns the value of the field `manifest`."""
        embargo = {} if self.embargo is None else {"embargo": self.embargo}
        return {
            "version": self.version,
            "text": self.text,
            "by": self.by,
            "digest": self.digest,
            **embargo,
        }

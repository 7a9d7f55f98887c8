"""What failover records of a group, and where it reaches the group's members."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from petrelhaven.control.failover.evidence import Position
    from petrelhaven.control.state.rows import LeadershipPhase, Member

__all__ = ["MemberEndpoint", "NewLeadership", "draining_members"]

_DRAINING = "draining"


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
    def from_member(cls, member: Member) -> MemberEndpoint:
        """Where a recorded member is reached."""
        return cls(member.name, member.group, member.address)

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> MemberEndpoint:
        """Reads the body of the message `warden.look`."""
        return cls(body["member"], body["group"], body["addr"])

    def to_body(self) -> dict[str, Any]:
        """The body of the message `warden.look`."""
        return {"member": self.name, "addr": self.address, "group": self.group}


def draining_members(rows: Mapping[str, Mapping[str, Any]]) -> set[str]:
    """The names of the members that are about to leave, among the stored rows of all groups."""
    return {name for name, row in rows.items() if row["state"] == _DRAINING}

"""Contents of a leadership record, and addresses of a group's members."""

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
    """The contents of a group's next leadership record.

    Attributes:
        phase: Whether the primary serves, or which kind of leader change is in progress.
        primary: The primary, or the last one during a failover.
        term: The term of that primary's log.
        cause: Why, for operators.
        stuck: Whether proxies reject writes, since no primary is expected soon.
        position: The new primary's position in its log, if it is known.
        accepted_loss: The operator who accepted the loss of commits, or "" if nobody did.
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
    """The address of a member, and the name and group under which it must answer there."""

    name: str
    group: str
    address: str

    @classmethod
    def from_member(cls, member: Member) -> MemberEndpoint:
        """Returns the endpoint of a recorded member."""
        return cls(member.name, member.group, member.address)

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> MemberEndpoint:
        """Parses the body of the message `warden.look`."""
        return cls(body["member"], body["group"], body["addr"])

    def to_body(self) -> dict[str, Any]:
        """Returns the body of the message `warden.look`."""
        return {"member": self.name, "addr": self.address, "group": self.group}


def draining_members(rows: Mapping[str, Mapping[str, Any]]) -> set[str]:
    """Returns the names of the draining members among the stored rows of all groups."""
    return {name for name, row in rows.items() if row["state"] == _DRAINING}

"""The view: the control nodes of the chain, their order, and the disks that vote."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["MemberDisks", "View"]

MemberDisks = Mapping[str, str]
"""The members, that is, the nodes that vote: disk identity by node name."""


@dataclass(frozen=True, slots=True)
class View:
    """One decided or proposed configuration of the replication chain.

    Attributes:
        number: Number of the view. Numbers have no gaps except after a reform of the chain.
        chain: Names of the nodes in the chain, from head to tail.
        members: The nodes that vote, with the identities of their disks.
        cause: Why the view was proposed, for operators.
        proposer: The node that proposed the view, or the operator who ordered a reform.
        former_members: The members of each earlier view that nodes might still act under when this
            view was proposed; None if they are unknown.
    """

    number: int
    chain: tuple[str, ...]
    members: MemberDisks
    cause: str = ""
    proposer: str = ""
    former_members: tuple[MemberDisks, ...] | None = None

    @property
    def head(self) -> str:
        """The node that numbers records."""
        return self.chain[0]

    @property
    def tail(self) -> str:
        """The node that commits records and answers reads."""
        return self.chain[-1]

    @property
    def quorum(self) -> int:
        """The number of members that make a majority."""
        return len(self.members) // 2 + 1

    @property
    def every_member_in_chain(self) -> bool:
        """Whether all members are in the chain."""
        return len(self.chain) == len(self.members)

    def is_member(self, name: str) -> bool:
        """Whether node `name` votes in this view."""
        return name in self.members

    def has_in_chain(self, name: str) -> bool:
        """Whether node `name` is in the chain."""
        return name in self.chain

    def is_member_disk(self, name: str, disk: str) -> bool:
        """Whether node `name` is a member with the disk identity `disk`."""
        return self.members.get(name) == disk

    def position(self, name: str, disk: str) -> int | None:
        """The index of a node in the chain; None if it is not there or has another disk."""
        if self.is_member_disk(name, disk) and name in self.chain:
            return self.chain.index(name)
        return None

    def successor(self, position: int) -> str | None:
        """The node after `position` in the chain, or None after the tail."""
        return self.chain[position + 1] if position + 1 < len(self.chain) else None

    def to_document(self) -> dict[str, Any]:
        """Returns the JSON document of this view, as it is stored and sent."""
        document: dict[str, Any] = {
            "n": self.number,
            "chain": list(self.chain),
            "ids": dict(self.members),
            "cause": self.cause,
            "by": self.proposer,
        }
        if self.former_members is not None:
            document["before"] = [dict(members) for members in self.former_members]
        return document

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> View:
        """Parses the JSON document of a view."""
        former_members = document.get("before")
        return cls(
            document["n"],
            tuple(document["chain"]),
            document["ids"],
            document.get("cause", ""),
            document.get("by", ""),
            None if former_members is None else tuple(former_members),
        )

    @classmethod
    def from_optional(cls, document: Mapping[str, Any] | None) -> View | None:
        """Parses the JSON document of a view, or returns None if there is no document."""
        return cls.from_document(document) if document else None

"""The view: which control nodes form the chain, in which order, and which disks vote."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["MemberDisks", "View"]

MemberDisks = Mapping[str, str]
"""Disk identity by node name: the members that vote."""


@dataclass(frozen=True, slots=True)
class View:
    """One decided or proposed configuration of the replication chain.

    Attributes:
        number: Views are numbered without gaps, except where the chain was reformed.
        chain: Names of the nodes of the chain; the first is its head, the last its tail.
        members: The members, that is, every node that votes, with the identity of its disk.
        cause: Why the view was proposed, for operators.
        by: Who proposed it: a node, or the operator who ordered a reform.
        before: Members of each former view that might still be in force when this one was proposed;
            None where that is not known.
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
        """How many members are a majority."""
        return len(self.members) // 2 + 1

    @property
    def every_member_in_chain(self) -> bool:
        """Whether no member is left out of the chain."""
        return len(self.chain) == len(self.members)

    def is_member(self, name: str) -> bool:
        """Whether node `name` votes in this view."""
        return name in self.members

    def has_in_chain(self, name: str) -> bool:
        """Whether node `name` is in the chain."""
        return name in self.chain

    def is_member_disk(self, name: str, disk: str) -> bool:
        """Whether `name` is a member with the identity `disk`."""
        return self.members.get(name) == disk

    def position(self, name: str, disk: str) -> int | None:
        """The place of a node in the chain; None without one, or if its disk is another."""
        if self.is_member_disk(name, disk) and name in self.chain:
            return self.chain.index(name)
        return None

    def successor(self, position: int) -> str | None:
        """The node after `position` in the chain; None after the tail."""
        return self.chain[position + 1] if position + 1 < len(self.chain) else None

    def to_document(self) -> dict[str, Any]:
        """The JSON document of this view, as it is stored and sent."""
        document: dict[str, Any] = {
            "n": self.number,
            "chain": list(self.chain),
            "ids": dict(self.members),
            "cause": self.cause,
            "by": self.proposer,
        }
        if self.former_members is not None:
            document["before"] = [dict(ids) for ids in self.former_members]
        return document

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> View:
        """The view of a JSON document."""
        before = document.get("before")
        return cls(
            document["n"],
            tuple(document["chain"]),
            document["ids"],
            document.get("cause", ""),
            document.get("by", ""),
            None if before is None else tuple(before),
        )

    @classmethod
    def from_optional(cls, document: Mapping[str, Any] | None) -> View | None:
        """The view of a JSON document, where there is one."""
        return cls.from_document(document) if document else None

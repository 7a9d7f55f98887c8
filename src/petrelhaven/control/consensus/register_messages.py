"""Messages between proposers and voters of the view register, and the stored state of a voter."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from petrelhaven.control.consensus.view import MemberDisks, View

__all__ = [
    "AcceptAnswer",
    "AcceptRequest",
    "Ballot",
    "PrepareAnswer",
    "PrepareRequest",
    "VoteState",
]


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """A ballot number. Ballots with the same number are ordered by the name of the proposer."""

    number: int
    proposer: str


@dataclass(frozen=True, slots=True)
class VoteState:
    """What a voter has promised and accepted, as its store keeps it.

    Attributes:
        promised: The highest ballot that was promised or accepted.
        accepted: The ballot with which `value` was accepted.
        value: The view that was accepted last.
        decided_members: The members of the newest view that is known to be decided.
    """

    promised: Ballot
    accepted: Ballot
    value: View | None
    decided_members: MemberDisks | None

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> VoteState:
        """Parses the document of a store."""
        return cls(
            Ballot(document["num"], document["who"]),
            Ballot(document["anum"], document["awho"]),
            View.from_optional(document["value"]),
            document["ids"],
        )

    @property
    def members(self) -> MemberDisks | None:
        """The members that vote in ballots, or None if the voter has no view."""
        return self.decided_members or (self.value.members if self.value else None)

    @property
    def highest_number(self) -> int:
        """The highest ballot number that was promised or accepted."""
        return max(self.promised.number, self.accepted.number)


@dataclass(frozen=True, slots=True)
class PrepareRequest:
    """Asks a voter to promise that it accepts nothing with a lower ballot."""

    ballot: Ballot
    members: MemberDisks

    def to_body(self) -> dict[str, Any]:
        """Returns the body of a `vote.prepare` call."""
        return {"num": self.ballot.number, "who": self.ballot.proposer, "ids": self.members}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> PrepareRequest:
        """Parses the body of a `vote.prepare` call."""
        return cls(Ballot(body["num"], body["who"]), body["ids"])


@dataclass(frozen=True, slots=True)
class PrepareAnswer:
    """Answers a `PrepareRequest`.

    Attributes:
        ok: Whether the voter promised.
        accepted: The ballot with which `value` was accepted.
        value: The view that the voter accepted last.
        highest_number: The highest ballot number that the voter had seen before the request.
    """

    ok: bool
    accepted: Ballot
    value: View | None
    highest_number: int

    def to_body(self) -> dict[str, Any]:
        """Returns the body of the answer to a `vote.prepare` call."""
        return {
            "ok": self.ok,
            "num": self.accepted.number,
            "who": self.accepted.proposer,
            "value": None if self.value is None else self.value.to_document(),
            "seen": self.highest_number,
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> PrepareAnswer:
        """Parses the body of the answer to a `vote.prepare` call."""
        accepted = Ballot(body["num"], body["who"])
        return cls(body["ok"], accepted, View.from_optional(body["value"]), body["seen"])


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    """Asks a voter to accept a view with a ballot."""

    ballot: Ballot
    members: MemberDisks
    value: View

    def to_body(self) -> dict[str, Any]:
        """Returns the body of a `vote.accept` call."""
        return {
            "num": self.ballot.number,
            "who": self.ballot.proposer,
            "ids": self.members,
            "value": self.value.to_document(),
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> AcceptRequest:
        """Parses the body of a `vote.accept` call."""
        ballot = Ballot(body["num"], body["who"])
        return cls(ballot, body["ids"], View.from_document(body["value"]))


@dataclass(frozen=True, slots=True)
class AcceptAnswer:
    """Answers an `AcceptRequest`.

    Attributes:
        ok: Whether the voter accepted the view.
        highest_number: The highest ballot number that the voter had seen before the request.
    """

    ok: bool
    highest_number: int

    def to_body(self) -> dict[str, Any]:
        """Returns the body of the answer to a `vote.accept` call."""
        return {"ok": self.ok, "seen": self.highest_number}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> AcceptAnswer:
        """Parses the body of the answer to a `vote.accept` call."""
        return cls(body["ok"], body["seen"])

"""What proposers and voters of the view register send each other, and what a voter remembers."""

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
    """A proposal number; the proposer's name tells two of one number apart."""

    number: int
    proposer: str


@dataclass(frozen=True, slots=True)
class VoteState:
    """What a voter has promised and accepted, read from the document that its store keeps.

    Attributes:
        promised: The highest ballot promised or accepted.
        accepted: The ballot under which `value` was accepted.
        value: The view accepted last.
        ids: The members of the newest view known to be decided.
    """

    promised: Ballot
    accepted: Ballot
    value: View | None
    ids: MemberDisks | None

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> VoteState:
        """The state that a store's document describes."""
        return cls(
            Ballot(document["num"], document["who"]),
            Ballot(document["anum"], document["awho"]),
            View.from_optional(document["value"]),
            document["ids"],
        )

    @property
    def members(self) -> MemberDisks | None:
        """The members under which ballots run; None for a voter that knows no view."""
        return self.ids or (self.value.members if self.value else None)

    @property
    def highest_number(self) -> int:
        """The highest ballot number promised or accepted."""
        return max(self.promised.number, self.accepted.number)


@dataclass(frozen=True, slots=True)
class PrepareRequest:
    """Asks a voter to promise that it accepts nothing under a lower ballot."""

    ballot: Ballot
    ids: MemberDisks

    def to_body(self) -> dict[str, Any]:
        """The body of a `vote.prepare`."""
        return {"num": self.ballot.number, "who": self.ballot.proposer, "ids": self.ids}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> PrepareRequest:
        """The request of a `vote.prepare`."""
        return cls(Ballot(body["num"], body["who"]), body["ids"])


@dataclass(frozen=True, slots=True)
class PrepareAnswer:
    """Whether the voter promised, and the view that it accepted last, with its ballot.

    `highest_number` is the highest ballot number that the voter had seen before this request.
    """

    ok: bool
    accepted: Ballot
    value: View | None
    highest_number: int

    def to_body(self) -> dict[str, Any]:
        """The answer to a `vote.prepare`."""
        return {
            "ok": self.ok,
            "num": self.accepted.number,
            "who": self.accepted.proposer,
            "value": None if self.value is None else self.value.to_document(),
            "seen": self.highest_number,
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> PrepareAnswer:
        """The answer of a `vote.prepare`."""
        accepted = Ballot(body["num"], body["who"])
        return cls(body["ok"], accepted, View.from_optional(body["value"]), body["seen"])


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    """Asks a voter to accept a view under a ballot."""

    ballot: Ballot
    ids: MemberDisks
    value: View

    def to_body(self) -> dict[str, Any]:
        """The body of a `vote.accept`."""
        return {
            "num": self.ballot.number,
            "who": self.ballot.proposer,
            "ids": self.ids,
            "value": self.value.to_document(),
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> AcceptRequest:
        """The request of a `vote.accept`."""
        ballot = Ballot(body["num"], body["who"])
        return cls(ballot, body["ids"], View.from_document(body["value"]))


@dataclass(frozen=True, slots=True)
class AcceptAnswer:
    """Whether the voter accepted, and the highest ballot number that it had seen before."""

    ok: bool
    highest_number: int

    def to_body(self) -> dict[str, Any]:
        """The answer to a `vote.accept`."""
        return {"ok": self.ok, "seen": self.highest_number}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> AcceptAnswer:
        """The answer of a `vote.accept`."""
        return cls(body["ok"], body["seen"])

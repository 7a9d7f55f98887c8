"""Records of evidence about the logs of a group's members.

`control/failover/evidence` combines them into the proof that an election loses no commit.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import ClassVar

from petrelhaven.control.state.record import KIND_KEY, Document, Position, parse_position

__all__ = [
    "LogBoundRecord",
    "CountedOutRecord",
    "ElectionOrderRecord",
    "EvidenceRecord",
    "NonVotingRecord",
    "UnknownEvidenceRecord",
    "evidence_from_document",
]


@dataclass(frozen=True, slots=True)
class CountedOutRecord:
    """Elections don't need the log of a leaving or lost member above `position`.

    If the position is None, the member counts again, for elections and for commits.
    """

    kind: ClassVar[str] = "evidence"
    what: ClassVar[str] = "counted_out"
    group: str
    member: str
    position: Position | None

    @classmethod
    def from_document(cls, document: Document) -> CountedOutRecord:
        """Reads a document written by `to_document`."""
        return cls(document["group"], document["member"], parse_position(document["pos"]))

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""
        return {
            KIND_KEY: self.kind,
            "group": self.group,
            "what": self.what,
            "member": self.member,
            "pos": list(self.position) if self.position else None,
        }


@dataclass(frozen=True, slots=True)
class NonVotingRecord:
    """A commit is acknowledged only once a replica other than `member`, lost or gone, has it."""

    kind: ClassVar[str] = "evidence"
    what: ClassVar[str] = "non_voting"
    group: str
    member: str

    @classmethod
    def from_document(cls, document: Document) -> NonVotingRecord:
        """Reads a document written by `to_document`."""
        return cls(document["group"], document["member"])

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""
        return {
            KIND_KEY: self.kind,
            "group": self.group,
            "what": self.what,
            "member": self.member,
        }


@dataclass(frozen=True, slots=True)
class LogBoundRecord:
    """The logs of `members`, which have left, end at or below `position`."""

    kind: ClassVar[str] = "evidence"
    what: ClassVar[str] = "bounded"
    group: str
    members: tuple[str, ...]
    position: Position

    @classmethod
    def from_document(cls, document: Document) -> LogBoundRecord:
        """Reads a document written by `to_document`."""
        term, index = document["pos"]
        return cls(document["group"], tuple(document["members"]), (term, index))

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""
        return {
            KIND_KEY: self.kind,
            "group": self.group,
            "what": self.what,
            "members": list(self.members),
            "pos": list(self.position),
        }


@dataclass(frozen=True, slots=True)
class ElectionOrderRecord:
    """The operator `by` orders the election of `member` without proof.

    `number` is the number of the waiting leadership that the operator saw.
    """

    kind: ClassVar[str] = "evidence"
    what: ClassVar[str] = "order"
    group: str
    member: str
    number: int
    by: str

    @classmethod
    def from_document(cls, document: Document) -> ElectionOrderRecord:
        """Reads a document written by `to_document`."""
        return cls(document["group"], document["member"], document["n"], document["by"])

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""
        return {
            KIND_KEY: self.kind,
            "group": self.group,
            "what": self.what,
            "member": self.member,
            "n": self.number,
            "by": self.by,
        }


@dataclass(frozen=True, slots=True)
class UnknownEvidenceRecord:
    """Evidence of a kind that only a newer version supports; it changes nothing."""

    kind: ClassVar[str] = "evidence"
    group: str
    what: str

    @classmethod
    def from_document(cls, document: Document) -> UnknownEvidenceRecord:
        """Reads the fields that all evidence records have."""
        return cls(document["group"], document["what"])

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""
        return {KIND_KEY: self.kind, "group": self.group, "what": self.what}


EvidenceRecord = (
    CountedOutRecord
    | NonVotingRecord
    | LogBoundRecord
    | ElectionOrderRecord
    | UnknownEvidenceRecord
)
_READERS: Mapping[str, Callable[[Document], EvidenceRecord]] = {
    CountedOutRecord.what: CountedOutRecord.from_document,
    NonVotingRecord.what: NonVotingRecord.from_document,
    LogBoundRecord.what: LogBoundRecord.from_document,
    ElectionOrderRecord.what: ElectionOrderRecord.from_document,
}


def evidence_from_document(document: Document) -> EvidenceRecord:
    """Reads a document of kind `evidence`."""
    read = _READERS.get(document["what"], UnknownEvidenceRecord.from_document)
    return read(document)

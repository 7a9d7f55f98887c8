"""Records about the logs of a group's members: what elections are proved from.

What they add up to is in `control/failover/evidence`.
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
    "UnknownEvidenceRecord",
    "evidence_from_document",
]


@dataclass(frozen=True, slots=True)
class CountedOutRecord:
    """Evidence: a leaving member is paused at `position`, or receives again if that is None."""

    kind: ClassVar[str] = "evidence"
    what: ClassVar[str] = "counted_out"
    group: str
    member: str
    position: Position | None

    @classmethod
    def from_document(cls, document: Document) -> CountedOutRecord:
        """Reads what `to_document` made."""
        return cls(document["group"], document["member"], parse_position(document["pos"]))

    def to_document(self) -> Document:
        """The record as plain JSON values."""
        return {
            KIND_KEY: self.kind,
            "group": self.group,
            "what": self.what,
            "member": self.member,
            "pos": list(self.position) if self.position else None,
        }


@dataclass(frozen=True, slots=True)
class LogBoundRecord:
    """Evidence: the logs of `members`, which have ended, are at or below `position`."""

    kind: ClassVar[str] = "evidence"
    what: ClassVar[str] = "bounded"
    group: str
    members: tuple[str, ...]
    position: Position

    @classmethod
    def from_document(cls, document: Document) -> LogBoundRecord:
        """Reads what `to_document` made."""
        first, second = document["pos"]
        return cls(document["group"], tuple(document["members"]), (first, second))

    def to_document(self) -> Document:
        """The record as plain JSON values."""
        return {
            KIND_KEY: self.kind,
            "group": self.group,
            "what": self.what,
            "members": list(self.members),
            "pos": list(self.position),
        }


@dataclass(frozen=True, slots=True)
class ElectionOrderRecord:
    """Evidence: the operator `by` orders to elect `member` without proof.

    `number` is that of the waiting leadership which the operator saw.
    """

    kind: ClassVar[str] = "evidence"
    what: ClassVar[str] = "order"
    group: str
    member: str
    number: int
    by: str

    @classmethod
    def from_document(cls, document: Document) -> ElectionOrderRecord:
        """Reads what `to_document` made."""
        return cls(document["group"], document["member"], document["n"], document["by"])

    def to_document(self) -> Document:
        """The record as plain JSON values."""
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
    """Evidence of a sort that only a newer version knows; it changes nothing here."""

    kind: ClassVar[str] = "evidence"
    group: str
    what: str

    @classmethod
    def from_document(cls, document: Document) -> UnknownEvidenceRecord:
        """Reads what is common to all evidence."""
        return cls(document["group"], document["what"])

    def to_document(self) -> Document:
        """The record as plain JSON values."""
        return {KIND_KEY: self.kind, "group": self.group, "what": self.what}


EvidenceRecord = CountedOutRecord | LogBoundRecord | ElectionOrderRecord | UnknownEvidenceRecord
_READERS: Mapping[str, Callable[[Document], EvidenceRecord]] = {
    CountedOutRecord.what: CountedOutRecord.from_document,
    LogBoundRecord.what: LogBoundRecord.from_document,
    ElectionOrderRecord.what: ElectionOrderRecord.from_document,
}


def evidence_from_document(document: Document) -> EvidenceRecord:
    """The record of a JSON document of kind `evidence`."""
    read = _READERS.get(document["what"], UnknownEvidenceRecord.from_document)
    return read(document)

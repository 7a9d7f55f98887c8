"""The record by which a control node begins to count tenants' operations without a past."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, NamedTuple

from petrelhaven.control.state.record import KIND_KEY, Document

__all__ = ["CountingRecord", "CountingStart"]


class CountingStart(NamedTuple):
    """The last beginning of a node.

    Attributes:
        seq: The number of the record by which it began.
        view_number: The view in which it began; an earlier one while that beginning is not settled.
        first_view: The view in which it began for the first time.
        is_settled: Whether nothing that was granted before counts in any window any more.
    """

    seq: int
    view_number: int
    first_view: int
    is_settled: bool


@dataclass(frozen=True, slots=True)
class CountingRecord:
    """A node begins to count in a view, or its beginning by record `settled_seq` is over."""

    kind: ClassVar[str] = "counting"
    node: str
    view_number: int
    settled_seq: int = 0

    @classmethod
    def from_document(cls, document: Document) -> CountingRecord:
        """Reads what `to_document` made."""
        return cls(document["node"], document["view"], document["settles"])

    def to_document(self) -> Document:
        """The record as plain JSON values."""
        return {
            KIND_KEY: self.kind,
            "node": self.node,
            "view": self.view_number,
            "settles": self.settled_seq,
        }

    def next_start(self, before: CountingStart | None, seq: int) -> CountingStart:
        """The node's last beginning after this record, which is number `seq`."""
        if self.settled_seq and before is not None:
            return before._replace(is_settled=True)
        if before is None:
            return CountingStart(seq, self.view_number, self.view_number, False)
        view_number = self.view_number if before.is_settled else before.view_number
        return CountingStart(seq, view_number, before.first_view, False)

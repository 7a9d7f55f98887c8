"""The record of a control node that starts to count tenants' operations without previous counts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, NamedTuple

from petrelhaven.control.state.record import KIND_KEY, Document

__all__ = ["CountingRecord", "CountingStart"]


class CountingStart(NamedTuple):
    """The last start of counting of a control node.

    Attributes:
        seq: The number of the record of the start.
        view_number: The view of the start, or of the first of several starts that aren't settled.
        first_view: The view of the node's first start.
        is_settled: Whether all quota windows that contain grants from before the start are over.
    """

    seq: int
    view_number: int
    first_view: int
    is_settled: bool


@dataclass(frozen=True, slots=True)
class CountingRecord:
    """A control node starts to count in a view, or an earlier start is settled.

    Attributes:
        node: The name of the control node.
        view_number: The view of the start.
        settled_seq: The number of the record whose start is settled; 0 for a start.
    """

    kind: ClassVar[str] = "counting"
    node: str
    view_number: int
    settled_seq: int = 0

    @classmethod
    def from_document(cls, document: Document) -> CountingRecord:
        """Reads a document written by `to_document`."""
        return cls(document["node"], document["view"], document["settles"])

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""
        return {
            KIND_KEY: self.kind,
            "node": self.node,
            "view": self.view_number,
            "settles": self.settled_seq,
        }

    def next_start(self, previous: CountingStart | None, seq: int) -> CountingStart:
        """Returns the node's last start after this record, which has number `seq`."""
        if self.settled_seq and previous is not None:
            return previous._replace(is_settled=True)
        if previous is None:
            return CountingStart(seq, self.view_number, self.view_number, False)
        view_number = self.view_number if previous.is_settled else previous.view_number
        return CountingStart(seq, view_number, previous.first_view, False)

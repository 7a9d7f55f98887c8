"""The record by which a control node begins to count tenants' operations without a past."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, NamedTuple

from petrelhaven.control.state.record import KIND, Document

__all__ = ["CountingRecord", "CountingStart"]


class CountingStart(NamedTuple):
    """The last beginning of a node.

    Attributes:
        view_number: The view in which it began.
        is_settled: Whether nothing that was granted before counts in any window any more.
    """

    view_number: int
    is_settled: bool


@dataclass(frozen=True, slots=True)
class CountingRecord:
    """A node begins to count in a view, or (`is_settled`) its beginning is over."""

    kind: ClassVar[str] = "counting"
    node: str
    view_number: int
    is_settled: bool = False

    @classmethod
    def from_document(cls, document: Document) -> CountingRecord:
        """Reads what `to_document` made."""
        return cls(document["node"], document["view"], document["settled"])

    def to_document(self) -> Document:
        """The record as plain JSON values."""
        return {
            KIND: self.kind,
            "node": self.node,
            "view": self.view_number,
            "settled": self.is_settled,
        }

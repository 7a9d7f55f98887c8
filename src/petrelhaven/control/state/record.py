"""What all records of the control state have in common, and helpers for their documents."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, ClassVar, Protocol

__all__ = [
    "KIND_KEY",
    "Document",
    "Position",
    "Record",
    "record_kind",
    "parse_position",
    "without_none",
    "stored_row",
]

Document = dict[str, Any]
Position = tuple[int, int]
KIND_KEY = "t"


class Record(Protocol):
    """One change of the control state."""

    kind: ClassVar[str]

    def to_document(self) -> Document:
        """The record as plain JSON values."""


def record_kind(document: Mapping[str, Any]) -> str:
    """The stored kind of a record: `manifest`, `hall`, `office`, ..."""
    kind: str = document[KIND_KEY]
    return kind


def stored_row(document: Mapping[str, Any], *keys: str) -> Document:
    """What the control state stores of a record: all of it but its kind and `keys`.

    Rows are taken from the document itself, so fields that this version doesn't know are stored
    like all others and nodes of two versions store the same.
    """
    return {key: value for key, value in document.items() if key != KIND_KEY and key not in keys}


def without_none(optional: Document) -> Document:
    """The fields that are not None; the others are left out of a document."""
    return {key: value for key, value in optional.items() if value is not None}


def parse_position(value: list[int] | None) -> Position | None:
    """A log position as stored (term and index); None if there is none."""
    return (value[0], value[1]) if value else None

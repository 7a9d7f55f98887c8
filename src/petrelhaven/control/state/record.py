"""The protocol of all records of the control state, and helpers for their documents."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, ClassVar, Protocol

__all__ = [
    "KIND_KEY",
    "Document",
    "Position",
    "Record",
    "parse_position",
    "record_kind",
    "stored_row",
    "without_none",
]

Document = dict[str, Any]
Position = tuple[int, int]
KIND_KEY = "t"


class Record(Protocol):
    """A change of the control state."""

    kind: ClassVar[str]

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""


def record_kind(document: Mapping[str, Any]) -> str:
    """Returns the stored kind of a record, such as `manifest`, `hall` or `office`."""
    kind: str = document[KIND_KEY]
    return kind


def stored_row(document: Mapping[str, Any], *keys: str) -> Document:
    """Returns the fields that the control state stores of a record: all but its kind and `keys`.

    Unknown fields are stored too, so that nodes of different versions store the same.
    """
    return {key: value for key, value in document.items() if key != KIND_KEY and key not in keys}


def without_none(optional: Document) -> Document:
    """Returns the fields that are not None, for documents without empty optional fields."""
    return {key: value for key, value in optional.items() if value is not None}


def parse_position(value: list[int] | None) -> Position | None:
    """Returns a stored log position as (term, index), or None if there is none."""
    return (value[0], value[1]) if value else None

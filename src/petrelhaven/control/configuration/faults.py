"""Faults of an operator's document, each with its path, and the error that reports them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from petrelhaven.runtime.errors import Invalid

__all__ = ["ROOT", "ConfigurationFault", "invalid_document", "join_path"]

ROOT = "$"
"""The path of the document itself."""


@dataclass(frozen=True, slots=True)
class ConfigurationFault:
    """One fault of a document.

    Attributes:
        path: the place in the document, such as `groups[2].cap`.
        message: what is expected there.
    """

    path: str
    message: str


def invalid_document(note: str, faults: Iterable[ConfigurationFault]) -> Invalid:
    """Returns the error that rejects a document, with all `faults` as pairs in its `details`."""
    return Invalid(note, details={"faults": [[fault.path, fault.message] for fault in faults]})


def join_path(path: str, key: str) -> str:
    """Returns the path of field `key` of the object at `path`; the root object's path is empty."""
    return f"{path}.{key}".lstrip(".")

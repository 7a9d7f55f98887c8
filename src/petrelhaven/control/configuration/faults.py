"""What is wrong in a document of the operator's, by path, and the error that reports it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from petrelhaven.runtime.errors import Invalid

__all__ = ["ROOT", "ConfigurationFault", "invalid_document", "join_path"]

ROOT = "$"
"""The path of a whole document."""


@dataclass(frozen=True, slots=True)
class ConfigurationFault:
    """One thing that is wrong: `path` is like `groups[2].cap`, `message` says what is expected."""

    path: str
    message: str


def invalid_document(note: str, faults: Iterable[ConfigurationFault]) -> Invalid:
    """The error that declines a document; its `details` carries all `faults` as pairs."""
    return Invalid(note, details={"faults": [[fault.path, fault.message] for fault in faults]})


def join_path(path: str, key: str) -> str:
    """The path of field `key` of the object at `path`, which is empty for the whole document."""
    return f"{path}.{key}".lstrip(".")

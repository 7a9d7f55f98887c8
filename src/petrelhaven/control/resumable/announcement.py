"""Validation of members' announcements to control nodes for resumable sessions."""

from __future__ import annotations

import re
from typing import Any

from petrelhaven.runtime.errors import Malformed
from petrelhaven.runtime.limits import NAME

__all__ = ["check_announcement"]

_ADDRESS = re.compile(r"[A-Za-z0-9.-]{1,64}:[A-Za-z0-9-]{1,32}")
_FIELD_TYPES = {
    "member": str,
    "group": str,
    "hall": str,
    "addr": str,
    "role": str,
    "log": int,
    "cap": int,
    "draining": bool,
    "boot": str,
    "store": str,
    "warm": bool,
    "term": int,
}
_NAME_FIELDS = ("member", "group", "hall")
_ROLES = ("primary", "replica")
_MAX_COUNTER = 1 << 53
_RANGES = {
    "log": (0, _MAX_COUNTER),
    "term": (0, _MAX_COUNTER),
    "cap": (1, 10_000),
    "beat": (0, _MAX_COUNTER),
}


def check_announcement(document: Any) -> None:  # noqa: ANN401 (unchecked, from outside)
    """Validates every field of an announcement.

    Raises:
        Malformed: A field is missing, has the wrong type or is out of range.
    """
    if not isinstance(document, dict):
        raise Malformed("announcement must be an object")
    _check_types(document)
    _check_values(document)


def _check_types(document: dict[str, Any]) -> None:
    for field, field_type in _FIELD_TYPES.items():
        if type(document.get(field)) is not field_type:
            raise Malformed(f"announcement field {field} must be {field_type.__name__}")
    if type(document.get("beat", 0)) is not int:
        raise Malformed("announcement field beat must be int")


def _check_values(document: dict[str, Any]) -> None:
    for field in _NAME_FIELDS:
        if not NAME.fullmatch(document[field]):
            raise Malformed(f"announcement field {field} must be a name")
    if not _ADDRESS.fullmatch(document["addr"]):
        raise Malformed("announcement field addr must be an address")
    if document["role"] not in _ROLES:
        raise Malformed("announcement field role must be primary or replica")
    for field, (minimum, maximum) in _RANGES.items():
        if not minimum <= document.get(field, minimum) <= maximum:
            raise Malformed(f"announcement field {field} must be from {minimum} to {maximum}")

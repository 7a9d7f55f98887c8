"""Checks of what a member announces where sessions are resumable."""

from __future__ import annotations

import re
from typing import Any

from petrelhaven.runtime.errors import Malformed
from petrelhaven.runtime.limits import NAME

__all__ = ["check_announcement"]

_ADDRESS = re.compile(r"[A-Za-z0-9.-]{1,64}:[A-Za-z0-9-]{1,32}")
_FIELDS = {
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
_NAMES = ("member", "group", "hall")
_ROLES = ("primary", "replica")
_MOST = 1 << 53
_RANGES = {"log": (0, _MOST), "term": (0, _MOST), "cap": (1, 10_000), "beat": (0, _MOST)}


def check_announcement(document: Any) -> None:  # noqa: ANN401 (unchecked, from outside)
    """Checks every field of an announcement.

    Raises:
        Malformed: a field is missing, or has another type or range than it should.
    """
    if not isinstance(document, dict):
        raise Malformed("announcement must be an object")
    _check_types(document)
    _check_values(document)


def _check_types(document: dict[str, Any]) -> None:
    for field, kind in _FIELDS.items():
        if type(document.get(field)) is not kind:
            raise Malformed(f"announcement field {field} must be {kind.__name__}")
    if type(document.get("beat", 0)) is not int:
        raise Malformed("announcement field beat must be int")


def _check_values(document: dict[str, Any]) -> None:
    for field in _NAMES:
        if not NAME.fullmatch(document[field]):
            raise Malformed(f"announcement field {field} must be a name")
    if not _ADDRESS.fullmatch(document["addr"]):
        raise Malformed("announcement field addr must be an address")
    if document["role"] not in _ROLES:
        raise Malformed("announcement field role must be primary or replica")
    for field, (least, most) in _RANGES.items():
        if not least <= document.get(field, least) <= most:
            raise Malformed(f"announcement field {field} must be from {least} to {most}")

"""Types of positions in a member's log, as proxies compare them."""

from typing import Any

__all__ = ["LogPosition", "Position"]

Position = tuple[int, int]
"""(term, log number), with connection sessions. A log at a position has all earlier ones too."""

LogPosition = Any
"""A `Position` with connection sessions, an integer with resumable sessions.

A proxy serves only one kind of session, so the two are never compared.
"""

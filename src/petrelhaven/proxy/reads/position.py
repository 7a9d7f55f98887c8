"""Positions in a member's log, as proxies compare them."""

from typing import Any

__all__ = ["LogPosition", "Position"]

Position = tuple[int, int]
"""With connection sessions: (term, number). A later one holds all that an earlier one holds."""

LogPosition = Any
"""With either kind of sessions: a `Position`, or with resumable ones a whole number.

One proxy has only one kind, so the two are never compared.
"""

"""The contract between the read clock and the bounds of a proxy of either kind."""

from __future__ import annotations

from typing import Protocol

__all__ = ["ReadBounds"]


class ReadBounds(Protocol):
    """How a group's position fetches are bounded; times in microseconds."""

    @property
    def fetch_us(self) -> int:
        """How long a fetch may take before another is started beside it."""

    @property
    def join_us(self) -> int:
        """How long a read waits for a position."""

    @property
    def lanes(self) -> int:
        """How many fetches may be under way."""

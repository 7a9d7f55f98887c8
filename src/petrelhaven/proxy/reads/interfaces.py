"""Interfaces that the read clock needs from its proxy; for type checking only."""

from __future__ import annotations

from typing import Protocol

__all__ = ["ReadBounds"]


class ReadBounds(Protocol):
    """The limits on the position fetches of one group; times in microseconds."""

    @property
    def fetch_us(self) -> int:
        """How long a fetch may take before another one is started in parallel."""

    @property
    def join_us(self) -> int:
        """How long a read waits for a position before it gives up."""

    @property
    def lanes(self) -> int:
        """How many fetches may run in parallel."""

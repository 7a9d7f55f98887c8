"""How many operations were used in the last window, in slices of time."""

from __future__ import annotations

import collections

__all__ = ["UsageWindow"]

_SLICE_US = 100_000
_GROUPED_SLICES = 5


class UsageWindow:
    """Uses by slice of time; a slice counts until the window has passed its end."""

    __slots__ = ("window_us", "total", "_slices")

    def __init__(self, window_us: int) -> None:
        """An empty window of `window_us` microseconds."""
        self.window_us = window_us
        self.total = 0
        self._slices: collections.deque[list[int]] = collections.deque()

    def add(self, count: int, now: int) -> None:
        """Counts `count` uses that happened at `now` or before."""
        if count <= 0:
            return
        number = now // _SLICE_US
        if self._slices and self._slices[-1][0] >= number:
            self._slices[-1][1] += count
        else:
            self._slices.append([number, count])
        self.total += count

    def advance(self, now: int) -> None:
        """Leaves out what no window that ends at `now` or later contains."""
        while self._slices and self._end(self._slices[0]) <= now:
            self.total -= self._slices.popleft()[1]

    def by_age(self, now: int) -> list[tuple[int, int]]:
        """The uses that count now: how long ago the newest of some happened, and how many.

        Ages are in microseconds, the oldest first; what happened within half a second is one entry.
        """
        self.advance(now)
        grouped: dict[int, list[int]] = {}
        for number, count in self._slices:
            entry = grouped.setdefault(number // _GROUPED_SLICES, [number, 0])
            entry[0] = number
            entry[1] += count
        return [
            (max(0, now - (number + 1) * _SLICE_US), count) for number, count in grouped.values()
        ]

    def until_freed(self, count: int, now: int) -> int:
        """Microseconds until `count` uses have left the window; its length if fewer are in it."""
        freed = 0
        for entry in self._slices:
            freed += entry[1]
            if freed >= count:
                return max(0, self._end(entry) - now)
        return self.window_us

    def _end(self, entry: list[int]) -> int:
        return (entry[0] + 1) * _SLICE_US + self.window_us

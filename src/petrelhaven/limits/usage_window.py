"""Counts uses within a sliding window, in slices of time."""

from __future__ import annotations

import collections

__all__ = ["UsageWindow"]

_SLICE_US = 100_000
_SLICES_PER_GROUP = 5


class UsageWindow:
    """Uses per slice of time; a slice counts until its end has left the window."""

    __slots__ = ("window_us", "total", "_slices")

    def __init__(self, window_us: int) -> None:
        """Creates an empty window of `window_us` microseconds."""
        self.window_us = window_us
        self.total = 0
        self._slices: collections.deque[list[int]] = collections.deque()

    def add(self, count: int, now: int) -> None:
        """Adds `count` uses that happened at `now` or before."""
        if count <= 0:
            return
        slice_number = now // _SLICE_US
        if self._slices and self._slices[-1][0] >= slice_number:
            self._slices[-1][1] += count
        else:
            self._slices.append([slice_number, count])
        self.total += count

    def advance(self, now: int) -> None:
        """Removes the slices that no window ending at `now` or later contains."""
        while self._slices and self._counts_until(self._slices[0]) <= now:
            self.total -= self._slices.popleft()[1]

    def uses_by_age(self, now: int) -> list[tuple[int, int]]:
        """Returns the uses in the window as pairs of an age and a count, the oldest first.

        Each entry covers half a second; its age, in microseconds, is that of its newest slice.
        """
        self.advance(now)
        grouped: dict[int, list[int]] = {}
        for slice_number, count in self._slices:
            entry = grouped.setdefault(slice_number // _SLICES_PER_GROUP, [slice_number, 0])
            entry[0] = slice_number
            entry[1] += count
        return [
            (max(0, now - (slice_number + 1) * _SLICE_US), count)
            for slice_number, count in grouped.values()
        ]

    def us_until_freed(self, count: int, now: int) -> int:
        """Returns the time until `count` uses have left the window.

        If the window contains fewer uses, the result is the length of the window.
        """
        freed = 0
        for entry in self._slices:
            freed += entry[1]
            if freed >= count:
                return max(0, self._counts_until(entry) - now)
        return self.window_us

    def _counts_until(self, entry: list[int]) -> int:
        return (entry[0] + 1) * _SLICE_US + self.window_us

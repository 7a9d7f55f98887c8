"""A node's wall clock, and the intersection of the clock readings of several nodes."""

import time
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["TimeInterval", "WallClock", "intersect_intervals"]

_START, _END = -1, 1
"""Kinds of interval ends; starts sort before ends at the same time."""


class TimeInterval(NamedTuple):
    """The times from `lowest` to `highest`, both in microseconds of UTC since 1970."""

    lowest: int
    highest: int


class WallClock:
    """This node's wall clock, which may be wrong and may be stepped.

    The simulator replaces it with a clock of each node's own.
    """

    __slots__ = ()

    def now(self) -> int:
        """Returns the node's reading of UTC in microseconds since 1970."""
        return time.clock_gettime_ns(time.CLOCK_REALTIME) // 1000


def intersect_intervals(intervals: Sequence[tuple[int, int]], least: int) -> TimeInterval | None:
    """Returns the span of all times that at least `least` of the intervals contain, or None.

    This is Marzullo's algorithm: if at least `least` of the intervals contain the true time, the
    result contains it as well.

    Args:
        intervals: Pairs of (lowest, highest); a pair whose ends are swapped is ignored.
        least: How many intervals have to contain a time.
    """
    ends = sorted(
        [(lowest, _START) for lowest, highest in intervals if lowest <= highest]
        + [(highest, _END) for lowest, highest in intervals if lowest <= highest]
    )
    overlap_count = 0
    lowest_common: int | None = None
    highest_common: int | None = None
    for time_us, kind in ends:
        if kind == _START:
            overlap_count += 1
            if overlap_count >= least and lowest_common is None:
                lowest_common = time_us
        else:
            if overlap_count >= least:
                highest_common = time_us
            overlap_count -= 1
    if lowest_common is None or highest_common is None:
        return None
    return TimeInterval(lowest_common, highest_common)

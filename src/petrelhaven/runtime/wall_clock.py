"""Times of day: a node's own reading, and the interval that most readings agree on."""

import time
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["TimeInterval", "WallClock", "intersect_intervals"]

_OPENS, _CLOSES = -1, 1


class TimeInterval(NamedTuple):
    """All moments from `lowest` to `highest`, both in microseconds of UTC since 1970."""

    lowest: int
    highest: int


class WallClock:
    """This node's wall clock, which may be wrong and may step.

    The simulator gives each node its own.
    """

    __slots__ = ()

    def now(self) -> int:
        """Microseconds of UTC since 1970, as this node believes."""
        return time.clock_gettime_ns(time.CLOCK_REALTIME) // 1000


def intersect_intervals(intervals: Sequence[tuple[int, int]], least: int) -> TimeInterval | None:
    """The interval of all moments that at least `least` of the (low, high) intervals hold, or None.

    This is Marzullo's algorithm: if `least` of them hold true time, the outcome does too.
    """
    ends = sorted(
        [(low, _OPENS) for low, high in intervals if low <= high]
        + [(high, _CLOSES) for low, high in intervals if low <= high]
    )
    holding = 0
    low: int | None = None
    high: int | None = None
    for moment, kind in ends:
        if kind == _OPENS:
            holding += 1
            if holding >= least and low is None:
                low = moment
        else:
            if holding >= least:
                high = moment
            holding -= 1
    if low is None or high is None:
        return None
    return TimeInterval(low, high)

"""Times of day: a node's own reading, and the interval that most readings agree on."""

import time

__all__ = ["Wall", "agreed"]


class Wall:
    """This node's wall clock, which may be wrong and may step. The simulator gives each node its own."""

    __slots__ = ()

    def now(self):
        """Microseconds of UTC since 1970, as this node believes."""
        return time.clock_gettime_ns(time.CLOCK_REALTIME) // 1000


def agreed(intervals, least):
    """From the lowest to the highest moment that at least `least` of the (low, high) intervals hold, or None.

    Marzullo's way: if `least` of them hold true time, the outcome does too.
    """
    ends = sorted(
        [(lo, -1) for lo, hi in intervals if lo <= hi]
        + [(hi, 1) for lo, hi in intervals if lo <= hi]
    )
    n, low, high = 0, None, None
    for at, kind in ends:
        if kind < 0:
            n += 1
            if n >= least and low is None:
                low = at
        else:
            if n >= least:
                high = at
            n -= 1
    return (low, high) if low is not None else None

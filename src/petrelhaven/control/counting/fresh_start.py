"""What a node may grant for tenants of whose count it knows nothing.

A node that begins so says it in a record first. Permits of its predecessor may be out still; beside
them it may grant what `QuotaPolicy.after_restart` leaves, but only one node at a time. So one that
finds the record of another beginning that is not settled yet grants nothing until whatever was
granted before counts in no window any more.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from petrelhaven.control.state.counting_record import CountingStart
from petrelhaven.limits.counter_mode import CounterMode

__all__ = ["FreshStart", "decide"]


class FreshStart(NamedTuple):
    """How a node begins in a view; `until` is None before its record is committed.

    Attributes:
        view_number: The view.
        regime: The regime of counters without a past.
        until: Until when that lasts, in clock microseconds.
    """

    view_number: int
    regime: CounterMode
    until: int | None = None


def decide(starts: Mapping[str, CountingStart], node: str, view_number: int) -> CounterMode:
    """The regime in which `node` begins in a view.

    Args:
        starts: The last beginning of each node, as recorded before this one.
        node: The node that begins.
        view_number: The view in which it counts. Others that began in the same view count other
            tenants there.
    """
    own = starts.get(node)
    others = [start for name, start in starts.items() if name != node]
    if own is None and all(start.first_view >= view_number for start in others):
        return CounterMode.REGULAR
    is_open = [start for start in others if not start.is_settled]
    if own is not None and not own.is_settled:
        return CounterMode.QUARANTINE
    if any(start.view_number < view_number for start in is_open):
        return CounterMode.QUARANTINE
    return CounterMode.RESTARTED

"""Decides what a node may grant for tenants of whose count it has no state.

A node that starts counting without state first records that in the chain. Permits of its
predecessor may still be outstanding, so it may grant only what `QuotaPolicy.restart_allowance`
leaves, and only one node at a time may do so. If the record of another such start is not yet
settled, the node grants nothing until no permit granted before counts in any window.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from petrelhaven.control.state.counting_record import CountingStart
from petrelhaven.limits.counter_mode import CounterMode

__all__ = ["FreshStart", "choose_counter_mode"]


class FreshStart(NamedTuple):
    """A node's start without state in a view.

    Attributes:
        view_number: The view.
        mode: The mode of counters without state.
        mode_ends_at: When that mode ends, in clock microseconds; None until the start is committed.
    """

    view_number: int
    mode: CounterMode
    mode_ends_at: int | None = None


def choose_counter_mode(
    starts: Mapping[str, CountingStart], node: str, view_number: int
) -> CounterMode:
    """Returns the mode in which `node` starts counting in a view.

    Other nodes that started in the same view count other tenants, so they are no conflict.

    Args:
        starts: The latest recorded start of each node, without the one being made.
        node: The node that starts.
        view_number: The view in which it counts.
    """
    own = starts.get(node)
    others = [start for name, start in starts.items() if name != node]
    if own is None and all(start.first_view >= view_number for start in others):
        return CounterMode.REGULAR
    unsettled = [start for start in others if not start.is_settled]
    if own is not None and not own.is_settled:
        return CounterMode.QUARANTINE
    if any(start.view_number < view_number for start in unsettled):
        return CounterMode.QUARANTINE
    return CounterMode.RESTARTED

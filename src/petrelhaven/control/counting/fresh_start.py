"""What a node may grant for tenants of whose count it knows nothing.

A node that begins so says it in a record first. Permits of its predecessor may be out still; beside
them it may grant what `QuotaTerms.after_restart` leaves, but only one node at a time. So one that
finds the record of another beginning that is not settled yet grants nothing until whatever was
granted before counts in no window any more.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

from petrelhaven.control.state.counting_record import CountingStart

__all__ = ["FreshStart", "Regime", "decide"]


class Regime(enum.Enum):
    """Which part of a limit a counter may grant."""

    REGULAR = "regular"
    RESTARTED = "restarted"
    QUARANTINE = "quarantine"


class FreshStart(NamedTuple):
    """The regime of counters without a past, and until when it lasts, in clock microseconds."""

    regime: Regime
    until: int


def decide(starts: Mapping[str, CountingStart], node: str, view_number: int) -> Regime:
    """The regime in which `node` begins in a view.

    Args:
        starts: The last beginning of each node, as recorded before this one.
        node: The node that begins.
        view_number: The view in which it counts. Others that began in the same view count other
            tenants there.
    """
    earlier = [
        start for name, start in starts.items() if name == node or start.view_number < view_number
    ]
    if not earlier:
        return Regime.REGULAR
    if all(start.is_settled for start in earlier):
        return Regime.RESTARTED
    return Regime.QUARANTINE

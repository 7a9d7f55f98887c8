"""The bounds by which a proxy with connection sessions works."""

from dataclasses import dataclass

__all__ = ["ProxyBounds"]


@dataclass(slots=True)
class ProxyBounds:
    """Times are in microseconds.

    Attributes:
        fetch_us: How long a position fetch may take before another is started beside it.
        join_us: How long a read waits for a position.
        lanes: How many position fetches a group has under way at once.
        idle_txn_us: How long a transaction may be idle between statements.
    """

    fetch_us: int = 250_000
    join_us: int = 1_000_000
    lanes: int = 2
    idle_txn_us: int = 3_000_000

"""Time and concurrency limits of a proxy with connection sessions."""

from dataclasses import dataclass

__all__ = ["ProxyBounds"]


@dataclass(slots=True)
class ProxyBounds:
    """The limits that a proxy currently applies; times in microseconds.

    Attributes:
        fetch_us: How long a position fetch may take before another one is started in parallel.
        join_us: How long a read waits for a position before it gives up.
        lanes: How many position fetches of one group may run in parallel.
        idle_txn_us: How long a transaction may be idle between statements before it is ended.
    """

    fetch_us: int = 250_000
    join_us: int = 1_000_000
    lanes: int = 2
    idle_txn_us: int = 3_000_000

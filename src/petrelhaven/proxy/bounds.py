"""The bounds by which a proxy of the held path works."""

from dataclasses import dataclass

__all__ = ["ProxyBounds"]


@dataclass(slots=True)
class ProxyBounds:
    """Times in microseconds.

    `fetch_us` is how long a position fetch may take before another is started beside it, `join_us`
    how long a read waits for a position, `lanes` how many fetches a group has under way, and
    `idle_txn_us` how long a transaction may rest between statements.
    """

    fetch_us: int = 250_000
    join_us: int = 1_000_000
    lanes: int = 2
    idle_txn_us: int = 3_000_000

"""The proxies that renew their leases at this control node, and how many renew theirs elsewhere."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["ConnectedProxies"]

_CONNECTED_US = 3_500_000
"""How long a proxy counts as connected after a lease renewal."""


class ConnectedProxies:
    """The proxies that recently renewed their leases at this node.

    Times are clock microseconds.
    """

    def __init__(self) -> None:
        """Starts without proxies."""
        self._renewed_at: dict[str, int] = {}

    def __len__(self) -> int:
        """Returns the number of connected proxies."""
        return len(self._renewed_at)

    def names(self) -> list[str]:
        """Returns the names of the connected proxies, sorted."""
        return sorted(self._renewed_at)

    def record_renewal(self, proxy: str, now: int) -> None:
        """Records a lease renewal, and removes the proxies whose last renewal is too old."""
        self._renewed_at[proxy] = now
        for name, renewed_at in list(self._renewed_at.items()):
            if now - renewed_at > _CONNECTED_US:
                del self._renewed_at[name]

    @staticmethod
    def count_elsewhere(counts: Mapping[str, tuple[int, int]], now: int) -> int:
        """Counts the proxies connected to other nodes.

        Args:
            counts: For each node, when it reported its number of proxies, and that number.
            now: The clock time.
        """
        return sum(
            count for reported_at, count in counts.values() if now - reported_at < _CONNECTED_US
        )

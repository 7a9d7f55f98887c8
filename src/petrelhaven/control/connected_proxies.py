"""The proxies that renew their leases at this control node, and how many renew theirs elsewhere."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["ConnectedProxies"]

_CONNECTED_US = 3_500_000


class ConnectedProxies:
    """The proxies that renewed their lease at this node lately. Times are clock microseconds."""

    def __init__(self) -> None:
        """Knows none yet."""
        self._renewed_at: dict[str, int] = {}

    def __len__(self) -> int:
        """How many there are."""
        return len(self._renewed_at)

    def names(self) -> list[str]:
        """Their names, sorted."""
        return sorted(self._renewed_at)

    def record_renewal(self, proxy: str, now: int) -> None:
        """Notes a renewal, and forgets who has not renewed for a while."""
        self._renewed_at[proxy] = now
        for name, at in list(self._renewed_at.items()):
            if now - at > _CONNECTED_US:
                del self._renewed_at[name]

    @staticmethod
    def count_elsewhere(counts: Mapping[str, tuple[int, int]], now: int) -> int:
        """How many are connected to other nodes, by `counts` of (when reported, how many)."""
        return sum(count for at, count in counts.values() if now - at < _CONNECTED_US)

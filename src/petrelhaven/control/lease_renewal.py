"""Renewal of a proxy's lease over its core connection (message kind `tie.pulse`)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["ConnectedProxies", "CoreAddress", "LeaseRenewal", "LeaseRenewalAnswer", "Suspicion"]

_CONNECTED_US = 3_500_000


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A proxy reports that a member of a group fails, and how."""

    group: str
    member: str
    how: str


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """A proxy asks for its lease.

    Attributes:
        proxy: Its name.
        applied: The newest record that it has applied.
        view_number: The view whose control nodes it knows.
        suspicions: What it reports of primaries.
    """

    proxy: str
    applied: int
    view_number: int
    suspicions: tuple[Suspicion, ...]

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> LeaseRenewal:
        """The request of a `tie.pulse`."""
        suspicions = tuple(Suspicion(*row) for row in body["doubts"])
        return cls(body["name"], body["seq"], body["cores"], suspicions)


@dataclass(frozen=True, slots=True)
class CoreAddress:
    """Where a control node listens."""

    name: str
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class LeaseRenewalAnswer:
    """Whether the lease is granted, and what the proxy needs to go on.

    Attributes:
        ok: Whether it is granted.
        lease_us: For how long, in microseconds.
        confirmation_age_us: How long ago the control node asked a majority that then confirmed it.
        needed: The newest record, which the proxy has to apply.
        view_number: The view of the control node; 0 without one.
        proxies: How many proxies are connected to all control nodes.
        cores: The control nodes of the view, if the proxy knows those of another one.
    """

    ok: bool
    lease_us: int
    confirmation_age_us: int
    needed: int
    view_number: int
    proxies: int
    cores: tuple[CoreAddress, ...]

    def to_body(self) -> dict[str, Any]:
        """The answer to a `tie.pulse`."""
        return {
            "ok": self.ok,
            "us": self.lease_us,
            "age": self.confirmation_age_us,
            "need": self.needed,
            "view": self.view_number,
            "edges": self.proxies,
            "cores": [[core.name, core.zone, core.address] for core in self.cores],
        }


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

    def renewed(self, proxy: str, now: int) -> None:
        """Notes a renewal, and forgets who has not renewed for a while."""
        self._renewed_at[proxy] = now
        for name, at in list(self._renewed_at.items()):
            if now - at > _CONNECTED_US:
                del self._renewed_at[name]

    @staticmethod
    def elsewhere(counts: Mapping[str, tuple[int, int]], now: int) -> int:
        """How many are connected to other nodes, by `counts` of (when reported, how many)."""
        return sum(count for at, count in counts.values() if now - at < _CONNECTED_US)

"""Selects the control node that a proxy connects to, among the nodes of the view and the seeds."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Collection, Iterable
from typing import TYPE_CHECKING

from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    import logbook

    from petrelhaven.runtime.clock import Clock
    from petrelhaven.transport.proxy_messages import ControlNodeAddress

__all__ = ["ControlNodeSearch"]

_UNKNOWN_DISTANCE = 9
_KNOWN_NODES_FIRST = 2
_REPORT_INTERVAL_US = 5_000_000


class ControlNodeSearch:
    """The addresses of control nodes, and which of them is tried next.

    A search lasts from the loss of a control node to the next lease. In its course each address is
    tried before any is tried again. The known nodes come first, the nearest before the others. If
    two of them have failed, the others alternate with the seeds: all known nodes may have been
    replaced in the meantime.

    Attributes:
        seeds: Configured addresses of control nodes; they may be outdated.
        view_number: The number of the view that the known control nodes are from; 0 if some of its
            nodes are missing.
        distances: The zone distance of each control node of that view, by address.
        attempts: How often each address was tried during this search.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        seeds: list[str],
        zone_distance: Callable[[str], int],
        log: logbook.Logger | None = None,
    ) -> None:
        """Creates a search that knows only the seeds.

        Args:
            clock: Monotonic clock in microseconds.
            rng: Selects among control nodes at the same distance.
            seeds: Addresses of control nodes for the first connection.
            zone_distance: Returns the distance of a zone; 0 is the proxy's own zone.
            log: Receives the events of the search.
        """
        self._clock, self._rng, self._log = clock, rng, log
        self._zone_distance = zone_distance
        self.seeds = seeds
        self.view_number = 0
        self.distances: dict[str, int] = {}
        self.attempts: collections.Counter[str] = collections.Counter()
        self._avoid_until: dict[str, int] = {}
        self._started_at = clock.now()
        self._report_at = self._started_at + _REPORT_INTERVAL_US

    def update(self, view_number: int, control_nodes: Iterable[ControlNodeAddress]) -> None:
        """Replaces the known control nodes by those of the view `view_number`.

        The number is 0 if the view has more nodes than that.
        """
        now = self._clock.now()
        self._avoid_until = {a: until for a, until in self._avoid_until.items() if until > now}
        distances = {node.address: self._zone_distance(node.zone) for node in control_nodes}
        if (view_number, distances) == (self.view_number, self.distances):
            return
        self.view_number, self.distances = view_number, distances
        cores = ",".join(sorted(distances))
        emit(self._log, Events.CONTROL_NODES_KNOWN, n=view_number, cores=cores)

    def start(self) -> None:
        """Starts a search: the control node is lost."""
        self._started_at = self._clock.now()
        self._report_at = self._started_at + _REPORT_INTERVAL_US

    def finish(self) -> None:
        """Ends the search: a control node has granted a lease."""
        self.attempts.clear()

    def avoid(self, address: str, duration_us: int) -> None:
        """Doesn't select `address` during the next `duration_us`."""
        until = self._clock.now() + duration_us
        self._avoid_until[address] = max(self._avoid_until.get(address, 0), until)

    def _is_avoided(self, address: str) -> bool:
        return self._avoid_until.get(address, 0) > self._clock.now()

    def next_address(self, pending: Collection[str] = ()) -> str | None:
        """Returns the address to try next, and counts the attempt.

        Returns None while all addresses are avoided or in `pending`, which are being tried.
        """
        self._report()
        usable = [
            address
            for address in sorted({*self.distances, *self.seeds})
            if not self._is_avoided(address) and address not in pending
        ]
        if not usable:
            return None
        fewest = min(self.attempts[address] for address in usable)
        selected = self._select([a for a in usable if self.attempts[a] == fewest])
        self.attempts[selected] += 1
        return selected

    def _select(self, addresses: list[str]) -> str:
        """Returns a nearest known node of `addresses`, or one of the others if it's their turn."""
        known = [address for address in addresses if address in self.distances]
        others = [address for address in addresses if address not in self.distances]
        if not known or others and self._are_seeds_due():
            return self._rng.choice(others)
        shortest = min(self.distances[address] for address in known)
        return self._rng.choice([a for a in known if self.distances[a] == shortest])

    def _are_seeds_due(self) -> bool:
        """Whether known nodes were tried more often than other addresses, by two at least."""
        known_attempts = sum(self.attempts[address] for address in self.distances)
        other_attempts = self.attempts.total() - known_attempts
        return known_attempts - other_attempts >= _KNOWN_NODES_FIRST

    def has_nearer(self, address: str) -> bool:
        """Whether a control node nearer than `address` is usable."""
        distance = self.distances.get(address, _UNKNOWN_DISTANCE)
        return any(
            other_distance < distance and not self._is_avoided(other)
            for other, other_distance in self.distances.items()
        )

    def _report(self) -> None:
        """Logs at intervals which addresses a long search has tried."""
        now = self._clock.now()
        if not self.attempts or now < self._report_at:
            return
        self._report_at = now + _REPORT_INTERVAL_US
        tried = sorted(self.attempts.items())
        emit(
            self._log,
            Events.CONTROL_NODE_SEARCHED,
            us=now - self._started_at,
            tried=",".join(f"{address}*{count}" for address, count in tried),
            cores=",".join(sorted(self.distances)) or "none",
            seeds=",".join(self.seeds) or "none",
        )

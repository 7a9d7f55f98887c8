"""Members that are suspected to have failed and have not been inspected yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.runtime.clock import Clock

__all__ = ["Suspicions"]

_INSPECTION_INTERVAL_US = 600_000
_REFUTATION_WINDOW_US = 4_000_000
_MAX_INTERVAL_DOUBLINGS = 2


class Suspicions:
    """The suspected primaries of all groups, and the suspected replicas.

    Attributes:
        replicas: When (clock microseconds) each replica was last suspected, by group and name.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts without suspicions."""
        self._clock = clock
        self.replicas: dict[tuple[str, str], int] = {}
        self._primaries: dict[str, str] = {}
        self._next_inspection: dict[str, int] = {}
        self._refutations: dict[str, tuple[int, int]] = {}

    def add_primary(self, group: str, reason: str) -> None:
        """Stores a suspicion of a group's primary; the first reason is kept."""
        self._primaries.setdefault(group, reason)

    def add_replica(self, group: str, name: str) -> None:
        """Stores a suspicion of a replica with the current time."""
        self.replicas[group, name] = self._clock.now()

    def replicas_of(self, group: str) -> set[str]:
        """Returns the suspected replicas of a group."""
        return {name for suspected_group, name in self.replicas if suspected_group == group}

    def remove_replica(self, group: str, name: str) -> None:
        """Drops the suspicion of a replica."""
        self.replicas.pop((group, name), None)

    def is_inspection_due(self, group: str) -> bool:
        """Returns whether the primary of a group is suspected and may be inspected now."""
        return group in self._primaries and self._next_inspection.get(group, 0) <= self._clock.now()

    def pop_primary(self, group: str) -> str:
        """Removes the suspicion of a group's primary and returns its reason."""
        return self._primaries.pop(group)

    def remove_primary(self, group: str) -> None:
        """Drops the suspicion of a group's primary."""
        self._primaries.pop(group, None)

    def clear_primaries(self) -> None:
        """Drops all suspicions of primaries."""
        self._primaries.clear()

    def postpone_inspection(self, group: str, delay_us: int = _INSPECTION_INTERVAL_US) -> None:
        """Prevents an inspection of a group's primary within the next `delay_us` microseconds."""
        self._next_inspection[group] = self._clock.now() + delay_us

    def record_refuted_suspicion(self, group: str) -> None:
        """Postpones the next inspection, for longer after several refutations in a row."""
        now = self._clock.now()
        last, doublings = self._refutations.get(group, (0, 0))
        recent = now - last < _REFUTATION_WINDOW_US
        doublings = min(doublings + 1, _MAX_INTERVAL_DOUBLINGS) if recent else 0
        self._refutations[group] = (now, doublings)
        self.postpone_inspection(group, _INSPECTION_INTERVAL_US << doublings)

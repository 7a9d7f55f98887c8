"""Members that are suspected to have failed, until somebody has inspected them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.runtime.clock import Clock

__all__ = ["Suspicions"]

_AFTER_INSPECTION_US = 600_000
_FRUITLESS_WINDOW_US = 4_000_000
_MAX_DOUBLINGS = 2


class Suspicions:
    """Suspected primaries by group, and suspected replicas.

    Attributes:
        replicas: Since when (clock microseconds) each replica is suspected, by group and name.
    """

    def __init__(self, clock: Clock) -> None:
        """Suspects nobody yet."""
        self._clock = clock
        self.replicas: dict[tuple[str, str], int] = {}
        self._primaries: dict[str, str] = {}
        self._not_before: dict[str, int] = {}
        self._fruitless: dict[str, tuple[int, int]] = {}

    def add_primary(self, group: str, reason: str) -> None:
        """The primary of a group is suspected; the first reason is the one that counts."""
        self._primaries.setdefault(group, reason)

    def add_replica(self, group: str, name: str) -> None:
        """A replica is suspected from now on."""
        self.replicas[group, name] = self._clock.now()

    def replicas_of(self, group: str) -> set[str]:
        """The suspected replicas of a group."""
        return {name for of, name in self.replicas if of == group}

    def remove_replica(self, group: str, name: str) -> None:
        """A replica is not suspected any more."""
        self.replicas.pop((group, name), None)

    def is_due(self, group: str) -> bool:
        """Whether the primary of a group is suspected and may be inspected now."""
        return group in self._primaries and self._not_before.get(group, 0) <= self._clock.now()

    def take_primary(self, group: str) -> str:
        """Removes the suspicion of a group's primary; its reason."""
        return self._primaries.pop(group)

    def remove_primary(self, group: str) -> None:
        """Forgets a suspicion of the primary of a group."""
        self._primaries.pop(group, None)

    def clear_primaries(self) -> None:
        """Forgets all suspicions of primaries."""
        self._primaries.clear()

    def hold_off(self, group: str, us: int = _AFTER_INSPECTION_US) -> None:
        """The primary of a group is not inspected within the next `us` microseconds."""
        self._not_before[group] = self._clock.now() + us

    def note_fruitless_inspection(self, group: str) -> None:
        """Suspicions that come again soon after a fruitless inspection are inspected less often."""
        now = self._clock.now()
        last, doublings = self._fruitless.get(group, (0, 0))
        recent = now - last < _FRUITLESS_WINDOW_US
        doublings = min(doublings + 1, _MAX_DOUBLINGS) if recent else 0
        self._fruitless[group] = (now, doublings)
        self.hold_off(group, _AFTER_INSPECTION_US << doublings)

"""Tracks when remote members last answered: evidence that the proxy's zone is not cut off."""

from petrelhaven.runtime.clock import Clock

__all__ = ["RemoteContact"]

_RECENT_CONTACT_US = 100_000


class RemoteContact:
    """Records the last answer from the most distant members.

    The distance of a member is 0 in the proxy's zone, 1 in its region and 2 elsewhere. During a
    partition of the zone or region, no answer arrives from outside. Members elsewhere normally
    answer statements many times a second, so missing answers reveal a partition long before the
    lease expires, without any extra messages.
    """

    __slots__ = ("_clock", "_longest_distance", "_last_contact_at")

    def __init__(self, clock: Clock) -> None:
        """Starts without a recorded answer."""
        self._clock = clock
        self._longest_distance = 0
        self._last_contact_at = 0

    def register_distance(self, distance: int) -> None:
        """Records that there is a member at `distance`."""
        self._longest_distance = max(self._longest_distance, distance)

    def note_answer(self, distance: int) -> None:
        """Records that a member at `distance` has just answered."""
        if distance >= self._longest_distance:
            self._last_contact_at = self._clock.now()

    def is_recent(self, distance: int) -> bool:
        """Whether the most distant members answered recently; True if `distance` is as far."""
        if self._longest_distance <= distance:
            return True
        return self._clock.now() - self._last_contact_at <= _RECENT_CONTACT_US

"""When a proxy last heard from far away: evidence that its own zone is not cut off."""

from petrelhaven.runtime.clock import Clock

__all__ = ["RemoteContact"]

_LATELY_US = 100_000


class RemoteContact:
    """Notes the answers of members by their distance (0: own zone, 1: own region, 2: farther).

    A zone or region that is cut off hears nothing from beyond from that moment on. Statements to
    members elsewhere are answered many times a second, so silence shows a cut long before a lease
    lapses, and costs no message of its own.
    """

    __slots__ = ("_clock", "_farthest", "_heard_at")

    def __init__(self, clock: Clock) -> None:
        """Has heard nothing yet."""
        self._clock = clock
        self._farthest = 0
        self._heard_at = 0

    def register_distance(self, distance: int) -> None:
        """There is a member at `distance`."""
        self._farthest = max(self._farthest, distance)

    def note_answer(self, distance: int) -> None:
        """A member at `distance` has answered just now."""
        if distance >= self._farthest:
            self._heard_at = self._clock.now()

    def is_recent(self, distance: int) -> bool:
        """Whether the farthest members answered lately; always if `distance` is as far."""
        if self._farthest <= distance:
            return True
        return self._clock.now() - self._heard_at <= _LATELY_US

"""Readings of other control nodes' monotonic clocks.

A call carries its deadline by the clock of its receiver.
"""

from dataclasses import dataclass

from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import NotSent

__all__ = ["Expiry", "PeerClocks"]

_FRESH_US = 5_000_000


@dataclass(frozen=True, slots=True)
class Expiry:
    """A moment on the monotonic clock of one run of one control node's process."""

    boot: int
    moment_us: int

    def to_document(self) -> list[int]:
        """The moment as a message carries it."""
        return [self.boot, self.moment_us]

    @classmethod
    def from_document(cls, document: list[int] | None) -> "Expiry | None":
        """The moment that a message carried, if it carried one."""
        return None if document is None else cls(*document)

    def is_valid(self, boot: int, now_us: int) -> bool:
        """Whether the moment lies ahead, in this very run of the process."""
        return boot == self.boot and now_us <= self.moment_us


@dataclass(frozen=True, slots=True)
class _Reading:
    boot: int
    shown_us: int
    received_us: int


class PeerClocks:
    """The last reading of each control node's clock.

    A reading is older on arrival than it says, so what is worked out from it lies before the true
    moment, never after.
    """

    def __init__(self, clock: Clock) -> None:
        """Has no readings yet."""
        self._clock = clock
        self._readings: dict[str, _Reading] = {}

    def record_reading(self, name: str, boot: int, shown_us: int) -> None:
        """Takes what the clock of node `name` showed when it answered just now."""
        self._readings[name] = _Reading(boot, shown_us, self._clock.now())

    def has_recent_reading(self, name: str) -> bool:
        """Whether there is a reading so recent that drift does not matter."""
        reading = self._readings.get(name)
        return reading is not None and self._clock.now() - reading.received_us < _FRESH_US

    def expiry_at(self, name: str, us: int) -> Expiry:
        """The moment `us` from now on the clock of node `name`.

        Raises:
            NotSent: that node has not answered yet.
        """
        reading = self._readings.get(name)
        if reading is None:
            raise NotSent(f"the clock of {name} is not known")
        return Expiry(reading.boot, reading.shown_us + self._clock.now() - reading.received_us + us)

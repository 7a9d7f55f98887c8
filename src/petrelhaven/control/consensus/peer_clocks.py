"""Readings of other control nodes' monotonic clocks.

The deadline of a call is expressed in the clock of the node that receives the call.
"""

from dataclasses import dataclass

from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import NotSent

__all__ = ["Expiry", "PeerClocks"]

_RECENT_READING_AGE_US = 5_000_000


@dataclass(frozen=True, slots=True)
class Expiry:
    """A time on the monotonic clock of one process of a control node.

    Attributes:
        boot: Clock time at which the process started. It identifies the process.
        moment_us: The time of the expiry.
    """

    boot: int
    moment_us: int

    def to_document(self) -> list[int]:
        """Returns the expiry as a message carries it."""
        return [self.boot, self.moment_us]

    @classmethod
    def from_document(cls, document: list[int] | None) -> "Expiry | None":
        """Parses the expiry of a message; returns None if the message has none."""
        return None if document is None else cls(*document)

    def is_valid(self, boot: int, now_us: int) -> bool:
        """Whether the process is the one that started at `boot` and the time has not passed."""
        return boot == self.boot and now_us <= self.moment_us


@dataclass(frozen=True, slots=True)
class _Reading:
    boot: int
    shown_us: int
    received_us: int


class PeerClocks:
    """The last reading of each control node's clock.

    A reading takes time to arrive. A time that is computed from it is therefore never later than
    the true time.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates an empty set of readings."""
        self._clock = clock
        self._readings: dict[str, _Reading] = {}

    def record_reading(self, name: str, boot: int, shown_us: int) -> None:
        """Records the clock reading in an answer that node `name` has just sent."""
        self._readings[name] = _Reading(boot, shown_us, self._clock.now())

    def has_recent_reading(self, name: str) -> bool:
        """Whether the reading of node `name` is recent enough for clock drift to be negligible."""
        reading = self._readings.get(name)
        return (
            reading is not None and self._clock.now() - reading.received_us < _RECENT_READING_AGE_US
        )

    def expiry_at(self, name: str, delay_us: int) -> Expiry:
        """Returns the time `delay_us` from now on the clock of node `name`.

        Raises:
            NotSent: There is no reading of that node's clock.
        """
        reading = self._readings.get(name)
        if reading is None:
            raise NotSent(f"no reading of the clock of {name}")
        return Expiry(
            reading.boot, reading.shown_us + self._clock.now() - reading.received_us + delay_us
        )

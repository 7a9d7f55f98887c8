"""Computes an interval that contains true time, from the wall clocks of the control nodes.

The interval is the one on which the wall clocks of a majority agree, extrapolated with the
monotonic clock. docs/notes/embargoes.md derives it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeAlias

from petrelhaven.control.consensus.chain import MAX_CLOCK_RATE_RATIO
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.wall_clock import TimeInterval, agreed
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    import logbook

    from petrelhaven.control.embargo.records import EmbargoBounds
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.runtime.wall_clock import WallClock

__all__ = ["AgreedTime", "extrapolate_interval"]

CallNode: TypeAlias = Callable[[str, str, dict[str, Any], int], Awaitable[dict[str, Any]]]

_READ_INTERVAL_US = 500_000
_READ_TIMEOUT_US = 400_000
_MAX_READING_AGE_US = 3_000_000
_CLOCK_JUMP_SUSPICION_US = 60_000_000


def extrapolate_interval(interval: TimeInterval, elapsed_us: int) -> TimeInterval:
    """Returns the interval `elapsed_us` later, widened by the drift of the monotonic clock."""
    return TimeInterval(
        interval.lowest + int(elapsed_us / MAX_CLOCK_RATE_RATIO),
        interval.highest + int(elapsed_us * MAX_CLOCK_RATE_RATIO),
    )


@dataclass(frozen=True, slots=True)
class _Reading:
    """A control node's wall clock reading, taken between `requested_us` and `received_us`.

    Both are times of the local monotonic clock.
    """

    requested_us: int
    received_us: int
    wall_us: int

    def interval(self, now_us: int, skew_us: int) -> TimeInterval:
        """Returns the interval of true time now if that clock's error was at most `skew_us`."""
        at_reading = TimeInterval(self.wall_us - skew_us, self.wall_us + skew_us)
        return TimeInterval(
            extrapolate_interval(at_reading, now_us - self.received_us).lowest,
            extrapolate_interval(at_reading, now_us - self.requested_us).highest,
        )


class AgreedTime:
    """Reads the wall clocks of all control nodes while embargoes are enabled."""

    def __init__(  # noqa: PLR0913, PLR0917 (the parts of a control node)
        self,
        clock: Clock,
        wall_clock: WallClock,
        name: str,
        node_names: Callable[[], Collection[str]],
        bounds: Callable[[], EmbargoBounds | None],
        call: CallNode,
        tasks: BackgroundTasks,
        log: logbook.Logger | None = None,
    ) -> None:
        """Creates an instance without readings.

        Args:
            clock: the node's monotonic clock.
            wall_clock: the node's wall clock, which may be wrong.
            name: the node's name.
            node_names: returns the names of all control nodes.
            bounds: returns the bounds of the configuration, None while embargoes are disabled.
            call: sends a request to a control node: name, message kind, body, timeout in us.
            tasks: the node's background tasks.
            log: the logger for events.
        """
        self._clock = clock
        self.wall_clock = wall_clock
        self._name = name
        self._node_names = node_names
        self._bounds = bounds
        self._call = call
        self._tasks = tasks
        self._log = log
        self._readings: dict[str, _Reading] = {}
        self._previous: tuple[int, TimeInterval] | None = None
        self._clocks_suspected_until_us = 0
        self._was_agreed: bool | None = None
        self._own_clock_was_valid = True

    async def run(self) -> None:
        """Reads the wall clocks of all control nodes periodically."""
        while True:
            if self._bounds() is not None:
                for name in self._node_names():
                    self._tasks.spawn(self._read(name))
                self._log_changes()
            await self._clock.sleep(_READ_INTERVAL_US)

    async def _read(self, name: str) -> None:
        requested_us = self._clock.now()
        if name == self._name:
            wall_us = self.wall_clock.now()
        else:
            try:
                answer = await self._call(
                    name, MessageKind.WALL_CLOCK_READ, {"name": self._name}, _READ_TIMEOUT_US
                )
            except Fault:
                return
            wall_us = answer["wall"]
        newest = self._readings.get(name)
        if newest is None or requested_us >= newest.requested_us:
            self._readings[name] = _Reading(requested_us, self._clock.now(), wall_us)

    def interval(self) -> TimeInterval | None:
        """Returns the interval that contains true time; None without a close enough majority."""
        bounds = self._bounds()
        if bounds is None:
            return None
        now_us = self._clock.now()
        interval = self._majority_interval(now_us, bounds.skew_us)
        if interval is None:
            return None
        self._compare_with_previous(interval, now_us)
        too_wide = interval.highest - interval.lowest > bounds.wall_us
        if now_us < self._clocks_suspected_until_us or too_wide:
            return None
        return interval

    def _majority_interval(self, now_us: int, skew_us: int) -> TimeInterval | None:
        names = self._node_names()
        usable = [
            self._readings[name].interval(now_us, skew_us)
            for name in names
            if name in self._readings
            and now_us - self._readings[name].requested_us < _MAX_READING_AGE_US
        ]
        return agreed(usable, len(names) // 2 + 1)

    def _compare_with_previous(self, interval: TimeInterval, now_us: int) -> None:
        """Suspects the majority's clocks if the interval jumped further than drift explains."""
        if self._previous is not None:
            previous_us, previous = self._previous
            possible = extrapolate_interval(previous, now_us - previous_us)
            if interval.highest < possible.lowest or interval.lowest > possible.highest:
                self._clocks_suspected_until_us = now_us + _CLOCK_JUMP_SUSPICION_US
                emit(self._log, Events.AGREED_TIME_JUMPED, us=interval.lowest - possible.lowest)
        self._previous = (now_us, interval)

    def _log_changes(self) -> None:
        interval = self.interval()
        is_agreed = interval is not None
        if is_agreed != self._was_agreed:
            self._was_agreed = is_agreed
            emit(self._log, Events.TIME_AGREED_AGAIN if is_agreed else Events.NO_AGREED_TIME)
        if interval is not None:
            self._log_own_clock(interval)

    def _log_own_clock(self, interval: TimeInterval) -> None:
        bounds, reading = self._bounds(), self._readings.get(self._name)
        if bounds is None or reading is None:
            return
        own_interval = reading.interval(self._clock.now(), bounds.skew_us)
        is_valid = (
            own_interval.lowest <= interval.highest and own_interval.highest >= interval.lowest
        )
        if self._own_clock_was_valid and not is_valid:
            emit(
                self._log,
                Events.WALL_CLOCK_WRONG,
                core=self._name,
                us=own_interval.lowest - interval.lowest,
            )
        self._own_clock_was_valid = is_valid

    def status(self) -> dict[str, Any]:
        """Returns the interval and the offset of each node's reading from its middle."""
        interval, now_us = self.interval(), self._clock.now()
        if interval is None:
            return {"interval": None, "off_us": {}}
        middle = (interval.lowest + interval.highest) // 2
        return {
            "interval": interval,
            "off_us": {
                name: reading.wall_us + now_us - reading.received_us - middle
                for name, reading in sorted(self._readings.items())
            },
        }

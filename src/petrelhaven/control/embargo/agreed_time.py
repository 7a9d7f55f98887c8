"""A control node's bounds on true time.

They are what the wall clocks of a majority agree on, carried on by monotonic time.
docs/notes/embargoes.md derives the interval.
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

    from petrelhaven.control.embargo.records import Limits
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.runtime.wall_clock import WallClock

__all__ = ["AgreedTime", "widened"]

Call: TypeAlias = Callable[[str, str, dict[str, Any], int], Awaitable[dict[str, Any]]]

_READ_EVERY_US = 500_000
_CALL_US = 400_000
_READING_TRUSTED_US = 3_000_000
_SUSPICION_US = 60_000_000


def widened(interval: TimeInterval, elapsed_us: int) -> TimeInterval:
    """The interval `elapsed_us` later, by a monotonic clock whose rate may be off."""
    return TimeInterval(
        interval.lowest + int(elapsed_us / MAX_CLOCK_RATE_RATIO),
        interval.highest + int(elapsed_us * MAX_CLOCK_RATE_RATIO),
    )


@dataclass(frozen=True, slots=True)
class _Reading:
    """What a control node's wall clock showed at some moment between two of ours."""

    asked_us: int
    received_us: int
    wall_us: int

    def interval(self, now_us: int, skew_us: int) -> TimeInterval:
        """Where true time is now if that wall clock was within `skew_us` of it."""
        then = TimeInterval(self.wall_us - skew_us, self.wall_us + skew_us)
        return TimeInterval(
            widened(then, now_us - self.received_us).lowest,
            widened(then, now_us - self.asked_us).highest,
        )


class AgreedTime:
    """Reads the wall clocks of all control nodes while embargoes are on; works out true time."""

    def __init__(  # noqa: PLR0913, PLR0917 (a node hands over its parts)
        self,
        clock: Clock,
        wall_clock: WallClock,
        name: str,
        node_names: Callable[[], Collection[str]],
        limits: Callable[[], Limits | None],
        call: Call,
        tasks: BackgroundTasks,
        log: logbook.Logger | None = None,
    ) -> None:
        """Reads no clock yet.

        Args:
            clock: the node's monotonic clock.
            wall_clock: the node's wall clock, which may be wrong.
            name: the node's name.
            node_names: answers the names of all control nodes.
            limits: answers the configuration's limits, None while embargoes are off.
            call: calls a control node by its name, with kind, body and timeout in microseconds.
            tasks: the node's tasks.
            log: where events go.
        """
        self._clock = clock
        self.wall_clock = wall_clock
        self._name = name
        self._node_names = node_names
        self._limits = limits
        self._call = call
        self._tasks = tasks
        self._log = log
        self._readings: dict[str, _Reading] = {}
        self._previous: tuple[int, TimeInterval] | None = None
        self._suspected_until_us = 0
        self._was_agreed: bool | None = None
        self._own_clock_was_good = True

    async def run(self) -> None:
        """Keeps readings of all control nodes."""
        while True:
            if self._limits() is not None:
                for name in self._node_names():
                    self._tasks.spawn(self._read(name))
                self._log_changes()
            await self._clock.sleep(_READ_EVERY_US)

    async def _read(self, name: str) -> None:
        asked_us = self._clock.now()
        if name == self._name:
            wall_us = self.wall_clock.now()
        else:
            try:
                answer = await self._call(
                    name, MessageKind.WALL_CLOCK_READ, {"name": self._name}, _CALL_US
                )
            except Fault:
                return
            wall_us = answer["wall"]
        newest = self._readings.get(name)
        if newest is None or asked_us >= newest.asked_us:
            self._readings[name] = _Reading(asked_us, self._clock.now(), wall_us)

    def interval(self) -> TimeInterval | None:
        """Where true time can be now; None while no majority agrees closely enough."""
        limits = self._limits()
        if limits is None:
            return None
        now_us = self._clock.now()
        interval = self._majority_interval(now_us, limits.skew_us)
        if interval is None:
            return None
        self._compare_with_previous(interval, now_us)
        too_wide = interval.highest - interval.lowest > limits.wall_us
        if now_us < self._suspected_until_us or too_wide:
            return None
        return interval

    def _majority_interval(self, now_us: int, skew_us: int) -> TimeInterval | None:
        names = self._node_names()
        trusted = [
            self._readings[name].interval(now_us, skew_us)
            for name in names
            if name in self._readings
            and now_us - self._readings[name].asked_us < _READING_TRUSTED_US
        ]
        return agreed(trusted, len(names) // 2 + 1)

    def _compare_with_previous(self, interval: TimeInterval, now_us: int) -> None:
        """Suspects the majority's clocks where they cannot have come here from where they were."""
        if self._previous is not None:
            then_us, previous = self._previous
            possible = widened(previous, now_us - then_us)
            if interval.highest < possible.lowest or interval.lowest > possible.highest:
                self._suspected_until_us = now_us + _SUSPICION_US
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
        limits, reading = self._limits(), self._readings.get(self._name)
        if limits is None or reading is None:
            return
        own = reading.interval(self._clock.now(), limits.skew_us)
        is_good = own.lowest <= interval.highest and own.highest >= interval.lowest
        if self._own_clock_was_good and not is_good:
            emit(
                self._log,
                Events.WALL_CLOCK_WRONG,
                core=self._name,
                us=own.lowest - interval.lowest,
            )
        self._own_clock_was_good = is_good

    def status(self) -> dict[str, Any]:
        """The interval, and how far each node's reading is from its middle."""
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

"""The read clock: determines the log position that a strongly consistent read must see.

It requests that position from the primary as rarely as possible. It implements the linear Lamport
timestamp of *PolarDB-SCC: A Cloud-Native Database Ensuring Low Latency for Strongly Consistent
Reads*, section 4.1; the guarantee of section 4.4 (read your writes) follows without further code.
docs/clock.md describes the differences and the reasons for them.

A fetch requests the current log position from the primary. A read may use the result of any fetch
that started after the read arrived: everything committed before the read arrived was committed
before the primary answered. So one fetch serves many reads, and a read starts a fetch of its own
only if it arrived after the start of every other fetch.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from petrelhaven.runtime.errors import Fault

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.interfaces import ReadBounds
    from petrelhaven.proxy.reads.position import LogPosition
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks

__all__ = ["Fetch", "LeadershipKey", "LogicalClock", "FetchedPosition", "ReadClock"]

LeadershipKey = tuple[int, str]
"""Identifies a leadership: the number of its first record, and the primary."""

_READ_WAIT_SCHEME = "read-wait"
_RETRY_PAUSE_US = 10_000
_MAX_RETRY_DOUBLINGS = 5


class LogicalClock:
    """A strictly increasing counter that orders the events of one node.

    Arrivals of reads and starts of fetches get their timestamps from it. Two events never have
    the same timestamp, and wall time is never compared.
    """

    __slots__ = ("_timestamps",)

    def __init__(self) -> None:
        """Starts at 1."""
        self._timestamps = itertools.count(1)

    def next_timestamp(self) -> int:
        """Returns the next timestamp."""
        return next(self._timestamps)


@dataclass(slots=True, eq=False)
class FetchedPosition:
    """A fetched position; its fetch began at the logical timestamp `start`, at `started_us`."""

    position: LogPosition
    start: int
    started_us: int


@dataclass(slots=True, eq=False)
class _Read:
    """A read that waits for a position.

    Attributes:
        arrival: The logical timestamp of its arrival.
        since: For a read that accepts stale data: it may also use any fetch that started at this
            time (in microseconds) or later. None for a strong read.
        position: The future that the read waits for.
    """

    arrival: int
    since: int | None
    position: asyncio.Future[LogPosition | None]


@dataclass(slots=True, eq=False)
class Fetch:
    """A running position fetch.

    Attributes:
        leadership_key: The leadership in which it started.
        start: The logical timestamp of its start.
        started_us: The time of its start, in microseconds.
        reads: The reads that wait for it.
        stuck: Whether it takes so long that other fetches are started in parallel.
        timer: Sets `stuck`.
    """

    leadership_key: LeadershipKey
    start: int
    started_us: int
    reads: list[_Read]
    stuck: bool = False
    timer: asyncio.TimerHandle = field(init=False)


class ReadClock:
    """The read clock of one group on one proxy.

    Attributes:
        leadership_key: The current leadership, or None while there is none. Positions that were
            fetched in another leadership are not used.
        latest: The position of the fetch that started last, or None.
        count: Counters that the proxy's status shows.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (called in one place)
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        logical_clock: LogicalClock,
        fetch: Callable[[LeadershipKey], Awaitable[LogPosition]],
        bounds: Callable[[], ReadBounds],
        scheme: str | None = None,
    ) -> None:
        """Starts without a leadership.

        Args:
            clock: Monotonic time, in microseconds.
            tasks: Runs the fetches.
            logical_clock: Gives the logical timestamps of the node.
            fetch: Requests the position from the primary; raises a `Fault` if that fails.
            bounds: Returns the limits that currently apply.
            scheme: `read-wait` starts a fetch for every read, for comparisons; None shares fetches.
        """
        self.clock, self.tasks, self.logical_clock = clock, tasks, logical_clock
        self._fetch_position, self._bounds = fetch, bounds
        self._shares_fetches = scheme != _READ_WAIT_SCHEME
        self.leadership_key: LeadershipKey | None = None
        self.latest: FetchedPosition | None = None
        self._fetches: list[Fetch] = []
        self._queue: list[_Read] = []
        self._retry_timer: asyncio.TimerHandle | None = None
        self._failures = 0
        self.count = {
            "reads": 0,
            "reused": 0,
            "joined": 0,
            "fetches": 0,
            "faults": 0,
            "stuck": 0,
            "gaveup": 0,
            "voided": 0,
            "carried": 0,
        }

    def set_leadership(self, leadership_key: LeadershipKey | None) -> None:
        """Sets the current leadership and discards the fetches and position of the previous one.

        The reads that waited for those fetches are queued again, with their original arrival.
        """
        if leadership_key == self.leadership_key:
            return
        self.leadership_key = leadership_key
        self.latest = None
        fetches, self._fetches = self._fetches, []
        for fetch in fetches:
            self.count["voided"] += 1
            fetch.timer.cancel()
            self._queue += fetch.reads
            fetch.reads = []
        self._failures = 0
        self._start_queued()

    def request_position(
        self, arrival: int, since: int | None = None
    ) -> asyncio.Future[LogPosition | None]:
        """Returns a future of the position that a read must see.

        Args:
            arrival: The logical timestamp of the read's arrival.
            since: For a read that accepts stale data: any fetch that started at this time (in
                microseconds) or later is recent enough.

        Returns:
            A future; its result is None if no position arrives within `join_us`.
        """
        self.count["reads"] += 1
        position: asyncio.Future[LogPosition | None] = asyncio.get_running_loop().create_future()
        read = _Read(arrival, since, position)
        timer = self.clock.later(self._bounds().join_us, lambda: self._give_up(position))
        position.add_done_callback(lambda _: timer.cancel())
        fetched = self.latest
        if not self._shares_fetches:
            self._start([read])
        elif fetched is not None and self._fits(fetched.start, fetched.started_us, read):
            self.count["reused"] += 1
            position.set_result(fetched.position)
        else:
            self._join(read)
        return position

    @staticmethod
    def _fits(start: int, started_us: int, read: _Read) -> bool:
        """Returns whether the read may use the position of a fetch with this start."""
        return start > read.arrival or (read.since is not None and started_us >= read.since)

    def _join(self, read: _Read) -> None:
        """Adds a read to a running fetch that it may use, or to the queue for the next one."""
        for fetch in reversed(self._fetches):
            if not fetch.stuck and self._fits(fetch.start, fetch.started_us, read):
                self.count["joined"] += 1
                fetch.reads.append(read)
                return
        self._queue.append(read)
        self._start_queued()

    def start_piggybacked_fetch(self, arrival: int, since: int | None = None) -> Fetch | None:
        """Starts a fetch that is piggybacked on the caller's own statement to the primary.

        Returns None if a read of this arrival can use the latest position or a running fetch.
        The fetch starts with this call; the caller must end it with `finish_piggybacked_fetch` or
        `fail_piggybacked_fetch`.
        """
        fetched = self.latest
        read = _Read(arrival, since, None)  # type: ignore[arg-type]  # never completed
        if self.leadership_key is None:
            return None
        if fetched is not None and self._fits(fetched.start, fetched.started_us, read):
            return None
        if any(
            not fetch.stuck and self._fits(fetch.start, fetch.started_us, read)
            for fetch in self._fetches
        ):
            return None
        self.count["reads"] += 1
        self.count["carried"] += 1
        return self._new_fetch([])

    def finish_piggybacked_fetch(self, fetch: Fetch, position: LogPosition) -> None:
        """Completes a piggybacked fetch: the primary answered with its log at `position`."""
        fetch.timer.cancel()
        if fetch in self._fetches:
            self._fetches.remove(fetch)
            self._failures = 0
            self._complete_fetch(fetch, position)

    def fail_piggybacked_fetch(self, fetch: Fetch) -> None:
        """Ends a piggybacked fetch that returned no position; its reads are queued again."""
        fetch.timer.cancel()
        if fetch in self._fetches:
            self._fetches.remove(fetch)
            self._queue += fetch.reads
            self._start_queued()

    def note_position(
        self,
        leadership_key: LeadershipKey | None,
        start: int,
        started_us: int,
        position: LogPosition,
    ) -> None:
        """Records a position that arrived with the reply to another statement.

        The statement was sent at `start`, and only a primary that leads can have answered it.
        """
        if leadership_key != self.leadership_key or leadership_key is None:
            return
        if self.latest is None or start > self.latest.start:
            self.latest = FetchedPosition(position, start, started_us)
            self._serve_queue(self.latest)

    def _start_queued(self) -> None:
        """Starts one fetch for all queued reads, if another fetch may run."""
        if self.leadership_key is None or self._retry_timer is not None:
            return
        self._queue = _pending(self._queue)
        running = sum(not fetch.stuck for fetch in self._fetches)
        if self._queue and running < self._bounds().lanes:
            reads, self._queue = self._queue, []
            self.count["joined"] += len(reads) - 1
            self._start(reads)

    def _start(self, reads: list[_Read]) -> None:
        self.count["fetches"] += 1
        self.tasks.spawn(self._run(self._new_fetch(reads)))

    def _new_fetch(self, reads: list[_Read]) -> Fetch:
        fetch = Fetch(
            self.leadership_key,  # type: ignore[arg-type]  # no fetch starts while it is None
            self.logical_clock.next_timestamp(),
            self.clock.now(),
            reads,
        )
        self._fetches.append(fetch)
        fetch.timer = self.clock.later(self._bounds().fetch_us, lambda: self._set_stuck(fetch))
        return fetch

    def _set_stuck(self, fetch: Fetch) -> None:
        """Marks a fetch as stuck: it no longer counts as running; its reads are queued again."""
        if fetch in self._fetches and not fetch.stuck:
            fetch.stuck = True
            self.count["stuck"] += 1
            reads, fetch.reads = fetch.reads, []
            self._queue += _pending(reads)
            self._start_queued()

    async def _run(self, fetch: Fetch) -> None:
        """Requests the position; after a failure, retries with a pause that doubles."""
        position: LogPosition | None
        try:
            position = await self._fetch_position(fetch.leadership_key)
        except Fault:
            position = None
        fetch.timer.cancel()
        if fetch not in self._fetches:
            return
        self._fetches.remove(fetch)
        if position is None:
            self._retry_later(fetch)
        else:
            self._failures = 0
            self._complete_fetch(fetch, position)

    def _retry_later(self, fetch: Fetch) -> None:
        self.count["faults"] += 1
        self._failures = min(self._failures + 1, _MAX_RETRY_DOUBLINGS)
        self._queue += fetch.reads
        if self._retry_timer is None:
            pause_us = _RETRY_PAUSE_US << self._failures
            self._retry_timer = self.clock.later(pause_us, self._retry)

    def _retry(self) -> None:
        self._retry_timer = None
        self._start_queued()

    def _complete_fetch(self, fetch: Fetch, position: LogPosition) -> None:
        """Completes every read that may use a fetched position, also those in other fetches."""
        if self.latest is None or fetch.start > self.latest.start:
            self.latest = FetchedPosition(position, fetch.start, fetch.started_us)
        for read in fetch.reads:
            if not read.position.done():
                read.position.set_result(position)
        for read in [read for other in self._fetches for read in other.reads]:
            if not read.position.done() and self._fits(fetch.start, fetch.started_us, read):
                read.position.set_result(position)
        self._serve_queue(self.latest)

    def _serve_queue(self, fetched: FetchedPosition) -> None:
        """Completes the queued reads that may use `fetched`; starts a fetch for the others."""
        remaining = []
        for read in self._queue:
            if not read.position.done() and self._fits(fetched.start, fetched.started_us, read):
                read.position.set_result(fetched.position)
            else:
                remaining.append(read)
        self._queue = remaining
        self._start_queued()

    def _give_up(self, position: asyncio.Future[LogPosition | None]) -> None:
        if not position.done():
            self.count["gaveup"] += 1
            position.set_result(None)


def _pending(reads: Sequence[_Read]) -> list[_Read]:
    return [read for read in reads if not read.position.done()]

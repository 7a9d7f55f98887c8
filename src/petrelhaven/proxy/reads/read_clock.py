"""The read clock: which log position a strongly consistent read must find.

The position is asked of the primary as seldom as can be.

The linear Lamport timestamp of *PolarDB-SCC: A Cloud-Native Database Ensuring Low Latency for
Strongly Consistent Reads*, section 4.1; section 4.4 (read your writes) needs nothing of its own.
docs/clock.md says what is changed and why.

A fetch asks the primary for the position of its log. A read that arrived before a fetch started
may use what the fetch brings: everything committed before the read arrived was committed before
the primary answered. So one fetch serves many reads, and a read starts one only if it arrived
after the start of every other.
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
"""What pairs belong to: the number of a leadership, and the primary that it names."""

_READ_WAIT = "read-wait"
_RETRY_US = 10_000
_RETRY_DOUBLINGS_MOST = 5


class LogicalClock:
    """One strictly rising counter for a node, from which arrivals and fetch starts are stamped.

    Wall time is never compared, and two events never share an order point.
    """

    __slots__ = ("_points",)

    def __init__(self) -> None:
        """Begins at 1."""
        self._points = itertools.count(1)

    def next_timestamp(self) -> int:
        """The next order point."""
        return next(self._points)


@dataclass(slots=True, eq=False)
class FetchedPosition:
    """A fetched position, and when its fetch started: as an order point and in microseconds."""

    position: LogPosition
    start: int
    started_us: int


@dataclass(slots=True, eq=False)
class _Read:
    """A read that waits for a position.

    It arrived at the order point `arrival`. With `since`, a fetch that started at that moment
    (microseconds) or later will do also.
    """

    arrival: int
    since: int | None
    position: asyncio.Future[LogPosition | None]


@dataclass(slots=True, eq=False)
class Fetch:
    """A position fetch on its way, with the reads that wait for it.

    It started at the order point `start` and the moment `started_us`. `stuck` once it has taken
    so long that others are started beside it; `timer` sets that.
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
        leading: The leadership and primary that pairs belong to, or None while none is known.
        pair: The newest pair, or None.
        count: Counters that the proxy's status shows.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (given by the group, once)
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        order: LogicalClock,
        fetch: Callable[[LeadershipKey], Awaitable[LogPosition]],
        bounds: Callable[[], ReadBounds],
        scheme: str | None = None,
    ) -> None:
        """A clock that knows no primary yet.

        Args:
            clock: Monotonic time, in microseconds.
            tasks: Where fetches run.
            order: The order points of the node.
            fetch: Asks the primary for its position; a `Fault` if that fails.
            bounds: The bounds in force.
            scheme: `read-wait` fetches for every read, for comparison; None is the read clock.
        """
        self.clock, self.tasks, self.logical_clock = clock, tasks, order
        self._fetch_position, self._bounds = fetch, bounds
        self._shares_fetches = scheme != _READ_WAIT
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

    def set_leadership(self, leading: LeadershipKey | None) -> None:
        """Enters a leadership: pair and fetches of another one are void.

        The reads that wait fetch anew, under the arrival that they have.
        """
        if leading == self.leadership_key:
            return
        self.leadership_key = leading
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
        """A future of the position that a read which arrived at `arrival` must find.

        With `since`, a browsing read: any fetch that started at that moment or later will do.
        The result is None if the bound on joining passes first.
        """
        self.count["reads"] += 1
        position: asyncio.Future[LogPosition | None] = asyncio.get_running_loop().create_future()
        read = _Read(arrival, since, position)
        timer = self.clock.later(self._bounds().join_us, lambda: self._give_up(position))
        position.add_done_callback(lambda _: timer.cancel())
        pair = self.latest
        if not self._shares_fetches:
            self._start([read])
        elif pair is not None and self._fits(pair.start, pair.started_us, read):
            self.count["reused"] += 1
            position.set_result(pair.position)
        else:
            self._join(read)
        return position

    @staticmethod
    def _fits(start: int, started_us: int, read: _Read) -> bool:
        """Whether a fetch that started then brings a position that the read may use."""
        return start > read.arrival or (read.since is not None and started_us >= read.since)

    def _join(self, read: _Read) -> None:
        """Has a read wait for a fetch under way that fits it, or for the next one."""
        for fetch in reversed(self._fetches):
            if not fetch.stuck and self._fits(fetch.start, fetch.started_us, read):
                self.count["joined"] += 1
                fetch.reads.append(read)
                return
        self._queue.append(read)
        self._start_queued()

    def start_piggybacked_fetch(self, arrival: int, since: int | None = None) -> Fetch | None:
        """A fetch that the caller's own statement to the primary is to be.

        None if a pair or a fetch under way will do for a read of this arrival. The fetch has
        started here; the caller must end it with `finish_piggybacked_fetch` or `fail_piggybacked_fetch`.
        """
        pair = self.latest
        read = _Read(arrival, since, None)  # type: ignore[arg-type]  # nobody waits for it
        if self.leadership_key is None:
            return None
        if pair is not None and self._fits(pair.start, pair.started_us, read):
            return None
        if any(not f.stuck and self._fits(f.start, f.started_us, read) for f in self._fetches):
            return None
        self.count["reads"] += 1
        self.count["carried"] += 1
        return self._new_fetch([])

    def finish_piggybacked_fetch(self, fetch: Fetch, position: LogPosition) -> None:
        """The primary has answered the statement that carries `fetch`, its log at `position`."""
        fetch.timer.cancel()
        if fetch in self._fetches:
            self._fetches.remove(fetch)
            self._failures = 0
            self._take(fetch, position)

    def fail_piggybacked_fetch(self, fetch: Fetch) -> None:
        """The statement that carries `fetch` brought no position; who joined it fetches anew."""
        fetch.timer.cancel()
        if fetch in self._fetches:
            self._fetches.remove(fetch)
            self._queue += fetch.reads
            self._start_queued()

    def note_position(
        self, leading: LeadershipKey | None, start: int, started_us: int, position: LogPosition
    ) -> None:
        """A statement sent at `start`, which only a leading primary answers, brought `position`."""
        if leading != self.leadership_key or leading is None:
            return
        if self.latest is None or start > self.latest.start:
            self.latest = FetchedPosition(position, start, started_us)
            self._serve_queue(self.latest)

    def _start_queued(self) -> None:
        """Starts one fetch for all reads that wait for one, if a lane is free."""
        if self.leadership_key is None or self._retry_timer is not None:
            return
        self._queue = _undone(self._queue)
        under_way = sum(not fetch.stuck for fetch in self._fetches)
        if self._queue and under_way < self._bounds().lanes:
            reads, self._queue = self._queue, []
            self.count["joined"] += len(reads) - 1
            self._start(reads)

    def _start(self, reads: list[_Read]) -> None:
        self.count["fetches"] += 1
        self.tasks.spawn(self._run(self._new_fetch(reads)))

    def _new_fetch(self, reads: list[_Read]) -> Fetch:
        fetch = Fetch(
            self.leadership_key,  # type: ignore[arg-type]  # nothing is fetched while it is None
            self.logical_clock.next_timestamp(),
            self.clock.now(),
            reads,
        )
        self._fetches.append(fetch)
        fetch.timer = self.clock.later(self._bounds().fetch_us, lambda: self._set_stuck(fetch))
        return fetch

    def _set_stuck(self, fetch: Fetch) -> None:
        """A fetch takes too long: its lane is free, and its reads go into another."""
        if fetch in self._fetches and not fetch.stuck:
            fetch.stuck = True
            self.count["stuck"] += 1
            reads, fetch.reads = fetch.reads, []
            self._queue += _undone(reads)
            self._start_queued()

    async def _run(self, fetch: Fetch) -> None:
        """Asks the primary; a failure is tried again after a pause that doubles."""
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
            self._take(fetch, position)

    def _retry_later(self, fetch: Fetch) -> None:
        self.count["faults"] += 1
        self._failures = min(self._failures + 1, _RETRY_DOUBLINGS_MOST)
        self._queue += fetch.reads
        if self._retry_timer is None:
            pause_us = _RETRY_US << self._failures
            self._retry_timer = self.clock.later(pause_us, self._retry)

    def _retry(self) -> None:
        self._retry_timer = None
        self._start_queued()

    def _take(self, fetch: Fetch, position: LogPosition) -> None:
        """Serves what a fetch has brought to every read that it fits, whatever that waits for."""
        if self.latest is None or fetch.start > self.latest.start:
            self.latest = FetchedPosition(position, fetch.start, fetch.started_us)
        for read in fetch.reads:
            if not read.position.done():
                read.position.set_result(position)
        for read in [read for other in self._fetches for read in other.reads]:
            if not read.position.done() and self._fits(fetch.start, fetch.started_us, read):
                read.position.set_result(position)
        self._serve_queue(self.latest)

    def _serve_queue(self, pair: FetchedPosition) -> None:
        """Serves `latest` to the reads that wait for a fetch to start, and starts one for others."""
        left = []
        for read in self._queue:
            if not read.position.done() and self._fits(pair.start, pair.started_us, read):
                read.position.set_result(pair.position)
            else:
                left.append(read)
        self._queue = left
        self._start_queued()

    def _give_up(self, position: asyncio.Future[LogPosition | None]) -> None:
        if not position.done():
            self.count["gaveup"] += 1
            position.set_result(None)


def _undone(reads: Sequence[_Read]) -> list[_Read]:
    return [read for read in reads if not read.position.done()]

"""The read clock: pairs of a primary's log position and the order point at which its fetch started."""

import asyncio
import itertools

from petrelhaven.runtime.errors import Fault

__all__ = ["Order", "Pair", "ReadClock"]


class Order:
    """One strictly rising counter a node; arrivals and fetch starts are stamped from it, never from wall time."""

    __slots__ = ("_it",)

    def __init__(self):
        self._it = itertools.count(1)

    def next(self):
        """The next order point."""
        return next(self._it)


class Pair:
    """A fetched position with the order point and the moment its fetch started."""

    __slots__ = ("pos", "start", "us")

    def __init__(self, pos, start, us):
        self.pos, self.start, self.us = pos, start, us


class _Read:
    __slots__ = ("arr", "since", "end", "out")

    def __init__(self, arr, since, end, out):
        self.arr, self.since, self.end, self.out = arr, since, end, out


class _Flight:
    __slots__ = ("key", "start", "us", "reads", "stuck", "tick")

    def __init__(self, key, start, us, reads):
        self.key, self.start, self.us, self.reads = key, start, us, reads
        self.stuck, self.tick = False, None


class ReadClock:
    """One group's clock on one edge. `fetch(key)` asks the primary of `key` for its position."""

    def __init__(self, clock, tasks, order, fetch, bounds, vary=None):
        self.clock, self.tasks, self.order, self._fetch, self.bounds = (
            clock,
            tasks,
            order,
            fetch,
            bounds,
        )
        self.key = None
        self.pair = None
        self._flights = []
        self._queue = []
        self._again = None
        self._bad = 0
        self.vary = vary
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

    def turn(self, key):
        """Enters (epoch, primary); the cache and all fetches in flight are void, waiting reads fetch anew."""
        if key == self.key:
            return
        self.key = key
        self.pair = None
        fs, self._flights = self._flights, []
        for f in fs:
            self.count["voided"] += 1
            f.tick.cancel()
            self._queue += f.reads
            f.reads = []
        self._bad = 0
        self._pump()

    def position_for(self, arr, since=None):
        """A future of the position that a read which arrived at `arr` must wait for.

        With `since`, a browsing read: any fetch that started at that moment or later will do.
        The result is None once the bound on joining has passed: the read goes to the primary.
        """
        self.count["reads"] += 1
        out = asyncio.get_running_loop().create_future()
        r = _Read(arr, since, self.clock.now() + self.bounds().join_us, out)
        h = self.clock.later(self.bounds().join_us, lambda: self._give_up(r))
        out.add_done_callback(lambda _: h.cancel())
        p = self.pair
        if self.vary == "read-wait":
            self._launch([r])
        elif p is not None and self._fits(p.start, p.us, r):
            self.count["reused"] += 1
            out.set_result(p.pos)
        else:
            self._join(r)
        return out

    @staticmethod
    def _fits(start, us, r):
        return start > r.arr or (r.since is not None and us >= r.since)

    def _join(self, r):
        for f in reversed(self._flights):
            if not f.stuck and self._fits(f.start, f.us, r):
                self.count["joined"] += 1
                f.reads.append(r)
                return
        self._queue.append(r)
        self._pump()

    def carrier(self, arr, since=None):
        """A flight that the caller's own statement to the primary is to be, or None if a pair or a flight will do.

        The caller stamps nothing: the flight started here. It must call `landed` or `failed` with it.
        """
        p = self.pair
        r = _Read(arr, since, 0, None)
        if self.key is None or p is not None and self._fits(p.start, p.us, r):
            return None
        if any(not f.stuck and self._fits(f.start, f.us, r) for f in self._flights):
            return None
        f = _Flight(self.key, self.order.next(), self.clock.now(), [])
        self.count["reads"] += 1
        self.count["carried"] += 1
        self._flights.append(f)
        f.tick = self.clock.later(self.bounds().fetch_us, lambda: self._stick(f))
        return f

    def landed(self, f, pos):
        """A carrier's statement was answered by the primary, whose log is at `pos`."""
        f.tick.cancel()
        if f in self._flights:
            self._flights.remove(f)
            self._bad = 0
            self._took(f, pos)

    def failed(self, f):
        """A carrier's statement brought no position; whoever joined it fetches anew."""
        f.tick.cancel()
        if f in self._flights:
            self._flights.remove(f)
            self._queue += f.reads
            self._pump()

    def noted(self, key, start, us, pos):
        """A statement that only a primary in office answers, sent at `start`, came back with the log at `pos`."""
        if key == self.key and key is not None and (self.pair is None or start > self.pair.start):
            self.pair = Pair(pos, start, us)
            self._serve_queue()

    def _pump(self):
        if self.key is None or self._again is not None:
            return
        self._queue = [r for r in self._queue if not r.out.done()]
        if self._queue and sum(not f.stuck for f in self._flights) < self.bounds().lanes:
            q, self._queue = self._queue, []
            self.count["joined"] += len(q) - 1
            self._launch(q)

    def _launch(self, reads):
        f = _Flight(self.key, self.order.next(), self.clock.now(), reads)
        self.count["fetches"] += 1
        self._flights.append(f)
        f.tick = self.clock.later(self.bounds().fetch_us, lambda: self._stick(f))
        self.tasks.spawn(self._fly(f))

    def _stick(self, f):
        if f in self._flights and not f.stuck:
            f.stuck = True
            self.count["stuck"] += 1
            q, f.reads = f.reads, []
            self._queue += [r for r in q if not r.out.done()]
            self._pump()

    async def _fly(self, f):
        try:
            pos = await self._fetch(f.key)
        except Fault:
            pos = None
        f.tick.cancel()
        if f not in self._flights:
            return
        self._flights.remove(f)
        if pos is None:
            self.count["faults"] += 1
            self._bad = min(self._bad + 1, 5)
            self._queue += f.reads
            if self._again is None:
                self._again = self.clock.later(10_000 << self._bad, self._retry)
            return
        self._bad = 0
        self._took(f, pos)

    def _took(self, f, pos):
        if self.pair is None or f.start > self.pair.start:
            self.pair = Pair(pos, f.start, f.us)
        for r in f.reads:
            if not r.out.done():
                r.out.set_result(pos)
        for r in [r for x in self._flights for r in x.reads]:
            if not r.out.done() and self._fits(f.start, f.us, r):
                r.out.set_result(pos)
        self._serve_queue()

    def _serve_queue(self):
        left = []
        for r in self._queue:
            if not r.out.done() and self._fits(self.pair.start, self.pair.us, r):
                r.out.set_result(self.pair.pos)
            else:
                left.append(r)
        self._queue = left
        self._pump()

    def _retry(self):
        self._again = None
        self._pump()

    def _give_up(self, r):
        if not r.out.done():
            self.count["gaveup"] += 1
            r.out.set_result(None)

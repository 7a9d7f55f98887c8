"""The connections of one edge to one member, handed to the session whose values and shapes they have, if any."""

import asyncio
import collections

from petrelhaven.runtime.errors import Busy, Fault, NotSent

__all__ = ["ConnectionPool"]

_FULL_US = 2_000_000


class ConnectionPool:
    """Hands out connections; `most` bounds how many are held, `want()` how many are worth opening."""

    def __init__(self, clock, tasks, opener, most, want):
        self.clock, self.tasks, self._open, self.most, self._want = clock, tasks, opener, most, want
        self._full = None
        self.idle, self.busy = [], set()
        self._opening = 0
        self._wait = collections.deque()
        self.closed = False

    @property
    def total(self):
        return len(self.idle) + len(self.busy) + self._opening

    def saturation(self):
        """Idle, busy, opening and waiting, in one word for a log."""
        return f"{len(self.idle)}/{len(self.busy)}/{self._opening}/{len(self._wait)}"

    def take(self, start_clients):
        """A future of a connection."""
        f = asyncio.get_running_loop().create_future()
        if self.closed:
            f.set_exception(NotSent("member left the plan"))
            return f
        c, cost = self._best(start_clients)
        most = self.limit
        full = self.total >= min(most, self._want())
        if cost == 3 and full:
            self.idle.pop(0).close()
            c = c if self.total >= most and c in self.idle else None
        if c is not None and (cost < 2 or full):
            self.idle.remove(c)
            self.busy.add(c)
            f.set_result(c)
        elif self.total < most:
            self._opening += 1
            self.tasks.spawn(self._fresh(f))
        elif len(self._wait) >= 4 * self.most:
            f.set_exception(Busy("too many wait for a connection"))
        else:
            self._wait.append(f)
        return f

    @property
    def limit(self):
        """How many connections may be held now; a member that was full is not pressed for a while."""
        return self.most if self._full is None else max(1, min(self.most, self._full))

    def _ease(self):
        self._full = None
        self._next()

    def _best(self, start_clients):
        best, cost = None, 9
        for c in reversed(self.idle):
            k = 0 if c.owner is start_clients else c.cost(start_clients)
            if k < cost:
                best, cost = c, k
                if not k:
                    break
        return best, cost

    async def _fresh(self, f):
        try:
            c = await self._open()
        except Fault as e:
            self._opening -= 1
            if isinstance(e, Busy):
                if self._full is None:
                    self.clock.later(_FULL_US, self._ease)
                self._full = self.total
                if self.total and not f.done():
                    self._wait.appendleft(f)
                    self._next()
                    return
            if not f.done():
                f.set_exception(e)
            self._next()
            return
        except BaseException:
            self._opening -= 1
            raise
        self._opening -= 1
        c.on_lost = self._lost
        if self.closed:
            c.close()
            if not f.done():
                f.set_exception(NotSent("member left the plan"))
        elif f.done():
            self.idle.append(c)
            self._next()
        else:
            self.busy.add(c)
            f.set_result(c)

    def _lost(self, c):
        if c in self.idle:
            self.idle.remove(c)
        self.busy.discard(c)
        self._next()

    def _next(self):
        while self._wait and (self._wait[0].done() or self.idle or self.total < self.limit):
            f = self._wait.popleft()
            if f.done():
                continue
            if self.idle:
                c = self.idle.pop()
                self.busy.add(c)
                f.set_result(c)
            else:
                self._opening += 1
                self.tasks.spawn(self._fresh(f))

    def give(self, c):
        """Takes a connection back; one that still waits for replies is closed, for nobody knows its state."""
        self.busy.discard(c)
        if c.lost or c.due or self.closed or self.total >= self.most:
            c.close()
        else:
            self.idle.append(c)
        self._next()

    def drop(self, c):
        """Closes a connection whose state is not known."""
        self.busy.discard(c)
        c.close()
        self._next()

    def quit(self, f):
        """Gives back whatever `f` brought or will bring."""
        if f.done() and not f.cancelled() and f.exception() is None:
            self.give(f.result())
        else:
            f.cancel()

    def close(self):
        """Closes idle connections at once, busy ones when they come back, and declines all waits."""
        self.closed = True
        for c in self.idle:
            c.close()
        self.idle.clear()
        w, self._wait = self._wait, collections.deque()
        for f in w:
            if not f.done():
                f.set_exception(NotSent("member left the plan"))

"""The connections of one edge to one member: never more than the edge's share, ramped while the member warms up."""

import asyncio
import collections

from petrelhaven.runtime.errors import Busy, Fault, NotSent

__all__ = ["Pool"]

_FULL_US = 500_000


class Pool:
    """Hands out connections; a bounded queue waits for one."""

    def __init__(self, clock, tasks, opener, queue=64):
        self.clock, self.tasks, self._open, self._most = clock, tasks, opener, queue
        self.share = 0
        self.born = clock.now()
        self.warm_us = 0
        self.idle = []
        self.busy = set()
        self._opening = 0
        self._wait = collections.deque()
        self._calm = []
        self.closed = False
        self._full = None

    @property
    def total(self):
        return len(self.idle) + len(self.busy) + self._opening

    def ramp(self):
        """From a tenth to one while the member warms up."""
        if not self.warm_us:
            return 1.0
        return min(1.0, max(0.1, (self.clock.now() - self.born) / self.warm_us))

    @property
    def limit(self):
        n = min(self.share, max(1, int(self.share * self.ramp()))) if self.share else 0
        return min(n, max(1, self._full)) if self._full is not None else n

    def take(self, tag):
        """A future of a connection, the one last used for `tag` if it is idle."""
        f = asyncio.get_running_loop().create_future()
        if self.closed or self.share == 0:
            f.set_exception(NotSent("no connections to this member now"))
        elif len(self._wait) >= self._most:
            f.set_exception(Busy("too many wait for a connection"))
        else:
            self._wait.append((tag, f))
            self._pump()
        return f

    def quit(self, f):
        """Gives back whatever `f` brought or will bring."""
        if f.done():
            if not f.cancelled() and f.exception() is None:
                self.give(f.result())
        else:
            f.cancel()

    def _pump(self):
        while self._wait:
            tag, f = self._wait[0]
            if f.done():
                self._wait.popleft()
                continue
            if len(self.busy) + self._opening >= self.limit:
                return
            c = next((c for c in reversed(self.idle) if c.tag == tag), None)
            if c is None and self.total < self.limit:
                self._wait.popleft()
                self._opening += 1
                self.tasks.spawn(self._fresh(f))
                continue
            if c is None and self.idle:
                c = self.idle[0]
            if c is None:
                return
            self._wait.popleft()
            self.idle.remove(c)
            self.busy.add(c)
            f.set_result(c)

    def _ease(self):
        self._full = None
        self._pump()

    async def _fresh(self, f):
        try:
            c = await self._open()
        except Fault as e:
            self._opening -= 1
            full = e.note == "FULL"
            if full and self._full is None:
                self.clock.call_later(_FULL_US, self._ease)
            if full:
                self._full = self.total
            if not f.done():
                if full and self.total:
                    self._wait.appendleft((None, f))
                else:
                    f.set_exception(e)
            self._pump()
            return
        except BaseException:
            self._opening -= 1
            raise
        self._opening -= 1
        if self.closed or self.total >= self.share:
            c.close()
            if not f.done():
                f.set_exception(NotSent("share shrank"))
        elif f.done():
            self.idle.append(c)
        else:
            self.busy.add(c)
            f.set_result(c)
        self._pump()

    def give(self, c):
        """Takes a connection back."""
        self.busy.discard(c)
        if c.lost or self.closed or self.total >= self.share:
            c.close()
        else:
            self.idle.append(c)
        self._pump()
        self._notify()

    def drop(self, c):
        """Closes a connection whose state is not known."""
        self.busy.discard(c)
        c.close()
        self._pump()
        self._notify()

    def resize(self, share):
        """Sets the share; surplus idle connections are closed now, busy ones when they come back."""
        self.share = share
        while self.idle and self.total > share:
            self.idle.pop(0).close()
        self._pump()
        self._notify()

    def _notify(self):
        if self.total <= self.share:
            w, self._calm = self._calm, []
            for f in w:
                if not f.done():
                    f.set_result(None)

    def calm(self):
        """A future that is done once no more connections than the share are held."""
        f = asyncio.get_running_loop().create_future()
        self._calm.append(f)
        self._notify()
        return f

    def let_go(self):
        """Without a lease no connection is held: others may be given its share."""
        for c in self.idle + list(self.busy):
            c.close()
        self.idle.clear()

    def close(self):
        """Closes all connections and declines all waits."""
        self.closed = True
        for c in self.idle + list(self.busy):
            c.close()
        self.idle.clear()
        w, self._wait = self._wait, collections.deque()
        for _, f in w:
            if not f.done():
                f.set_exception(NotSent("member left the plan"))

    def reopen(self):
        """The member is taken back: gradually, along the ramp."""
        self.closed = False
        self.born = self.clock.now()

    def renew(self):
        """The member restarted: its old connections are gone and the ramp begins again."""
        self.born = self.clock.now()
        for c in self.idle:
            c.close()
        self.idle.clear()

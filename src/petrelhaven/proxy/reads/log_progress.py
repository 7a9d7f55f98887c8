"""What an edge knows of one member's log, and those who wait for it to rise."""

import asyncio

from petrelhaven.runtime.errors import Fault

__all__ = ["LogProgress"]


class LogProgress:
    """Asks STATUS only while somebody waits; one question in flight a member."""

    def __init__(self, clock, nest, ask, gap_us=8_000):
        self.clock, self.nest, self._ask, self.gap_us = clock, nest, ask, gap_us
        self.log, self.term = -1, 0
        self._wait = []
        self._on = False
        self.asked = 0

    @property
    def busy(self):
        """Whether somebody waits already, so that a new position is about to be known."""
        return self._on

    def turn(self, term):
        """Positions of a former term say nothing any more."""
        if term != self.term:
            self.log, self.term = -1, term

    def note(self, log, term):
        """Takes a position that the member reported under `term`."""
        if term != self.term:
            return
        self.log = log
        w, self._wait = self._wait, []
        for pos, f in w:
            if f.done():
                continue
            if log >= pos:
                f.set_result(log)
            else:
                self._wait.append((pos, f))

    def wait(self, pos):
        """A future that is done once somebody else's statement shows that the log holds `pos`; nothing is asked."""
        f = asyncio.get_running_loop().create_future()
        if self.log >= pos:
            f.set_result(self.log)
        else:
            self._wait = [(p, x) for p, x in self._wait if not x.done()]
            self._wait.append((pos, f))
        return f

    def reach(self, pos):
        """A future that is done once the member's log holds `pos`."""
        f = asyncio.get_running_loop().create_future()
        if self.log >= pos:
            f.set_result(self.log)
            return f
        self._wait.append((pos, f))
        if not self._on:
            self._on = True
            self.nest.spawn(self._poll())
        return f

    async def _poll(self):
        bad = 0
        try:
            while True:
                self._wait = [(p, f) for p, f in self._wait if not f.done()]
                if not self._wait:
                    return
                try:
                    self.asked += 1
                    self.note(*await self._ask())
                    bad = 0
                except Fault:
                    bad = min(bad + 1, 5)
                await self.clock.sleep(self.gap_us << bad)
        finally:
            self._on = False

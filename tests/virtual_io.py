"""Real sockets of one process in virtual time, so that test results don't depend on the load of the machine."""

import asyncio
import selectors
import time

from petrelhaven.runtime.clock import Clock

__all__ = ["HANG_S", "LoopClock", "VirtualIoLoop", "run_in_virtual_time"]

HANG_S = 120.0
"""Real seconds without an event after which a wait raises TimeoutError; it affects no other result."""

QUIESCENCE_S = 0.05
"""Real seconds without an event after which no data is in transit in the kernel; a longer wait then ends at once."""

EVENT_DURATION_S = 1e-6
"""Virtual seconds that pass with each batch of events, so that time also advances during an endless exchange."""


class _Selector(selectors.DefaultSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.threads = 0

    def select(self, timeout=None):
        """Returns the next events; advances time by `timeout` if sockets and threads stay quiet."""
        if timeout is not None and timeout <= 0:
            return super().select(0)
        quiescence_s = QUIESCENCE_S if timeout is None else min(timeout, QUIESCENCE_S)
        hangs_at = time.monotonic() + HANG_S
        while True:
            events = super().select(quiescence_s)
            if events:
                self.now += EVENT_DURATION_S
                return events
            if timeout is not None and not self.threads:
                self.now += timeout
                return []
            if time.monotonic() > hangs_at:
                raise TimeoutError(f"nothing has happened for {HANG_S} s")


class VirtualIoLoop(asyncio.SelectorEventLoop):
    """An event loop over real sockets whose clock stops while code runs or data is in transit.

    Both ends of every connection must be in this loop. Child processes run in real time and can't be used.
    """

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self):
        """Returns virtual seconds since the start of the loop."""
        return self._virtual.now

    def run_in_executor(self, executor, func, *args):
        """Runs `func` in a thread; virtual time stops until it ends."""
        future = super().run_in_executor(executor, func, *args)
        self._virtual.threads += 1
        future.add_done_callback(self._thread_ended)
        return future

    def _thread_ended(self, _):
        self._virtual.threads -= 1


class LoopClock(Clock):
    """The clock of a node in a virtual loop; returns microseconds of the loop's time."""

    __slots__ = ()

    def now(self):
        """Returns the loop's time in microseconds."""
        return round(asyncio.get_running_loop().time() * 1_000_000)


def run_in_virtual_time(work):
    """Runs a coroutine over real sockets in virtual time; like `asyncio.run`, cancels all remaining tasks."""
    with asyncio.Runner(loop_factory=VirtualIoLoop) as runner:
        return runner.run(work)

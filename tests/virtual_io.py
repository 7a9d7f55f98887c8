"""Real sockets of one process in virtual time, so that a test's verdict does not depend on how busy the machine is."""

import asyncio
import selectors
import time

from petrelhaven.runtime.clock import Clock

__all__ = ["HANG_S", "LoopClock", "VirtualIoLoop", "run_in_virtual_time"]

HANG_S = 120.0
"""Real seconds after which a wait for an event counts as a hang; no test passes or fails by it otherwise."""

QUIET_S = 0.05
"""Real seconds without any event after which nothing is on its way through the kernel: a longer wait is cut short."""

EVENT_S = 1e-6
"""Virtual seconds that pass with each batch of events, so that time goes on in an endless exchange too."""


class _Selector(selectors.DefaultSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.threads = 0

    def select(self, timeout=None):
        """The next events; time goes on by `timeout` once sockets and threads were quiet for that long."""
        if timeout is not None and timeout <= 0:
            return super().select(0)
        quiet = QUIET_S if timeout is None else min(timeout, QUIET_S)
        hangs_at = time.monotonic() + HANG_S
        while True:
            events = super().select(quiet)
            if events:
                self.now += EVENT_S
                return events
            if timeout is not None and not self.threads:
                self.now += timeout
                return []
            if time.monotonic() > hangs_at:
                raise TimeoutError(f"nothing has happened for {HANG_S} s")


class VirtualIoLoop(asyncio.SelectorEventLoop):
    """An event loop over real sockets whose clock stands still while anything is running or on its way.

    Both ends of every connection have to be in this loop; child processes run in real time and have no place here.
    """

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self):
        """Virtual seconds since the start of the loop."""
        return self._virtual.now

    def run_in_executor(self, executor, func, *args):
        """Runs `func` in a thread; time stands still until it ends."""
        future = super().run_in_executor(executor, func, *args)
        self._virtual.threads += 1
        future.add_done_callback(self._thread_ended)
        return future

    def _thread_ended(self, _):
        self._virtual.threads -= 1


class LoopClock(Clock):
    """The clock of a node in a virtual loop: microseconds of the loop's time."""

    __slots__ = ()

    def now(self):
        """Microseconds."""
        return round(asyncio.get_running_loop().time() * 1_000_000)


def run_in_virtual_time(work):
    """Runs a coroutine over real sockets in virtual time; like `asyncio.run`, it ends all tasks."""
    with asyncio.Runner(loop_factory=VirtualIoLoop) as runner:
        return runner.run(work)

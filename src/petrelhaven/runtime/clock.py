"""Time and tasks: whole microseconds of monotonic time, ticks and horizons, a nest of tasks."""

import asyncio
import os
import time

from petrelhaven.runtime.errors import Fault, Late
from petrelhaven.runtime.events import emit

__all__ = ["Clock", "Nest"]


class Clock:
    """Monotonic microseconds of this process. The simulator gives each node its own."""

    __slots__ = ()

    def now(self):
        """Monotonic microseconds."""
        return time.monotonic_ns() // 1000

    def later(self, us, fn):
        """Calls `fn` after `us`; the handle returned can be cancelled."""
        return asyncio.get_running_loop().call_later(max(us, 0) / 1e6, fn)

    async def sleep(self, us):
        """Waits for `us`."""
        f = asyncio.get_running_loop().create_future()
        h = self.later(us, lambda: f.done() or f.set_result(None))
        try:
            await f
        finally:
            h.cancel()

    async def limit(self, aw, us, keep=False):
        """The outcome of `aw` within `us`, else Late. With `keep`, `aw` itself goes on."""
        f = asyncio.ensure_future(aw)
        t = asyncio.get_running_loop().create_future()
        h = self.later(us, lambda: t.done() or t.set_result(None))
        try:
            await asyncio.wait([f, t], return_when=asyncio.FIRST_COMPLETED)
            if f.done():
                return f.result()
            raise Late("horizon passed")
        finally:
            h.cancel()
            if f.done():
                f.cancelled() or f.exception()
            elif not keep:
                f.cancel()


class Nest:
    """The tasks of one node; closing it ends them all."""

    __slots__ = ("_own", "_log", "shut")

    def __init__(self, log=None):
        self._own = {}
        self._log = log
        self.shut = False

    def spawn(self, co):
        """Runs `co` as a task of this node."""
        if self.shut:
            co.close()
            return None
        t = asyncio.ensure_future(co)
        self._own[t] = None
        t.add_done_callback(self._end)
        return t

    def _end(self, t):
        self._own.pop(t, None)
        if not t.cancelled() and t.exception() is not None and not isinstance(t.exception(), Fault):
            tb = t.exception().__traceback__
            while tb.tb_next:
                tb = tb.tb_next
            emit(
                self._log,
                903,
                what=repr(t.exception()),
                at=f"{os.path.basename(tb.tb_frame.f_code.co_filename)}:{tb.tb_lineno}",
            )

    async def close(self):
        """Cancels every task and waits for their end."""
        self.kill()
        me = asyncio.current_task()
        ts = [t for t in self._own if t is not me]
        if ts:
            await asyncio.gather(*ts, return_exceptions=True)

    def kill(self):
        """Cancels every task without waiting."""
        self.shut = True
        me = asyncio.current_task() if asyncio.get_event_loop().is_running() else None
        for t in list(self._own):
            if t is not me:
                t.cancel()

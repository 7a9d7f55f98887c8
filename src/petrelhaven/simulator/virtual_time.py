"""An event loop in virtual time: when nothing is ready, time jumps to the next tick."""

import asyncio
import selectors

__all__ = ["WarpLoop", "end_all"]


class _Warp(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Never blocks: waiting is a jump."""
        if timeout is None:
            raise RuntimeError("nothing will ever happen")
        if timeout > 0:
            self.now += timeout
        return []


class WarpLoop(asyncio.SelectorEventLoop):
    """A loop whose clock is the selector's."""

    def __init__(self):
        self._warp = _Warp()
        super().__init__(self._warp)

    def time(self):
        return self._warp.now


def end_all(loop):
    """Cancels every task of a loop until none is left."""
    for _ in range(20):
        ts = asyncio.all_tasks(loop)
        if not ts:
            return
        for t in ts:
            t.cancel()
        loop.run_until_complete(asyncio.wait(ts, timeout=1))

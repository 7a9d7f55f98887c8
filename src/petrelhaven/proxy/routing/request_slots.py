"""The slab: every request in a process is a continuation in one of a fixed number of slots."""

import asyncio

from petrelhaven.runtime.errors import Busy, DeadlineExceeded

__all__ = ["RequestSlots"]


class _Slot:
    __slots__ = ("gen", "cont", "out", "tick", "wait")

    def __init__(self):
        self.gen, self.cont, self.out, self.tick, self.wait = 0, None, None, None, None


class RequestSlots:
    """Fixed slots; a full slab declines at once. A continuation yields the future it waits for."""

    def __init__(self, clock, slots=512):
        self.clock = clock
        self._slots = [_Slot() for _ in range(slots)]
        self._free = list(range(slots - 1, -1, -1))
        self.shed = 0
        self._limit = slots

    @property
    def used(self):
        return len(self._slots) - len(self._free)

    def resize(self, slots):
        """Sets how many slots may be taken; what is under way stays."""
        self._limit = slots
        for i in range(len(self._slots), slots):
            self._slots.append(_Slot())
            self._free.append(i)

    def enter(self, cont, horizon_us):
        """Starts a continuation; the future returned has its result. Past the horizon Late is thrown into it."""
        if not self._free or self.used >= self._limit:
            self.shed += 1
            cont.close()
            raise Busy("every slot is taken")
        i = self._free.pop()
        s = self._slots[i]
        s.cont, s.out = cont, asyncio.get_running_loop().create_future()
        g = s.gen
        s.tick = self.clock.later(horizon_us, lambda: self._late(i, g))
        out = s.out
        self._resume(i, g, None, None)
        return out

    def _late(self, i, g):
        s = self._slots[i]
        if s.gen == g:
            s.wait = None
            self._resume(i, g, None, DeadlineExceeded("horizon passed"))

    def _woken(self, i, g, f):
        s = self._slots[i]
        if s.gen != g or s.wait is not f:
            if not f.cancelled():
                f.exception()
            return
        s.wait = None
        if f.cancelled():
            self._resume(i, g, None, Busy("cancelled"))
        else:
            e = f.exception()
            self._resume(i, g, None if e else f.result(), e)

    def _resume(self, i, g, v, e):
        s = self._slots[i]
        try:
            f = s.cont.throw(e) if e is not None else s.cont.send(v)
        except StopIteration as r:
            self._end(i, r.value, None)
        except Exception as x:
            self._end(i, None, x)
        else:
            if f is None:
                s.cont.close()
                return self._end(i, None, Busy("this node ends"))
            f = asyncio.ensure_future(f)
            s.wait = f
            f.add_done_callback(lambda f: self._woken(i, g, f))

    def _end(self, i, v, e):
        s = self._slots[i]
        s.gen += 1
        s.tick.cancel()
        out, s.cont, s.out, s.wait = s.out, None, None, None
        self._free.append(i)
        if not out.done():
            out.set_result(v) if e is None else out.set_exception(e)

"""A core's bounds on true time: the wall clocks of all cores, what a majority agrees on, monotonic time between."""

from petrelhaven.control.consensus.chain import DRIFT
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.wall_clock import agreed

__all__ = ["AgreedTime", "widened"]

_ASK_US = 500_000
_CALL_US = 400_000
_OLD_US = 3_000_000
_SUSPICION_US = 60_000_000


def widened(lo, hi, us):
    """An interval around true time after `us` of a monotonic clock that may run 5 % off."""
    return lo + int(us / DRIFT), hi + int(us * DRIFT)


class AgreedTime:
    """Asks the other cores for their readings while embargoes are on. `ids()` names all cores, `bounds()` is a dict."""

    def __init__(self, clock, wall_clock, name, ids, bounds, call, tasks, log=None):
        self.clock, self.wall_clock, self.name, self._ids, self._bounds = (
            clock,
            wall_clock,
            name,
            ids,
            bounds,
        )
        self._call, self.tasks, self.log = call, tasks, log
        self._got = {}
        self._was = None
        self._suspected = 0
        self._told = {}

    async def run(self):
        """Keeps readings of all cores."""
        while True:
            if self._bounds():
                for n in self._ids():
                    self.tasks.spawn(self._ask(n))
                self._watch()
            await self.clock.sleep(_ASK_US)

    async def _ask(self, n):
        a = self.clock.now()
        if n == self.name:
            w = self.wall_clock.now()
        else:
            try:
                w = (await self._call(n, "wall.read", {"name": self.name}, _CALL_US))["wall"]
            except Fault:
                return
        if a >= self._got.get(n, (0,))[0]:
            self._got[n] = (a, self.clock.now(), w)

    def _of(self, n, now, skew):
        a, b, w = self._got[n]
        return widened(w - skew, 0, now - b)[0], widened(0, w + skew, now - a)[1]

    def interval(self):
        """The (lowest, highest) moment that true time can be now, or None."""
        m = self._bounds()
        if not m:
            return None
        now = self.clock.now()
        ids = self._ids()
        mine = [
            self._of(n, now, m["skew_us"])
            for n in ids
            if n in self._got and now - self._got[n][0] < _OLD_US
        ]
        got = agreed(mine, len(ids) // 2 + 1)
        if got is None:
            return None
        if self._was is not None:
            lo, hi = widened(*self._was[1], now - self._was[0])
            if got[1] < lo or got[0] > hi:
                self._suspected = now + _SUSPICION_US
                emit(self.log, Events.AGREED_TIME_JUMPED, us=got[0] - lo)
        self._was = (now, got)
        if now < self._suspected or got[1] - got[0] > m["wall_us"]:
            return None
        return got

    def _watch(self):
        got = self.interval()
        self._tell("time", got is not None, Events.TIME_AGREED_AGAIN, Events.NO_AGREED_TIME)
        if got is not None and self.name in self._got:
            lo, hi = self._of(self.name, self.clock.now(), self._bounds()["skew_us"])
            self._tell(
                "own",
                lo <= got[1] and hi >= got[0],
                None,
                Events.WALL_CLOCK_WRONG,
                core=self.name,
                us=lo - got[0],
            )

    def _tell(self, what, well, good, bad, **fields):
        was = self._told.get(what, True if what == "own" else None)
        self._told[what] = well
        if was != well and (good if well else bad) is not None:
            emit(self.log, good if well else bad, **fields)

    def status(self):
        """The interval and each core's reading against its middle."""
        got, now = self.interval(), self.clock.now()
        if got is None:
            return {"interval": None, "off_us": {}}
        mid = sum(got) // 2
        return {
            "interval": got,
            "off_us": {n: w + now - b - mid for n, (_, b, w) in sorted(self._got.items())},
        }

"""Ledgers of edges, gathered over their ties while a core has no majority and so holds no edge."""

from petrelhaven.runtime.errors import Conflict, Fault
from petrelhaven.runtime.events import Events, emit

__all__ = ["ProxySurvey"]

_OPEN_US = 4_000_000
_ASK_US = 600_000


class ProxySurvey:
    """While it is on, each edge that comes to this core for a tie, or still has one, is asked for what it holds."""

    def __init__(self, clock, tasks, log=None):
        self.clock, self.tasks, self.log = clock, tasks, log
        self.on = False
        self._got, self._asked = {}, set()

    async def gather(self):
        """Frames by edge. Long enough for an edge to leave a core that does not rule and try each of the others."""
        if self.on:
            raise Conflict("edges are being asked already")
        self.on, self._got, self._asked = True, {}, set()
        try:
            await self.clock.sleep(_OPEN_US)
            return self._got
        finally:
            self.on = False

    async def meet(self, ch, edge):
        """Asks an edge over its own connection, once."""
        if not self.on or edge in self._asked:
            return
        self._asked.add(edge)
        try:
            f = (await ch.call("edge.frame", {"name": edge}, _ASK_US))["frame"]
        except Fault as e:
            self._asked.discard(edge)
            emit(self.log, Events.SURVEY_UNANSWERED, node=edge, fault=e.code)
            return
        if f:
            self._got[edge] = f

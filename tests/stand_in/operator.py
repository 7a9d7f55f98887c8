import asyncio
import json

from .caller import Caller
from .config_order import ConfigOrder
from .evacuation import Evacuation

__all__ = ["Operator"]

ENDS = (400, 409, 412, 413, 422)


class Operator:
    """Sends configurations and evacuations, again and again until there is a clear answer."""

    def __init__(self, history, nodes):
        self._history, self._nodes = history, nodes
        self._caller = Caller(2.0)
        self._turn = 0

    async def replace(self, config, valid=True, seconds=30.0):
        """Sends a configuration until it is taken or refused; returns its order."""
        order = ConfigOrder(config, self._history.now(), valid)
        self._history.configs.append(order)
        order.status, _ = await self._order("POST", "/v1/Config.Replace", config, seconds)
        if 200 <= order.status < 300:
            order.acked_at = self._history.now()
        return order

    async def fetch(self, seconds=10.0):
        """Reads the newest configuration back, or None."""
        status, got = await self._order("GET", "/v1/Config.Fetch", None, seconds)
        self._history.fetched = json.loads(got) if status == 200 else None
        return self._history.fetched

    async def begin(self, zone, seconds=6.0):
        """Asks that a zone gets nothing more; returns the status."""
        status, _ = await self._order("POST", f"/v1/Evacuations.Begin/{zone}", None, seconds)
        if 200 <= status < 300:
            self._history.evacuations.append(Evacuation(zone, self._history.now()))
        return status

    async def finish(self, zone, seconds=6.0):
        """Takes a zone back; returns the status."""
        for e in self._history.evacuations:
            if e.zone == zone and e.finished_at is None:
                e.finished_at = self._history.now()
        return (await self._order("POST", f"/v1/Evacuations.Finish/{zone}", None, seconds))[0]

    async def close(self):
        """Closes its connections."""
        await self._caller.close()

    async def _order(self, method, path, body, seconds):
        refused, pause, until = 0, 0.1, self._history.now() + seconds
        while True:
            node = self._nodes[self._turn % len(self._nodes)]
            status, got = await self._caller.call(node, method, path, body)
            refused += 400 <= status < 500 and status not in (408, 429)
            if 200 <= status < 300 or status in ENDS or refused >= 3 or self._history.now() > until:
                return status, got
            self._turn += 1
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.6)

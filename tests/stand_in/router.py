import asyncio
import math
import zlib

from .caller import Caller

__all__ = ["Router"]


class Router:
    """Gives new client connections to ready nodes: asks each one every second, drops it after two misses.

    `nodes` answers with (name, zone, Front address, Ready address) of each node that may be there.
    """

    def __init__(self, nodes, zones, gap=1.0):
        self._nodes, self._zones, self._gap = nodes, zones, gap
        self._misses, self._confirmed_at = {}, {}
        self._caller = Caller()
        self._task = None

    def start(self):
        """Begins to ask."""
        self._task = asyncio.ensure_future(self._run())
        return self

    async def close(self):
        """Ends."""
        if self._task:
            self._task.cancel()
        await self._caller.close()

    def ready(self):
        """The names of the nodes that get new connections."""
        return {name for name, misses in self._misses.items() if misses < 2}

    def ready_since(self, moment):
        """The names of the nodes that said that they are ready when they were asked at `moment` or later."""
        return {name for name in self.ready() if self._confirmed_at.get(name, -math.inf) >= moment}

    def pick(self, zone, client, further=0):
        """The Front address for a client's connection; `further` counts its further tries."""
        at = self._zones.index(zone)
        for z in [zone, *sorted(self._zones, key=lambda x: abs(self._zones.index(x) - at))]:
            here = [n for n in self._nodes() if n[1] == z]
            well = [n for n in here if n[0] in self.ready()]
            if well:
                use = well if 2 * len(well) >= len(here) else here
                return use[(zlib.crc32(client.encode()) + further) % len(use)][2]
        raise ConnectionError("no node is ready")

    async def _run(self):
        while True:
            await asyncio.gather(*(self._ask(name, ready) for name, _, _, ready in self._nodes()))
            await asyncio.sleep(self._gap)

    async def _ask(self, name, address):
        asked_at = asyncio.get_running_loop().time()
        status, _ = await self._caller.call(address, "GET", "/v1/readiness")
        if status == 200:
            self._confirmed_at[name] = asked_at
        self._misses[name] = 0 if status == 200 else self._misses.get(name, 1) + 1

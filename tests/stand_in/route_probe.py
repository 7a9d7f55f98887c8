import asyncio
import contextlib
import itertools
from typing import NamedTuple

from .refusal import Refusal
from .session import Session

__all__ = ["ACCEPTED", "UNKNOWN_DATABASE", "RouteProbe", "RouteProber"]

ACCEPTED, UNKNOWN_DATABASE = "READY", "NODB"
_SILENT = "silent"
_ANSWER_S = 1.0


class RouteProbe(NamedTuple):
    """What a proxy answered to a connection to a database: ACCEPTED, a code of a refusal, or silence."""

    sent: float
    ended: float
    proxy: str
    database: str
    code: str


class RouteProber:
    """Connects to the databases of `databases()` at every proxy in turn, to see which configuration it goes by."""

    def __init__(self, history, fronts, databases, gap_s=0.3):
        self._history, self._fronts, self._databases = history, fronts, databases
        self._gap_s = gap_s

    async def run(self):
        """Probes until it is cancelled; a proxy that is silent holds up only its own probes."""
        await asyncio.gather(*(self._probe_proxy(f[0], f[2]) for f in self._fronts()))

    async def _probe_proxy(self, proxy, address):
        for turn in itertools.count():
            databases = self._databases()
            if databases:
                await self._probe(proxy, address, databases[turn % len(databases)])
            await asyncio.sleep(self._gap_s)

    async def _probe(self, proxy, address, database):
        sent, code = self._history.now(), _SILENT
        with contextlib.suppress(OSError, TimeoutError):
            try:
                session = await Session.open(address, database, "probe", seconds=_ANSWER_S)
            except Refusal as refusal:
                code = refusal.code
            else:
                code = ACCEPTED
                session.close(polite=True)
        self._history.probes.append(RouteProbe(sent, self._history.now(), proxy, database, code))

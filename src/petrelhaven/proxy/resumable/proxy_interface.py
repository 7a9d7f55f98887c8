"""The visitors' and the platform's face of an edge."""

from petrelhaven.runtime.errors import NotReady
from petrelhaven.transport.http_server import body_of

__all__ = ["ResumableProxyInterface"]


class ResumableProxyInterface:
    """Routes of the visitors' face."""

    def __init__(self, edge, http_server):
        self._e = edge
        for v, p, f in (
            ("POST", "/sessions", self._open),
            ("POST", "/sessions/{sid}", self._say),
            ("DELETE", "/sessions/{sid}", self._close),
            ("GET", "/ready", self._ready),
            ("GET", "/status", self._status),
            ("GET", "/belief", self._belief),
        ):
            http_server.on(v, p, f)

    async def _open(self, req):
        return await self._e.open_session()

    async def _say(self, req):
        return await self._e.statement(req.match_info["sid"], await body_of(req))

    async def _close(self, req):
        return await self._e.close_session(req.match_info["sid"])

    async def _ready(self, req):
        if not self._e.ready:
            raise NotReady(f"the edge is {self._e.state}")
        return {"ready": True}

    async def _status(self, req):
        return self._e.status()

    async def _belief(self, req):
        return self._e.belief()

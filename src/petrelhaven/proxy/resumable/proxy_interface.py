"""The clients' and the platform's interface of a proxy with resumable sessions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from petrelhaven.proxy.state_routes import add_state_routes
from petrelhaven.transport.http_server import read_json_body

if TYPE_CHECKING:
    from aiohttp import web

    from petrelhaven.proxy.resumable.node import ResumableProxy
    from petrelhaven.proxy.state_routes import HttpRoutes

__all__ = ["ResumableProxyInterface"]


class ResumableProxyInterface:
    """Serves sessions, statements and the proxy's state over HTTP (docs/http.md)."""

    def __init__(self, proxy: ResumableProxy, http_server: HttpRoutes) -> None:
        """Adds its routes to `http_server`."""
        self._proxy = proxy
        http_server.on("POST", "/sessions", self._open)
        http_server.on("POST", "/sessions/{sid}", self._run_statement)
        http_server.on("DELETE", "/sessions/{sid}", self._close)
        add_state_routes(http_server, proxy, proxy.status, proxy.reported_state)

    async def _open(self, _request: web.Request) -> dict[str, Any]:
        return await self._proxy.open_session()

    async def _run_statement(self, request: web.Request) -> dict[str, Any]:
        return await self._proxy.statement(request.match_info["sid"], await read_json_body(request))

    async def _close(self, request: web.Request) -> dict[str, Any]:
        return await self._proxy.close_session(request.match_info["sid"])

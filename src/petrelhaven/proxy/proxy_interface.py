"""The operators' HTTP interface of a proxy: its reported state, counters and configuration.

Clients do not connect here but through the protocol adapter. Requests that need the confirmation
of a majority of control nodes are declined.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from petrelhaven.control.interface.documents import configuration_response, leadership_history
from petrelhaven.proxy.state_routes import add_state_routes
from petrelhaven.runtime.errors import Malformed, NoRoute

if TYPE_CHECKING:
    from petrelhaven.proxy.node import ProxyNode
    from petrelhaven.proxy.state_routes import HttpRequest, HttpRoutes

__all__ = ["ProxyInterface"]


class ProxyInterface:
    """Serves the status documents of one proxy over HTTP (docs/http.md)."""

    def __init__(
        self,
        proxy: ProxyNode,
        http_server: HttpRoutes,
        settings: Callable[[], dict[str, Any]] = dict,
    ) -> None:
        """Registers the HTTP routes.

        Args:
            proxy: The proxy whose documents are served.
            http_server: The server that the routes are added to.
            settings: Returns the part of the status document about the current settings.
        """
        self._proxy, self._settings = proxy, settings
        add_state_routes(http_server, proxy, self.status, self.reported_state)
        http_server.on("GET", "/realm", self._show_control_state)
        http_server.on("GET", "/why", self._show_leadership)
        http_server.on("GET", "/manifest", self._show_configuration)

    def reported_state(self) -> dict[str, Any]:
        """Returns this proxy's view of the control state, in the format common to all nodes."""
        control_state = self._proxy.core_connection.control_state
        return {
            **control_state.reported_state(),
            "name": self._proxy.name,
            "role": "edge",
            "state": self._proxy.state,
            "commit": control_state.seq,
            "view": None,
        }

    def status(self) -> dict[str, Any]:
        """Returns the reported state, the counters and the state of the core connection."""
        core_connection = self._proxy.core_connection
        return {
            **self._proxy.status(),
            **self.reported_state(),
            "settings": self._settings(),
            "joined": core_connection.has_control_state,
            "lease_us": max(0, core_connection.lease_until - self._proxy.clock.now()),
            "cores": sorted(core_connection.search.distances),
            "edges_tied": core_connection.proxy_count,
        }

    async def _show_control_state(self, _request: HttpRequest) -> dict[str, Any]:
        return self._proxy.core_connection.control_state.doc

    async def _show_leadership(self, request: HttpRequest) -> dict[str, Any]:
        document = self._proxy.core_connection.control_state.doc
        history: dict[str, Any] = leadership_history(document, request.query)
        return history

    async def _show_configuration(self, request: HttpRequest) -> tuple[int, bytes, Any]:
        if request.query.get("unconfirmed") != "true":
            raise Malformed(
                "a proxy cannot confirm the manifest; ask a control node or set unconfirmed=true"
            )
        stored = self._proxy.core_connection.control_state.doc["manifest"]
        if stored is None:
            raise NoRoute("no such manifest")
        version = str(stored["version"])
        if request.query.get("version", version) != version:
            raise NoRoute("no such manifest")
        response: tuple[int, bytes, Any] = configuration_response(stored["text"], False)
        return response

"""The HTTP routes that every proxy serves about its state: /ready, /status and /belief."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

from petrelhaven.runtime.errors import NotReady

__all__ = ["HttpRequest", "HttpRoutes", "add_state_routes"]

Document = dict[str, Any]


class HttpRequest(Protocol):
    """An HTTP request, as far as the handlers read it."""

    @property
    def query(self) -> Mapping[str, str]:
        """The query parameters, by name."""


class HttpRoutes(Protocol):
    """An HTTP server that accepts routes until it starts."""

    def on(self, method: str, path: str, handler: Callable[[Any], Awaitable[Any]], /) -> None:
        """Registers `handler` for requests with this method and path."""


class Readiness(Protocol):
    """A proxy with connection sessions or with resumable sessions."""

    @property
    def ready(self) -> bool:
        """Whether new connections should come to this proxy."""

    @property
    def state(self) -> str:
        """The state of the proxy, shown by /ready while the proxy is not ready."""


def add_state_routes(
    http_server: HttpRoutes,
    proxy: Readiness,
    status: Callable[[], Document],
    reported_state: Callable[[], Document],
) -> None:
    """Registers the routes.

    Args:
        http_server: The server that the routes are added to.
        proxy: The proxy whose readiness /ready reports; while it is not ready, the answer is the
            fault `NotReady`.
        status: Returns the document of /status.
        reported_state: Returns the document of /belief.
    """

    async def show_ready(_request: object) -> Document:
        if not proxy.ready:
            raise NotReady(f"the proxy is {proxy.state}")
        return {"ready": True}

    async def show_status(_request: object) -> Document:
        return status()

    async def show_reported_state(_request: object) -> Document:
        return reported_state()

    http_server.on("GET", "/ready", show_ready)
    http_server.on("GET", "/status", show_status)
    http_server.on("GET", "/belief", show_reported_state)

"""The routes by which every proxy shows its state: /ready, /status and /belief."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

from petrelhaven.runtime.errors import NotReady

__all__ = ["HttpRequest", "HttpRoutes", "add_state_routes"]

Document = dict[str, Any]


class HttpRequest(Protocol):
    """A request as these handlers read it."""

    @property
    def query(self) -> Mapping[str, str]:
        """What the path says after its `?`, by name."""


class HttpRoutes(Protocol):
    """An HTTP server to which routes are added before it starts."""

    def on(self, method: str, path: str, handler: Callable[[Any], Awaitable[Any]], /) -> None:
        """Serves `method path` with `handler(request)`."""


class Readiness(Protocol):
    """A proxy of either kind."""

    @property
    def ready(self) -> bool:
        """Whether new connections should come here."""

    @property
    def state(self) -> str:
        """The state that a proxy which is not ready names."""


def add_state_routes(
    http_server: HttpRoutes,
    proxy: Readiness,
    status: Callable[[], Document],
    belief: Callable[[], Document],
) -> None:
    """Adds the routes.

    Args:
        http_server: Where the routes are added.
        proxy: Whose readiness /ready answers; it answers `NotReady` while that is missing.
        status: Makes the document of /status.
        belief: Makes the document of /belief.
    """

    async def show_ready(_request: object) -> Document:
        if not proxy.ready:
            raise NotReady(f"the edge is {proxy.state}")
        return {"ready": True}

    async def show_status(_request: object) -> Document:
        return status()

    async def show_belief(_request: object) -> Document:
        return belief()

    http_server.on("GET", "/ready", show_ready)
    http_server.on("GET", "/status", show_status)
    http_server.on("GET", "/belief", show_belief)

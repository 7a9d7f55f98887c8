"""What the operators' interface needs of an HTTP server: requests and routes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeAlias

__all__ = ["Handler", "HttpRoutes", "RawAnswer", "Request"]

Handler: TypeAlias = Callable[..., Awaitable[Any]]
"""Takes a request and the parts of the path that are `{}`; answers a JSON document or a RawAnswer."""
RawAnswer: TypeAlias = tuple[int, bytes, tuple[tuple[str, str], ...]]
"""A status, a body and headers, sent as they are."""


class Request(Protocol):
    """A request, as a server hands it to a handler."""

    @property
    def query(self) -> dict[str, str]:
        """The query of its path, by name."""

    def text(self) -> str:
        """The body as text; Malformed if it is not UTF-8."""

    def doc(self) -> Any:  # noqa: ANN401
        """The body's JSON document; Malformed if it is not JSON."""


class HttpRoutes(Protocol):
    """A server to which routes are added."""

    def on(self, verb: str, path: str, handler: Handler) -> None:
        """Has `handler` answer requests of `verb` for `path`, in which `{}` stands for any part."""

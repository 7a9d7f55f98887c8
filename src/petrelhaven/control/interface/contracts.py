"""Protocols that the operators' interface requires: HTTP server, requests and control node."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Any, Protocol, TypeAlias

if TYPE_CHECKING:
    from petrelhaven.control.consensus.chain import Chain
    from petrelhaven.control.embargo.service import EmbargoService
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.transport.delivery import Delivery

__all__ = ["Document", "Handler", "HttpRoutes", "NodeInterface", "RawResponse", "Request"]

Document: TypeAlias = dict[str, Any]
Handler: TypeAlias = Callable[..., Awaitable[Any]]
"""Receives a request and the path segment matched by `{}`; returns a Document or RawResponse."""
RawResponse: TypeAlias = tuple[int, bytes, tuple[tuple[str, str], ...]]
"""An HTTP status, a body and headers, sent unchanged."""


class Request(Protocol):
    """An HTTP request as a handler receives it."""

    @property
    def query(self) -> dict[str, str]:
        """The parameters of the query string."""

    @property
    def delivery(self) -> Delivery:
        """How the request reached this node."""

    def text(self) -> str:
        """Returns the body as text; raises Malformed if it isn't UTF-8."""

    def doc(self) -> Any:  # noqa: ANN401
        """Returns the parsed JSON body; raises Malformed if it isn't JSON."""


class HttpRoutes(Protocol):
    """An HTTP server to which routes are added."""

    def on(self, verb: str, path: str, handler: Handler) -> None:
        """Registers a handler for a method and a path, in which `{}` matches any segment."""


class NodeInterface(Protocol):
    """The operations of a control node for operators and members; see `ControlNode`."""

    clock: Clock
    chain: Chain
    lease_table: Any
    duty: Any

    @property
    def last_heartbeats(self) -> Mapping[str, tuple[int, int]]:
        """By member, when its last heartbeat arrived (clock microseconds) and its count."""

    @property
    def embargoes(self) -> EmbargoService:
        """The embargo service of the control node."""

    @property
    def ready(self) -> bool:
        """Whether the control node accepts orders."""

    async def apply(self, text: str, by: str = "", retire: bool = True) -> Document:
        """Applies a configuration."""

    async def set_zone_state(
        self, zone: str, state: str, by: str = "", *, delivery: Delivery
    ) -> Document:
        """Evacuates or restores a zone."""

    async def record_election_order(
        self, group: str, member: str, leadership: int, by: str = ""
    ) -> Document:
        """Orders the election of a member even if acknowledged commits are lost."""

    async def reform(self, lost: list[str], by: str = "") -> Document:
        """Reforms the chain without lost control nodes."""

    async def control_state(self) -> Document:
        """Returns the control state as confirmed by the tail of the chain."""

    def unconfirmed_state(self) -> Document:
        """Returns this node's control state, which may lack confirmation."""

    async def announce(self, doc: Document) -> None:
        """Processes a member's announcement."""

    def reported_state(self) -> Document:
        """Returns this node's local view of the fleet."""

    def status(self) -> Document:
        """Returns the local view and what the node waits for."""

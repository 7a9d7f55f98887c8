"""What the operators' interface needs: an HTTP server with its requests, and a control node."""

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
"""Takes a request and the part of the path that is `{}`; answers a Document or a RawAnswer."""
RawResponse: TypeAlias = tuple[int, bytes, tuple[tuple[str, str], ...]]
"""A status, a body and headers, sent as they are."""


class Request(Protocol):
    """A request, as a server hands it to a handler."""

    @property
    def query(self) -> dict[str, str]:
        """The query of its path, by name."""

    @property
    def delivery(self) -> Delivery:
        """How it came here."""

    def text(self) -> str:
        """The body as text; Malformed if it is not UTF-8."""

    def doc(self) -> Any:  # noqa: ANN401
        """The body's JSON document; Malformed if it is not JSON."""


class HttpRoutes(Protocol):
    """A server to which routes are added."""

    def on(self, verb: str, path: str, handler: Handler) -> None:
        """Has `handler` answer requests of `verb` for `path`, in which `{}` stands for any part."""


class NodeInterface(Protocol):
    """What operators and members can ask of a control node; `ControlNode` says what each means."""

    clock: Clock
    chain: Chain
    lease_table: Any
    duty: Any

    @property
    def last_heartbeats(self) -> Mapping[str, tuple[int, int]]:
        """For each member, when its last heartbeat came, and its count."""

    @property
    def embargoes(self) -> EmbargoService:
        """What it does about embargoes."""

    @property
    def ready(self) -> bool:
        """Whether it takes orders."""

    async def apply(self, text: str, by: str = "", retire: bool = True) -> Document:
        """Applies a configuration."""

    async def set_zone_state(
        self, zone: str, state: str, by: str = "", *, delivery: Delivery
    ) -> Document:
        """Evacuates or restores a zone."""

    async def record_election_order(
        self, group: str, member: str, leadership: int, by: str = ""
    ) -> Document:
        """Orders the election of a member although acknowledged commits may be lost."""

    async def reform(self, lost: list[str], by: str = "") -> Document:
        """Forms the chain anew without lost control nodes."""

    async def control_state(self) -> Document:
        """The control state as the tail answers it."""

    def unconfirmed_state(self) -> Document:
        """The control state as this node has it."""

    async def announce(self, doc: Document) -> None:
        """Takes a member's announcement."""

    def reported_state(self) -> Document:
        """What this node believes."""

    def status(self) -> Document:
        """The belief and what the node waits for."""

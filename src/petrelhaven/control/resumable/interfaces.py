"""The contracts of the planning duty: what it needs of its control node and of the platform."""

from __future__ import annotations

from collections.abc import Awaitable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from petrelhaven.control.configuration.document import Configuration
    from petrelhaven.control.consensus.view import View

__all__ = ["CallNode", "Chain", "ControlState", "EpochPlatform", "LeaseTable"]


class ControlState(Protocol):
    """The control state as far as the duty reads it."""

    seq: int
    doc: dict[str, Any]

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, or None."""


class Chain(Protocol):
    """The replication chain of the control nodes."""

    @property
    def node_name(self) -> str:
        """The name of this node."""

    @property
    def is_head(self) -> bool:
        """Whether this node is the head."""

    @property
    def is_active(self) -> bool:
        """Whether a majority has confirmed this node's view, and no older one can be in force."""

    @property
    def view(self) -> View | None:
        """The view that this node follows, or None."""

    @property
    def control_state(self) -> ControlState:
        """The control state, with all records that this node holds."""

    async def append_record(self, record: dict[str, Any], /) -> int:
        """Commits a record; its number."""


class LeaseTable(Protocol):
    """The leases of the proxies.

    Attributes:
        lease_ends: When each lease granted here has expired (clock microseconds).
        unknown_leases_end: When leases that this node doesn't know of have expired.
    """

    lease_ends: dict[str, int]
    unknown_leases_end: int

    async def wait_in_force(
        self, seq: int, grace_us: int = 0, timeout_us: int = 15_000_000
    ) -> object:
        """Returns once every proxy has acknowledged record `seq`, or its lease has expired."""


class EpochPlatform(Protocol):
    """The platform that promotes members, fenced by epoch."""

    async def promote(self, group: str, member: str, epoch: int, by: str, /) -> Mapping[str, Any]:
        """Makes a member the primary of its group; the answer names both."""


class CallNode(Protocol):
    """Calls another control node."""

    def __call__(
        self, name: str, kind: str, body: dict[str, Any], us: int, /
    ) -> Awaitable[dict[str, Any]]:
        """Its answer within `us` microseconds."""

"""Interfaces of the control node and the platform that the planning duty uses."""

from __future__ import annotations

from collections.abc import Awaitable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from petrelhaven.control.configuration.document import Configuration
    from petrelhaven.control.consensus.view import View

__all__ = ["CallNode", "Chain", "ControlState", "EpochPlatform", "LeaseTable"]


class ControlState(Protocol):
    """The part of the control state that the planning duty reads."""

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
        """Whether a majority has confirmed this node's view and no older view can be active."""

    @property
    def view(self) -> View | None:
        """The view of this node, or None."""

    @property
    def control_state(self) -> ControlState:
        """The control state after all records that this node has stored."""

    async def append_record(self, record: dict[str, Any], /) -> int:
        """Appends a record through the chain; returns its number once it is committed."""


class LeaseTable(Protocol):
    """The leases of the proxies.

    Attributes:
        lease_ends: For each proxy, when its lease from this node has expired (clock microseconds).
        unknown_leases_end: When leases that removed nodes may have granted have expired (clock
            microseconds).
    """

    lease_ends: dict[str, int]
    unknown_leases_end: int

    async def wait_in_force(
        self, seq: int, grace_us: int = 0, timeout_us: int = 15_000_000
    ) -> object:
        """Waits until every proxy has acknowledged record `seq` or its lease has expired."""


class EpochPlatform(Protocol):
    """The platform, which promotes members; the epoch is the fencing token."""

    async def promote(self, group: str, member: str, epoch: int, by: str, /) -> Mapping[str, Any]:
        """Makes a member the primary of its group; the response has `primary` and `epoch`."""


class CallNode(Protocol):
    """Calls another control node by name."""

    def __call__(
        self, name: str, kind: str, body: dict[str, Any], us: int, /
    ) -> Awaitable[dict[str, Any]]:
        """Returns the response, which must arrive within `us` microseconds."""

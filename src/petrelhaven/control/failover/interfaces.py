"""Protocols that failover requires of its control node, of members and of the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Coroutine, Mapping
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

if TYPE_CHECKING:
    import logbook

    from petrelhaven.control.consensus.view import View
    from petrelhaven.control.failover.evidence import Evidence
    from petrelhaven.runtime.clock import Clock

__all__ = [
    "UNREACHABLE",
    "Chain",
    "Connection",
    "ControlServices",
    "ControlState",
    "LeaseTable",
    "MemberWire",
    "Platform",
    "ControlNodeCalls",
    "Tasks",
]

UNREACHABLE = "mute"
"""Note of the `NotSent` that `MemberWire.open` raises if the address did not answer at all."""

_Result = TypeVar("_Result")


class Connection(Protocol):
    """An open connection to a member.

    Attributes:
        lost: Whether the connection has ended.
    """

    lost: bool

    def send_command(self, verb: str, *args: int) -> Awaitable[dict[str, Any]]:
        """Sends a verb that is not a client statement, such as `status`; returns the status."""

    def close(self) -> None:
        """Closes the connection and drops data in transit."""


class MemberWire(Protocol):
    """Opens connections to members."""

    async def open(self, addr: str, group: str, member: str, us: int) -> Connection:
        """Connects within `us` microseconds to a member that answers under its name.

        Raises:
            NotSent: The port is closed, or with the note `UNREACHABLE`, there was no answer.
            MemberReplaced: A different member answers at the address.
        """


class Platform(Protocol):
    """The platform, which promotes members."""

    async def promote(
        self, group: str, member: str, fencing_token: int, requester: str, /
    ) -> object:
        """Makes a member the primary of its group.

        Raises:
            Fenced: The platform has seen a higher fencing token.
            NotSent: The request did not reach the platform.
            Fault: Any other failure; the request may still take effect.
        """


class Tasks(Protocol):
    """Starts tasks that are cancelled with the control node."""

    def spawn(self, coroutine: Coroutine[Any, Any, _Result], /) -> asyncio.Task[_Result]:
        """Starts a task."""


class ControlState(Protocol):
    """The part of the control state that failover reads."""

    doc: dict[str, Any]

    @property
    def configuration(self) -> Any:  # noqa: ANN401 (a JSON document)
        """The configuration in force, or None."""

    def group_members(self, name: str, /) -> Mapping[str, Mapping[str, Any]]:
        """Returns the rows of a group's members by name, without those that signed off."""

    def evidence(self, group: str) -> Evidence:
        """Returns the recorded facts about the logs of a group's members."""

    def zone_state(self, name: str, /) -> str:
        """Returns the state of a zone."""


class Chain(Protocol):
    """The replication chain of the control nodes."""

    @property
    def is_head(self) -> bool:
        """Whether this node is the head."""

    @property
    def is_active(self) -> bool:
        """Whether a majority has confirmed this node's view and no older view can be in force."""

    @property
    def view(self) -> View | None:
        """The view that this node has adopted, or None."""

    @property
    def control_state(self) -> ControlState:
        """The control state after all records that this node stores."""

    async def append_record(self, record: dict[str, Any], /) -> int:
        """Commits a record; returns its number."""


class ControlNodeCalls(Protocol):
    """Remote calls to other control nodes."""

    async def call(
        self, node: str, kind: str, body: dict[str, Any], timeout_us: int, /
    ) -> dict[str, Any]:
        """Sends a message to a control node and returns its answer."""


class LeaseTable(Protocol):
    """The leases of the proxies."""

    async def wait_in_force(self, seq: int) -> object:
        """Returns once every proxy has acknowledged record `seq`, or its lease has expired."""


class ControlServices(Protocol):
    """The part of a control node that failover uses.

    Attributes:
        last_heartbeats: By member, the arrival time (clock microseconds) and count of the last.
        heartbeat_us: The interval of a member's heartbeats.
    """

    name: str
    zone: str
    clock: Clock
    tasks: Tasks
    log: logbook.Logger | None
    wire: MemberWire
    chain: Chain
    node_caller: ControlNodeCalls
    lease_table: LeaseTable
    last_heartbeats: dict[str, tuple[int, int]]
    heartbeat_us: int

    async def suspect(self, group: str, member: str, suspicion: str) -> None:
        """Reports to the head that a member is suspected to have failed."""

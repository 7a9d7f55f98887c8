"""The contracts of failover: what it needs of its control node, of members and of the platform."""

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
    "Reach",
    "Tasks",
]

UNREACHABLE = "mute"
"""Note of the `NotSent` that `MemberWire.open` raises when nothing came back from the address."""

_Result = TypeVar("_Result")


class Connection(Protocol):
    """An open connection to a member."""

    lost: bool

    def send_command(self, verb: str, *args: int) -> Awaitable[dict[str, Any]]:
        """The member's status, as its answer to one of the system's own verbs."""

    def close(self) -> None:
        """Closes it; what is still on its way is dropped."""


class MemberWire(Protocol):
    """Opens connections to members."""

    async def open(self, addr: str, group: str, member: str, us: int) -> Connection:
        """A connection to a member that answers under its name, within `us` microseconds.

        Raises:
            NotSent: With the note `UNREACHABLE` if nothing came back, else its port is closed.
            MemberReplaced: Another member answers at the address.
        """


class Platform(Protocol):
    """The platform that promotes members."""

    async def promote(self, group: str, member: str, fence: int, holder: str, /) -> object:
        """Makes a member the primary of its group.

        Raises:
            Fenced: The platform has seen a higher fencing token.
            NotSent: The request has certainly not arrived.
            Fault: Any other; the request may still take effect.
        """


class Tasks(Protocol):
    """Starts tasks that end with the control node."""

    def spawn(self, work: Coroutine[Any, Any, _Result], /) -> asyncio.Task[_Result]:
        """Starts one."""


class ControlState(Protocol):
    """The control state as far as failover reads it."""

    doc: dict[str, Any]

    @property
    def configuration(self) -> Any:  # noqa: ANN401 (a JSON document)
        """The configuration in force, or None."""

    def group_members(self, name: str, /) -> Mapping[str, Mapping[str, Any]]:
        """The rows of the members of a group that are not gone, by their names."""

    def evidence(self, group: str) -> Evidence:
        """What is recorded about the logs of a group's members."""

    def zone_state(self, name: str, /) -> str:
        """The state of a zone."""


class Chain(Protocol):
    """The replication chain of the control nodes."""

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


class Reach(Protocol):
    """Calls to other control nodes."""

    async def call(self, name: str, kind: str, body: dict[str, Any], us: int, /) -> dict[str, Any]:
        """The answer of a control node within `us` microseconds."""


class LeaseTable(Protocol):
    """The leases of the proxies."""

    async def wait_in_force(self, seq: int) -> object:
        """Returns once every proxy has acknowledged record `seq`, or its lease has expired."""


class ControlServices(Protocol):
    """One control node, as failover uses it.

    Attributes:
        heard: When each member's heartbeat came last (clock microseconds) and its count.
        heartbeat_us: How often a member sends heartbeats.
    """

    name: str
    zone: str
    clock: Clock
    tasks: Tasks
    log: logbook.Logger | None
    wire: MemberWire
    chain: Chain
    reach: Reach
    lease_table: LeaseTable
    last_heartbeats: dict[str, tuple[int, int]]
    heartbeat_us: int

    async def suspect(self, group: str, member: str, how: str) -> None:
        """Reports a suspicion to the head."""

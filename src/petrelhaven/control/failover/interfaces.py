"""What the failover coordinator needs of the core that it runs in, of its members and of the platform."""

import asyncio
from collections.abc import Awaitable, Coroutine
from typing import Any, Protocol

from petrelhaven.runtime.clock import Clock

__all__ = ["Connection", "CoreServices", "MemberWire", "Platform"]


class Connection(Protocol):
    """An open connection to a member."""

    lost: bool

    def own(self, verb: str, *args: int) -> Awaitable[dict]:
        """The member's row as the answer to a verb of the system's own."""

    def close(self) -> None:
        """Closes it; what is still on its way is dropped."""


class MemberWire(Protocol):
    """Opens connections to members."""

    async def open(self, addr: str, group: str, member: str, us: int) -> Connection:
        """A connection to a member that answers under its name."""


class Platform(Protocol):
    """The platform that promotes members."""

    async def promote(self, group: str, member: str, fence: int, holder: str) -> None:
        """Has a member lead its group; declined if a higher fence was seen."""


class Tasks(Protocol):
    """Starts tasks that end with the core."""

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts one."""


class CoreServices(Protocol):
    """One core machine, as the coordinator uses it."""

    name: str
    zone: str
    clock: Clock
    tasks: Tasks
    log: Any
    wire: MemberWire
    chain: Any
    reach: Any
    lease_table: Any
    heard: dict[str, tuple[int, int]]
    heartbeat_us: int

    async def suspect(self, group: str, member: str, how: str) -> None:
        """Tells the head of a doubt about a primary."""

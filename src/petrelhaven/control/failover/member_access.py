"""The coordinator's connection to one member: STATUS, PAUSE and RESUME, each within a bound."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.control.failover.evidence import MemberStatus
from petrelhaven.control.failover.interfaces import UNREACHABLE
from petrelhaven.runtime.errors import Fault, MemberReplaced, NotSent

if TYPE_CHECKING:
    import asyncio

    from petrelhaven.control.failover.group_state import MemberEndpoint
    from petrelhaven.control.failover.interfaces import Connection, MemberWire
    from petrelhaven.runtime.clock import Clock

__all__ = ["REQUEST_US", "MemberHandle"]

REQUEST_US = 600_000
"""How long a member may take to answer, in microseconds."""


class MemberHandle:
    """One member as the active head asks it; the connection is opened with the first request.

    A request without an answer closes the connection, so what was sent over it and is still on
    its way is dropped instead of taking effect later.

    Attributes:
        name: The member's name.
        last_status: The last status that it answered, or None.
        fault: Why the last request had no answer.
        is_refused: Whether that was because nobody, or somebody else, is at its address.
        pending_status: The running STATUS request to a primary that is not waited for, or None.
    """

    __slots__ = (
        "name",
        "last_status",
        "fault",
        "is_refused",
        "pending_status",
        "_endpoint",
        "_wire",
        "_clock",
        "_connection",
    )

    def __init__(self, wire: MemberWire, clock: Clock, endpoint: MemberEndpoint) -> None:
        """Opens no connection yet."""
        self.name, self._endpoint = endpoint.name, endpoint
        self.last_status: MemberStatus | None = None
        self.fault = ""
        self.is_refused = False
        self.pending_status: asyncio.Task[MemberStatus | None] | None = None
        self._wire, self._clock = wire, clock
        self._connection: Connection | None = None

    def move_to(self, endpoint: MemberEndpoint) -> None:
        """The next connection goes to this address."""
        self._endpoint = endpoint

    async def ask(self, verb: str, *args: int) -> MemberStatus:
        """The member's status as the answer to one request.

        Raises:
            Fault: It did not answer within `REQUEST_US`, or declined.
        """
        try:
            connection = await self._connect()
            answer = await self._clock.limit(connection.send_command(verb, *args), REQUEST_US)
        except Fault:
            self.close()
            raise
        self.last_status = MemberStatus.from_wire(answer)
        return self.last_status

    async def _connect(self) -> Connection:
        if self._connection is None or self._connection.lost:
            endpoint = self._endpoint
            self._connection = await self._wire.open(
                endpoint.address, endpoint.group, endpoint.name, REQUEST_US
            )
        return self._connection

    async def status(self) -> MemberStatus | None:
        """The member's status, or None with the reason in `fault`."""
        try:
            return await self.ask("status")
        except Fault as fault:
            self._note(fault)
            return None

    async def pause(self, term: int) -> MemberStatus | None:
        """Keeps a replica from receiving; its status once that is certain, else None."""
        try:
            status = await self.ask("pause", term)
        except Fault as fault:
            self._note(fault)
            return None
        return status if status.paused_term >= term else None

    async def resume(self) -> bool:
        """Lets a paused replica receive again; whether it answered."""
        try:
            await self.ask("resume")
        except Fault as fault:
            self._note(fault)
            return False
        return True

    def _note(self, fault: Fault) -> None:
        self.fault = f"{fault.code} {fault.note}"
        self.is_refused = isinstance(fault, NotSent | MemberReplaced) and fault.note != UNREACHABLE

    def close(self) -> None:
        """Closes the connection; the next request opens another one."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None

"""The coordinator's connection to one member, for STATUS, PAUSE and RESUME requests."""

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

__all__ = ["REQUEST_TIMEOUT_US", "MemberHandle"]

REQUEST_TIMEOUT_US = 600_000
"""Time limit of a connection attempt and of a request, in microseconds."""


class MemberHandle:
    """Sends requests to one member; the first request opens the connection.

    An unanswered request closes the connection, so that a request still in transit is dropped
    instead of taking effect later.

    Attributes:
        name: The member's name.
        last_status: The last status that the member answered, or None.
        fault: Code and note of the last failed request, or an empty string.
        is_refused: Whether it failed because the port is closed or another member answers.
        pending_status: A STATUS request that runs in the background, or None.
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
        """Stores the endpoint; opens no connection."""
        self.name, self._endpoint = endpoint.name, endpoint
        self.last_status: MemberStatus | None = None
        self.fault = ""
        self.is_refused = False
        self.pending_status: asyncio.Task[MemberStatus | None] | None = None
        self._wire, self._clock = wire, clock
        self._connection: Connection | None = None

    def set_endpoint(self, endpoint: MemberEndpoint) -> None:
        """Sets the endpoint of the next connection."""
        self._endpoint = endpoint

    async def request(self, verb: str, *args: int) -> MemberStatus:
        """Sends one request; returns the status that the member answers.

        Raises:
            Fault: The member did not answer within `REQUEST_TIMEOUT_US`, or declined.
        """
        try:
            connection = await self._connect()
            answer = await self._clock.limit(
                connection.send_command(verb, *args), REQUEST_TIMEOUT_US
            )
        except Fault:
            self.close()
            raise
        self.last_status = MemberStatus.from_wire(answer)
        return self.last_status

    async def _connect(self) -> Connection:
        if self._connection is None or self._connection.lost:
            endpoint = self._endpoint
            self._connection = await self._wire.open(
                endpoint.address, endpoint.group, endpoint.name, REQUEST_TIMEOUT_US
            )
        return self._connection

    async def status(self) -> MemberStatus | None:
        """Returns the member's status, or None with the reason in `fault`."""
        try:
            return await self.request("status")
        except Fault as fault:
            self._record_failure(fault)
            return None

    async def pause(self, term: int) -> MemberStatus | None:
        """Stops a replica from receiving the log.

        Returns:
            The replica's status if it confirmed the pause, else None.
        """
        try:
            status = await self.request("pause", term)
        except Fault as fault:
            self._record_failure(fault)
            return None
        return status if status.paused_term >= term else None

    async def resume(self) -> bool:
        """Lets a paused replica receive the log again; returns whether it answered."""
        try:
            await self.request("resume")
        except Fault as fault:
            self._record_failure(fault)
            return False
        return True

    def _record_failure(self, fault: Fault) -> None:
        self.fault = f"{fault.code} {fault.note}"
        self.is_refused = isinstance(fault, NotSent | MemberReplaced) and fault.note != UNREACHABLE

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None

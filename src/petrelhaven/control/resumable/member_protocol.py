"""Status requests to members that speak the product's own protocol.

That protocol has no PAUSE, so control nodes don't fail over groups of such members.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from petrelhaven.control.failover.interfaces import UNREACHABLE
from petrelhaven.runtime.errors import DeadlineExceeded, MemberDeclined, MemberReplaced, NotSent

if TYPE_CHECKING:
    from petrelhaven.runtime.clock import Clock

__all__ = ["MemberWire"]

_STATUS_TIMEOUT_US = 600_000
_REFUSED = "refused"


class _StatusWire(Protocol):
    """Requests members' status, over a new connection each time."""

    async def status(self, address: str, us: int, /) -> dict[str, Any]:
        """Returns the status of the member at an address, within `us` microseconds."""


class _Member:
    """A member at an address; no connection stays open between requests."""

    __slots__ = ("lost", "_wire", "_address", "_name")

    def __init__(self, wire: _StatusWire, address: str, name: str) -> None:
        self._wire, self._address, self._name, self.lost = wire, address, name, False

    async def send_command(self, verb: str, *_args: int) -> dict[str, Any]:
        """Returns the member's status.

        Raises:
            MemberDeclined: The verb is not `status`.
            MemberReplaced: A different member answers at the address.
        """
        if verb != "status":
            raise MemberDeclined(f"the members' protocol has no {verb}")
        answer = await self._wire.status(self._address, _STATUS_TIMEOUT_US)
        if answer.get("member", self._name) != self._name:
            raise MemberReplaced(f"{answer['member']} answers there")
        return {"role": answer["role"], "term": answer["term"], "pos": answer["log"], "held": 0}

    def close(self) -> None:
        """Marks the member as disconnected."""
        self.lost = True


class MemberWire:
    """Opens connections to members for the failover coordinator."""

    def __init__(self, clock: Clock, wire: _StatusWire) -> None:
        """Uses `wire` for status requests."""
        self.clock, self._wire = clock, wire

    async def open(self, addr: str, group: str, member: str, us: int) -> _Member:
        """Returns the member if it answers within `us` microseconds.

        Raises:
            NotSent: The port is closed, or with the note `UNREACHABLE`, there was no response.
            MemberReplaced: A different member answers at the address.
        """
        connection = _Member(self._wire, addr, member)
        try:
            await self.clock.wait_for(connection.send_command("status"), us)
        except DeadlineExceeded:
            raise NotSent(UNREACHABLE) from None
        except NotSent:
            raise NotSent(_REFUSED) from None
        return connection

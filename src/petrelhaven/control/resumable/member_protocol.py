"""Requests to members of the product's own interface, which has no PAUSE: no failover there."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from petrelhaven.control.failover.interfaces import UNREACHABLE
from petrelhaven.runtime.errors import DeadlineExceeded, MemberDeclined, MemberReplaced, NotSent

if TYPE_CHECKING:
    from petrelhaven.runtime.clock import Clock

__all__ = ["MemberWire"]

_STATUS_US = 600_000
_REFUSED = "refused"


class _StatusWire(Protocol):
    """Asks members for their status, each over a connection of its own."""

    async def status(self, address: str, us: int, /) -> dict[str, Any]:
        """The status of the member at an address, within `us` microseconds."""


class _Member:
    """A member under its address; no connection stays open."""

    __slots__ = ("lost", "_wire", "_address", "_name")

    def __init__(self, wire: _StatusWire, address: str, name: str) -> None:
        self._wire, self._address, self._name, self.lost = wire, address, name, False

    async def send_command(self, verb: str, *_args: int) -> dict[str, Any]:
        """The member's status.

        Raises:
            MemberDeclined: The verb is not `status`.
            MemberReplaced: Another member answers at the address.
        """
        if verb != "status":
            raise MemberDeclined(f"members of this interface have no {verb}")
        answer = await self._wire.status(self._address, _STATUS_US)
        if answer.get("member", self._name) != self._name:
            raise MemberReplaced(f"{answer['member']} answers there")
        return {"role": answer["role"], "term": answer["term"], "pos": answer["log"], "held": 0}

    def close(self) -> None:
        """Forgets the member."""
        self.lost = True


class MemberWire:
    """Opens what the failover coordinator asks members over."""

    def __init__(self, clock: Clock, wire: _StatusWire) -> None:
        """Asks members for their status over `wire`."""
        self.clock, self._wire = clock, wire

    async def open(self, addr: str, group: str, member: str, us: int) -> _Member:
        """A member that answers within `us` microseconds.

        Raises:
            NotSent: With the note `UNREACHABLE` if nothing came back, else its port is closed.
            MemberReplaced: Another member answers at the address.
        """
        connection = _Member(self._wire, addr, member)
        try:
            await self.clock.limit(connection.send_command("status"), us)
        except DeadlineExceeded:
            raise NotSent(UNREACHABLE) from None
        except NotSent:
            raise NotSent(_REFUSED) from None
        return connection

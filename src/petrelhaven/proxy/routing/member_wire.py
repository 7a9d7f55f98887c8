"""What a proxy needs of the adapter that speaks its members' protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from petrelhaven.proxy.pool.member_connection import MemberConnection

__all__ = ["MemberWire"]


class MemberWire(Protocol):
    """Opens connections to members."""

    async def open(
        self, address: str, group: str, member: str, limit_us: int, tenant: str = ""
    ) -> MemberConnection:
        """A new connection, for statements of `tenant`; of no tenant if that is empty.

        Raises:
            NotSent: the member refused or did not answer in time.
            MemberReplaced: the member at this address is another one.
            Busy: the member takes no further connection.
        """

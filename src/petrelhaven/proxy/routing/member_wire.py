"""The interface of the adapter that implements the members' protocol."""

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
        """Opens a connection for statements of `tenant` (empty if there are no tenants).

        Raises:
            NotSent: the member refused the connection or did not answer in time.
            MemberReplaced: another member has this address now.
            Busy: the member accepts no further connection.
        """

"""Asks the replicas of a group whether they have a commit that the primary reports as done."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from petrelhaven.proxy.routing.waiting import wait_for_first
from petrelhaven.runtime.errors import Busy

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.position import Position
    from petrelhaven.proxy.routing.interfaces import Continuation, GroupMembers, ProxyServices
    from petrelhaven.proxy.routing.member import Member

__all__ = ["CommitConfirmation"]

_MAX_CONFIRMATION_US = 400_000
_NEAREST_REPLICA_LEAD_US = 40_000
_FIRST_PAUSE_US = 20_000
_DRAINING = "draining"
_UNKNOWN = (0, 0)


class CommitConfirmation:
    """Asks the voting replicas for the commit at one log position.

    One of them is sufficient while the proxy holds a lease. A proxy without one may not know that a
    replica has lost its vote, so every replica that answers must have the commit.
    """

    def __init__(
        self, group: GroupMembers, proxy: ProxyServices, position: Position, primary: str
    ) -> None:
        """Prepares to ask the members of `group` but `primary`, which answered with `position`."""
        self._group, self._proxy, self._clock = group, proxy, proxy.clock
        self._position, self._primary = position, primary
        self._is_one_sufficient = proxy.core_connection.holds_lease
        self._holders: set[str] = set()
        self._lacking: set[str] = set()

    @property
    def _is_confirmed(self) -> bool:
        """Whether no further answer is needed."""
        return self._is_one_sufficient and bool(self._holders)

    def run(self, deadline: int) -> Continuation[bool]:
        """Returns whether enough voting replicas report the position, soon and before `deadline`.

        It asks the nearest replica first and all others a little later.
        """
        deadline = min(deadline, self._clock.now() + _MAX_CONFIRMATION_US)
        unasked = self._voting_replicas()
        pending: set[asyncio.Task[None]] = set()
        while (unasked or pending) and not self._is_confirmed:
            asked, unasked = (unasked, []) if pending else (unasked[:1], unasked[1:])
            pending |= {self._start_asking(member, deadline) for member in asked}
            left_us = deadline - self._clock.now()
            if left_us <= 0:
                break
            wait_us = min(left_us, _NEAREST_REPLICA_LEAD_US) if unasked else left_us
            yield wait_for_first(self._clock, pending, wait_us)
            pending = {task for task in pending if not task.done()}
        return bool(self._holders) and (self._is_one_sufficient or not self._lacking)

    def _voting_replicas(self) -> list[Member]:
        """Returns the replicas that vote: those without failures first, then by distance."""
        replicas = [
            member
            for member in self._group.members.values()
            if member.name != self._primary and member.name not in self._group.without_vote
        ]
        return sorted(
            replicas, key=lambda member: (member.failures > 0, member.distance, member.name)
        )

    def _start_asking(self, member: Member, deadline: int) -> asyncio.Task[None]:
        task = self._proxy.tasks.spawn(self._ask_repeatedly(member, deadline))
        assert task is not None, "the node runs"
        return task

    async def _ask_repeatedly(self, member: Member, deadline: int) -> None:
        """Asks a replica until it has the commit, it fails, enough others have it, or it is late.

        A log of a later term ends this, too: it may lack the last writes of the earlier primary.
        """
        pause_us = _FIRST_PAUSE_US
        while not self._is_confirmed and self._clock.now() < deadline:
            status = await self._fetch_status(member)
            if status is not None and status["held"] and member.state == _DRAINING:
                return
            reported: Position = _UNKNOWN if status is None else status["pos"]
            if reported[0] == self._position[0] and reported >= self._position:
                self._holders.add(member.name)
                self._lacking.discard(member.name)
                return
            self._lacking.add(member.name)
            if reported[0] > self._position[0]:
                return
            await self._clock.sleep(pause_us)
            pause_us *= 2

    async def _fetch_status(self, member: Member) -> dict[str, Any] | None:
        """Returns the replica's status, or None if it is too busy to answer.

        Raises:
            Fault: The replica can't be reached.
        """
        try:
            return await self._group.status(member)
        except Busy:
            return None

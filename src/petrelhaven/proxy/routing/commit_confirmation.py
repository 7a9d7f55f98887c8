"""Asks the replicas of a group whether they have a commit that the primary reports as done."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

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


class CommitConfirmation:
    """Asks the voting replicas for the commit at one log position; one of them is sufficient."""

    def __init__(
        self, group: GroupMembers, proxy: ProxyServices, position: Position, primary: str
    ) -> None:
        """Prepares to ask the members of `group` but `primary`, which answered with `position`."""
        self._group, self._proxy, self._clock = group, proxy, proxy.clock
        self._position, self._primary = position, primary
        self._is_confirmed = False

    def run(self, deadline: int) -> Continuation[bool]:
        """Returns whether a voting replica reports the position, soon and before `deadline`.

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
                return False
            wait_us = min(left_us, _NEAREST_REPLICA_LEAD_US) if unasked else left_us
            yield wait_for_first(self._clock, pending, wait_us)
            pending = {task for task in pending if not task.done()}
        return self._is_confirmed

    def _voting_replicas(self) -> list[Member]:
        """Returns the replicas that vote: those without failures first, then by distance."""
        replicas = [
            member
            for member in self._group.members.values()
            if member.name != self._primary and member.name not in self._group.non_voting
        ]
        return sorted(
            replicas, key=lambda member: (member.failures > 0, member.distance, member.name)
        )

    def _start_asking(self, member: Member, deadline: int) -> asyncio.Task[None]:
        task = self._proxy.tasks.spawn(self._ask_repeatedly(member, deadline))
        assert task is not None, "the node runs"
        return task

    async def _ask_repeatedly(self, member: Member, deadline: int) -> None:
        """Asks a replica until it or another one has the commit, it fails, or it is too late.

        A log of a later term ends this, too: it may lack the last writes of the earlier primary.
        """
        pause_us = _FIRST_PAUSE_US
        while not self._is_confirmed and self._clock.now() < deadline:
            reported = await self._fetch_position(member)
            if reported is not None and reported[0] != self._position[0]:
                return
            if reported is not None and reported >= self._position:
                self._is_confirmed = True
                return
            await self._clock.sleep(pause_us)
            pause_us *= 2

    async def _fetch_position(self, member: Member) -> Position | None:
        """Returns the end of the replica's log, or None if the replica is too busy to answer.

        Raises:
            Fault: The replica can't be reached.
        """
        try:
            position: Position = (await self._group.status(member))["pos"]
        except Busy:
            return None
        return position

"""Asks the replicas of a group whether they have a commit that the primary reports as done."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from petrelhaven.proxy.routing.waiting import wait_for_first
from petrelhaven.runtime.errors import Busy, DeadlineExceeded, Fault, MemberReplaced

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
    """Asks replicas for the commit at one log position.

    While the proxy holds a lease, the commit counts once these have it:

    - one replica that votes, and
    - each member that leads instead of the one that answered, or that may be promoted by a request
      to the platform. The commit could otherwise rest on a member that is unknown to the control
      nodes, or whose pause ended with a restart.

    A proxy without a lease may know of neither: it may have missed that a replica lost its vote, or
    that a leader change has begun. There, every replica must have the commit, but for those that
    have ended as far as it can see: a silent one may be about to lead.

    What is required is looked up at each answer, since it may change while replicas are asked.
    """

    def __init__(
        self, group: GroupMembers, proxy: ProxyServices, position: Position, primary: str
    ) -> None:
        """Prepares to ask the members of `group` but `primary`, which answered with `position`."""
        self._group, self._proxy, self._clock = group, proxy, proxy.clock
        self._position, self._primary = position, primary
        self._asked: set[str] = set()
        self._holders: set[str] = set()
        self._leaving_holders: set[str] = set()
        self._lacking: set[str] = set()

    def run(self, deadline: int) -> Continuation[bool]:
        """Returns whether the commit counts, soon and before `deadline`.

        It asks successors of the primary, else the nearest replica, and the others a little later.
        """
        deadline = min(deadline, self._clock.now() + _MAX_CONFIRMATION_US)
        pending: set[asyncio.Task[None]] = set()
        while not self._is_confirmed:
            unasked = self._unasked_replicas()
            if not unasked and not pending:
                break
            first_count = len(unasked) if pending else max(1, self._count_successors(unasked))
            pending |= {self._start_asking(member, deadline) for member in unasked[:first_count]}
            left_us = deadline - self._clock.now()
            if left_us <= 0:
                break
            has_more = len(unasked) > first_count
            wait_us = min(left_us, _NEAREST_REPLICA_LEAD_US) if has_more else left_us
            try:
                yield wait_for_first(self._clock, pending, wait_us)
            except DeadlineExceeded:
                break
            pending = {task for task in pending if not task.done()}
        return self._counts

    @property
    def _successors(self) -> frozenset[str]:
        """The members that lead or may be promoted in place of the one that answered."""
        leadership = self._group.leadership
        if leadership is None:
            return frozenset()
        return (leadership.pending | {leadership.primary}) - {self._primary}

    @property
    def _counts(self) -> bool:
        """Whether the commit counts, once all have been asked."""
        has_voting_holder = bool(self._holders - self._group.without_vote)
        have_successors = self._successors <= self._holders | self._leaving_holders
        if not (has_voting_holder and have_successors):
            return False
        return self._proxy.core_connection.holds_lease or not self._lacking

    @property
    def _is_confirmed(self) -> bool:
        """Whether the commit counts and no further answer is needed."""
        return self._proxy.core_connection.holds_lease and self._counts

    def _unasked_replicas(self) -> list[Member]:
        """Returns the replicas that count and haven't been asked.

        Successors come first, then members without failures, then the nearest.
        """
        successors, without_vote = self._successors, self._group.without_vote
        replicas = [
            member
            for name, member in self._group.members.items()
            if name not in self._asked
            and name != self._primary
            and (name in successors or name not in without_vote)
        ]
        return sorted(
            replicas,
            key=lambda member: (
                member.name not in successors,
                member.failures > 0,
                member.distance,
                member.name,
            ),
        )

    def _count_successors(self, members: list[Member]) -> int:
        successors = self._successors
        return sum(member.name in successors for member in members)

    def _start_asking(self, member: Member, deadline: int) -> asyncio.Task[None]:
        self._asked.add(member.name)
        task = self._proxy.tasks.spawn(self._ask_repeatedly(member, deadline))
        assert task is not None, "the node runs"
        return task

    async def _ask_repeatedly(self, member: Member, deadline: int) -> None:
        """Asks a replica until it has the commit, it fails, enough others have it, or it is late.

        A log of a later term ends this, too: it may lack the last writes of the earlier primary.
        """
        self._lacking.add(member.name)
        pause_us = _FIRST_PAUSE_US
        while not self._is_confirmed and self._clock.now() < deadline:
            status = await self._fetch_status(member)
            reported: Position = _UNKNOWN if status is None else status["pos"]
            has_commit = reported[0] == self._position[0] and reported >= self._position
            if status is not None and status["held"] and member.state == _DRAINING:
                self._lacking.discard(member.name)
                if has_commit:
                    self._leaving_holders.add(member.name)
                return
            if has_commit:
                self._holders.add(member.name)
                self._lacking.discard(member.name)
                return
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
        except Fault as fault:
            if isinstance(fault, MemberReplaced) or member.refuses_connections:
                self._lacking.discard(member.name)
            raise

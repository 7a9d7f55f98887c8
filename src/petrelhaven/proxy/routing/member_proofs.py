"""Confirms commits and positions with members other than the primary.

This is needed where the primary's answer is missing or is not sufficient.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from petrelhaven.control.state.rows import LeadershipPhase
from petrelhaven.proxy.routing.waiting import wait_for_first
from petrelhaven.runtime.errors import Fault, Unreachable

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.position import Position
    from petrelhaven.proxy.routing.interfaces import Continuation, GroupMembers, ProxyServices
    from petrelhaven.proxy.routing.member import Member

__all__ = ["MemberProofs"]

_FAILOVER = LeadershipPhase.FAILOVER
_MAX_CONFIRMATION_US = 400_000
_NEAREST_REPLICA_LEAD_US = 40_000
_SILENCE_US = 250_000


class MemberProofs:
    """Confirms commits with a replica, and derives positions from all members but the primary."""

    def __init__(self, group: GroupMembers, proxy: ProxyServices) -> None:
        """Uses the members of `group` and the connections of `proxy`."""
        self._group = group
        self._proxy = proxy
        self._clock = proxy.clock

    def needs_replica_confirmation(self, answered: Member, position: Position | None) -> bool:
        """Returns whether a successful commit counts only once a known replica shows it.

        The primary may have waited for a replica that the control nodes don't know; then another
        member could be elected without that replica's log. This is ruled out only if the control
        nodes have recently confirmed that `answered` leads in the term of its answer, and if a
        partition doesn't separate both `answered` and this proxy from the others.
        """
        if self._group.sync_replicas == 0:
            return False
        leadership = self._group.leadership
        if (
            leadership is None
            or leadership.phase is _FAILOVER
            or leadership.primary != answered.name
        ):
            return True
        if position is not None and position[0] < leadership.term:
            return True
        if not self._proxy.remote_contact.is_recent(answered.distance):
            return True
        return not self._proxy.core_connection.lease_confirmed

    def confirm_commit(
        self, position: Position | None, answered: Member, deadline: int
    ) -> Continuation[bool]:
        """Returns whether a known replica reports `position` in STATUS, soon and before `deadline`.

        It asks the nearest replica first and all others a little later; one replica is sufficient.
        A log of a later term does not count: it may lack the last writes of the earlier primary.
        """
        deadline = min(deadline, self._clock.now() + _MAX_CONFIRMATION_US)
        if position is None or self._proxy.tasks.closed:
            return False
        unasked = self._replicas_by_distance(answered)
        pending: set[asyncio.Task[dict[str, Any]]] = set()
        while unasked or pending:
            asked, unasked = (unasked, []) if pending else (unasked[:1], unasked[1:])
            pending |= {self._request_status(member) for member in asked}
            left_us = deadline - self._clock.now()
            if left_us <= 0:
                return False
            wait_us = min(left_us, _NEAREST_REPLICA_LEAD_US) if unasked else left_us
            yield wait_for_first(self._clock, pending, wait_us)
            done = {task for task in pending if task.done()}
            pending -= done
            if any(_shows(task, position) for task in done):
                return True
        return False

    def _request_status(self, member: Member) -> asyncio.Task[dict[str, Any]]:
        task = self._proxy.tasks.spawn(self._group.status(member))
        assert task is not None, "the node runs"
        return task

    def _replicas_by_distance(self, primary: Member) -> list[Member]:
        """Returns all members but `primary`: those without failures first, then by distance."""
        replicas = [
            member for member in self._group.members.values() if member.name != primary.name
        ]
        return sorted(
            replicas, key=lambda member: (member.failures > 0, member.distance, member.name)
        )

    async def position_from_others(self, primary: str) -> Position:
        """Returns a position that covers every acknowledged commit, from all but the primary.

        A commit is acknowledged only once a replica has it (`sync_replicas`). So the highest
        position among all members but one covers every acknowledged commit, whichever member leads.

        Raises:
            Unreachable: not all others answered, or their positions prove nothing.
        """
        await self._wait_for_silence(self._group.members.get(primary))
        others = [member for name, member in self._group.members.items() if name != primary]
        if not self._are_sufficient(others):
            raise Unreachable("no primary to ask")
        answers = await asyncio.gather(
            *[self._group.status(member) for member in others], return_exceptions=True
        )
        positions: list[Position] = []
        for answer in answers:
            if isinstance(answer, BaseException):
                is_fault = isinstance(answer, Fault)
                raise answer if is_fault else Unreachable("not all others answered")
            positions.append(answer["pos"])
        for member, position in zip(others, positions, strict=True):
            member.note_log(position)
        highest = max(positions)
        if highest < self._group.lower_bound:
            raise Unreachable("a member that left had more")
        self._proxy.count["fetched_others"] += 1
        return highest

    def _are_sufficient(self, others: list[Member]) -> bool:
        """Returns whether `others` are all members but one, which is certain only under a lease."""
        sync_replicas = self._group.sync_replicas
        required = max(sync_replicas + 1, self._group.largest_size - 1)
        return (
            sync_replicas > 0
            and len(others) >= required
            and self._proxy.core_connection.holds_lease
        )

    def is_unresponsive(self, member: Member) -> bool:
        """Returns whether a request would be futile: connections are refused or unanswered.

        A member that reset a connection is still asked: it is running, and its own answer is the
        fastest way to a position.
        """
        now = self._clock.now()
        if member.avoided_until <= now:
            return False
        unanswered = 0 < member.unanswered_since <= now - _SILENCE_US
        return member.refuses_connections or (
            unanswered and member.last_answer_at < member.unanswered_since
        )

    async def _wait_for_silence(self, primary: Member | None) -> None:
        """Waits until the primary has been silent for so long that no proxy trusts it alone.

        A proxy that is in the same partition as the primary accepts its answers, without a
        replica's confirmation, for a short time after the partition begins. Until that time is
        over, the positions of the other members prove nothing. Any answer of the primary since the
        start of this call shows that it was not partitioned off at that time.
        """
        if primary is None or primary.refuses_connections:
            return
        started_at = self._clock.now()
        if not primary.unanswered_since:
            self._proxy.tasks.spawn(self._request_status_ignoring_faults(primary))
        unanswered_since = primary.unanswered_since or started_at
        if started_at - unanswered_since < _SILENCE_US:
            await self._clock.sleep(unanswered_since + _SILENCE_US - started_at)
        if unanswered_since <= primary.last_answer_at < started_at:
            raise Unreachable("the primary answered a moment ago")

    async def _request_status_ignoring_faults(self, member: Member) -> None:
        with contextlib.suppress(Fault):
            await self._group.status(member)


def _shows(task: asyncio.Task[dict[str, Any]], position: Position) -> bool:
    """Returns whether a finished STATUS request shows `position` in a log of the same term."""
    if task.cancelled() or task.exception() is not None:
        return False
    reported: Position = task.result()["pos"]
    return reported[0] == position[0] and reported >= position

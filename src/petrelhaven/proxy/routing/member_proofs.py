"""Confirms commits and positions with members other than the primary.

This is needed where the primary's answer is missing or is not sufficient.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from petrelhaven.control.state.rows import LeadershipPhase
from petrelhaven.proxy.routing.commit_confirmation import CommitConfirmation
from petrelhaven.runtime.errors import Fault, Unreachable

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.position import Position
    from petrelhaven.proxy.routing.interfaces import Continuation, GroupMembers, ProxyServices
    from petrelhaven.proxy.routing.member import Member

__all__ = ["MemberProofs"]

_FAILOVER = LeadershipPhase.FAILOVER
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

        While the group has a lost replica without a vote, the primary may have waited for that
        one, whose log an election does not need. While a member may be promoted, the primary may
        have waited for another one.
        """
        if self._group.sync_replicas == 0:
            return False
        if self._group.without_vote:
            return True
        leadership = self._group.leadership
        if (
            leadership is None
            or leadership.phase is _FAILOVER
            or leadership.primary != answered.name
            or leadership.pending
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
        """Returns whether enough replicas have the commit at `position`, before `deadline`."""
        if position is None or self._proxy.tasks.closed:
            return False
        confirmation = CommitConfirmation(self._group, self._proxy, position, answered.name)
        return (yield from confirmation.run(deadline))

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

"""What the known members of a group prove where the primary's answer is missing or not enough."""

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
_COMMIT_US = 400_000
_NEAREST_US = 40_000
_SILENT_US = 250_000


class MemberProofs:
    """Proves commits by a replica, and positions by all members but the primary."""

    def __init__(self, group: GroupMembers, proxy: ProxyServices) -> None:
        """Uses the members of `group` and the contacts of `proxy`."""
        self._group = group
        self._proxy = proxy
        self._clock = proxy.clock

    def needs_replica_confirmation(self, answered: Member, position: Position | None) -> bool:
        """Whether a commit's success counts only once a replica known here shows it.

        A replica that control does not know of may have been the one that the primary waited for,
        and another member may be elected without its log. That is ruled out only while control has
        confirmed a moment ago that `answered` is in office, in the term of its answer, and while
        its place and this proxy's are not cut off together.
        """
        if self._group.sync_replicas == 0:
            return False
        now = self._group.leadership
        if now is None or now.phase is _FAILOVER or now.primary != answered.name:
            return True
        if position is not None and position[0] < now.term:
            return True
        if not self._proxy.remote_contact.is_recent(answered.distance):
            return True
        return not self._proxy.core_connection.lease_confirmed

    def confirm_commit(
        self, position: Position | None, answered: Member, end: int
    ) -> Continuation[bool]:
        """Whether a known replica shows `position` by STATUS within a short bound or by `deadline`.

        The nearest is asked first, all others a little later; the first that shows it is enough. A
        log of a later term does not show it: what an earlier primary wrote last may lack there.
        """
        end = min(end, self._clock.now() + _COMMIT_US)
        if position is None or self._proxy.tasks.shut:
            return False
        unasked = self._replicas_by_distance(answered)
        pending: set[asyncio.Task[dict[str, Any]]] = set()
        while unasked or pending:
            asked, unasked = (unasked, []) if pending else (unasked[:1], unasked[1:])
            pending |= {self._ask(member) for member in asked}
            left_us = end - self._clock.now()
            if left_us <= 0:
                return False
            wait_us = min(left_us, _NEAREST_US) if unasked else left_us
            yield wait_for_first(self._clock, pending, wait_us)
            done = {task for task in pending if task.done()}
            pending -= done
            if any(_shows(task, position) for task in done):
                return True
        return False

    def _ask(self, member: Member) -> asyncio.Task[dict[str, Any]]:
        task = self._proxy.tasks.spawn(self._group.status(member))
        assert task is not None, "the node runs"
        return task

    def _replicas_by_distance(self, primary: Member) -> list[Member]:
        """All members but `primary`: those that answer first, then the nearest."""
        replicas = [m for m in self._group.members.values() if m.name != primary.name]
        return sorted(replicas, key=lambda m: (m.failures > 0, m.distance, m.name))

    async def position_from_others(self, primary: str) -> Position:
        """A position that holds every acknowledged commit, from all members but the primary.

        A commit is acknowledged once a replica has it (`sync_replicas`), so the highest log of all
        members but one holds every acknowledged commit, whoever of them leads.

        Raises:
            Unreachable: not all others answered, or what they hold proves nothing.
        """
        await self._silence_of(self._group.members.get(primary))
        others = [member for name, member in self._group.members.items() if name != primary]
        if not self._are_enough(others):
            raise Unreachable("no primary to ask")
        answers = await asyncio.gather(
            *[self._group.status(member) for member in others], return_exceptions=True
        )
        positions: list[Position] = []
        for answer in answers:
            if isinstance(answer, BaseException):
                is_typed = isinstance(answer, Fault)
                raise answer if is_typed else Unreachable("not all others answered")
            positions.append(answer["pos"])
        for member, position in zip(others, positions, strict=True):
            member.note_log(position)
        highest = max(positions)
        if highest < self._group.lower_bound:
            raise Unreachable("a member that left had more")
        self._proxy.count["fetched_others"] += 1
        return highest

    def _are_enough(self, others: list[Member]) -> bool:
        """Whether `others` are all members but one, as a proxy knows only under a lease."""
        sync_replicas = self._group.sync_replicas
        fewest = max(sync_replicas + 1, self._group.largest_size - 1)
        return (
            sync_replicas > 0 and len(others) >= fewest and self._proxy.core_connection.holds_lease
        )

    def is_unresponsive(self, member: Member) -> bool:
        """Whether asking the member is in vain: nobody is there, or it has not answered for long.

        One that reset a connection is asked again: it is there, and its own answer is the quickest.
        """
        now = self._clock.now()
        if member.avoided_until <= now:
            return False
        unanswered = 0 < member.unanswered_since <= now - _SILENT_US
        return member.refuses_connections or (
            unanswered and member.last_answer_at < member.unanswered_since
        )

    async def _silence_of(self, primary: Member | None) -> None:
        """Waits until the primary has been silent so long that no proxy trusts it without proof.

        A proxy that is cut off together with it passes on its answers, without the proof by a known
        replica, for a moment after the cut; what the other members hold proves nothing until then.
        Any answer of it since this call began shows that it was not cut off then.
        """
        if primary is None or primary.refuses_connections:
            return
        began = self._clock.now()
        if not primary.unanswered_since:
            self._proxy.tasks.spawn(self._ask_quietly(primary))
        unanswered_since = primary.unanswered_since or began
        if began - unanswered_since < _SILENT_US:
            await self._clock.sleep(unanswered_since + _SILENT_US - began)
        if unanswered_since <= primary.last_answer_at < began:
            raise Unreachable("the primary answered a moment ago")

    async def _ask_quietly(self, member: Member) -> None:
        with contextlib.suppress(Fault):
            await self._group.status(member)


def _shows(task: asyncio.Task[dict[str, Any]], position: Position) -> bool:
    """Whether a finished STATUS shows `position` in a log of its own term."""
    if task.cancelled() or task.exception() is not None:
        return False
    shown: Position = task.result()["pos"]
    return shown[0] == position[0] and shown >= position

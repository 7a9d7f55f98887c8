"""A planned leader change: the old primary serves until a candidate has its whole log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.control.failover.change_steps import ChangeStep, GiveBack, Promote, Wait
from petrelhaven.control.failover.wait_reasons import (
    NO_CANDIDATE,
    PAUSE_FAILED,
    PAUSE_LOST,
    catching_up,
    departed_inspected,
    not_heard,
)

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext
    from petrelhaven.control.failover.evidence import MemberStatus
    from petrelhaven.control.failover.group_members import GroupMembers, GroupSurvey
    from petrelhaven.control.failover.member_access import MemberHandle
    from petrelhaven.control.failover.promotion import PromotionRequests

__all__ = ["Switchover"]

_CATCH_UP_US = 1_500_000
_CATCH_UP_CHECK_US = 20_000


class Switchover:
    """Prepares the promotion of a candidate while the old primary serves."""

    def __init__(
        self,
        context: FailoverContext,
        group: str,
        old_primary: str,
        members: GroupMembers,
        requests: PromotionRequests,
    ) -> None:
        """Works for one leader change: its members and requests."""
        self._context, self._group, self._old_primary = context, group, old_primary
        self._members, self._requests = members, requests

    async def prepare(self, survey: GroupSurvey) -> ChangeStep:
        """Only the candidate goes on receiving, until it has what the primary has.

        A member that is counted out must answer too: while the primary serves, a restart would end
        its pause and let it receive.
        """
        obstacle = self._obstacle(survey)
        if obstacle is not None:
            return obstacle
        candidate = self._choose_candidate(survey.statuses)
        if candidate is None:
            return Wait(NO_CANDIDATE)
        if self._requests.pending_besides(candidate.name):
            return GiveBack("another member may still be promoted")
        others = [handle for handle in survey.responsive if handle is not candidate]
        obstacle = await self._isolate(candidate, others, survey.next_term)
        if obstacle is not None:
            return obstacle
        await self._requests.announce(candidate.name)
        await self._context.node.lease_table.wait_in_force(self._requests.change_number)
        if not await self._is_confirmed(candidate, others, survey):
            return Wait(PAUSE_LOST)
        return Promote(candidate)

    def _obstacle(self, survey: GroupSurvey) -> Wait | None:
        """Members that must answer, or be bounded, before anything is done."""
        unresponsive = survey.unresponsive(spared=())
        if unresponsive or not survey.statuses:
            return Wait(not_heard(unresponsive))
        departed = self._context.evidence(self._group).unproven_except(self._old_primary)
        return Wait(departed_inspected(departed)) if departed else None

    async def _isolate(
        self, candidate: MemberHandle, others: list[MemberHandle], term: int
    ) -> Wait | None:
        """Pauses all but the candidate, and has it catch up; None once it has."""
        if not await self._let_receive(candidate):
            return Wait()
        if not await self._members.pause(others, term):
            return Wait(PAUSE_FAILED)
        if not await self._catches_up(candidate):
            return Wait(catching_up(candidate.name, self._old_primary))
        return None

    def _choose_candidate(self, statuses: dict[str, MemberStatus]) -> MemberHandle | None:
        """Of those that stay: one requested before, one that receives, the highest log."""
        staying = set(self._context.staying_replicas(self._group, self._old_primary))
        names = [name for name in statuses if name in staying]
        names = [name for name in names if name in self._requests.requested] or names
        names = [name for name in names if not statuses[name].paused_term] or names
        if not names:
            return None
        return self._members.handles[max(names, key=lambda name: (statuses[name].position, name))]

    async def _let_receive(self, candidate: MemberHandle) -> bool:
        """Whether the candidate answers and is not paused."""
        async with self._context.pause_lock(self._group):
            self._context.candidates[self._group] = candidate.name
            status = await candidate.status()
            if status is None:
                return False
            return not status.paused_term or await candidate.resume()

    async def _catches_up(self, candidate: MemberHandle) -> bool:
        """Whether the candidate holds all that the primary had after the others were paused."""
        primary = await self._members.handles[self._old_primary].status()
        if primary is None or not primary.is_primary:
            return False
        clock = self._context.clock
        end = clock.now() + _CATCH_UP_US
        while clock.now() < end:
            status = await candidate.status()
            if status is None:
                return False
            if status.position >= primary.position:
                return True
            await clock.sleep(_CATCH_UP_CHECK_US)
        return False

    async def _is_confirmed(
        self, candidate: MemberHandle, others: list[MemberHandle], survey: GroupSurvey
    ) -> bool:
        """Whether only the candidate receives and it stays, as before the wait for the proxies."""
        status = await candidate.status()
        if status is None or status.paused_term or self._members.have_changed(survey.replicas):
            return False
        if candidate.name not in self._context.staying_replicas(self._group, self._old_primary):
            return False
        return await self._members.paused_statuses(others, survey.next_term) is not None

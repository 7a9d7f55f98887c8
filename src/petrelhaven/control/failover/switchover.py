"""The planned leader change: the old primary serves until a candidate has its complete log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.control.failover.attempt_outcome import (
    AttemptOutcome,
    KeepOldPrimary,
    Promote,
    Wait,
)
from petrelhaven.control.failover.wait_reasons import (
    NO_CANDIDATE,
    PAUSE_FAILED,
    PAUSE_LOST,
    catching_up,
    departed_logs_unbounded,
    unresponsive_members,
)

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext
    from petrelhaven.control.failover.evidence import MemberStatus
    from petrelhaven.control.failover.group_members import GroupMembers, GroupSurvey
    from petrelhaven.control.failover.member_access import MemberHandle
    from petrelhaven.control.failover.promotion import PromotionRequests

__all__ = ["Switchover"]

_CATCH_UP_TIMEOUT_US = 1_500_000
_CATCH_UP_POLL_US = 20_000


class Switchover:
    """Prepares the promotion of a candidate while the old primary still serves."""

    def __init__(
        self,
        context: FailoverContext,
        group: str,
        old_primary: str,
        members: GroupMembers,
        requests: PromotionRequests,
    ) -> None:
        """Uses the members and promotion requests of one leader change."""
        self._context, self._group, self._old_primary = context, group, old_primary
        self._members, self._requests = members, requests

    async def prepare(self, survey: GroupSurvey) -> AttemptOutcome:
        """Pauses all replicas but the candidate and waits until it has the primary's log.

        Counted out members must answer as well: while the primary serves, a restart would end their
        pause and let them receive.
        """
        obstacle = self._find_obstacle(survey)
        if obstacle is not None:
            return obstacle
        candidate = self._choose_candidate(survey.statuses)
        if candidate is None:
            return Wait(NO_CANDIDATE)
        if self._requests.has_pending_except(candidate.name):
            return KeepOldPrimary("another member may still be promoted")
        others = [handle for handle in survey.responsive if handle is not candidate]
        obstacle = await self._pause_all_except(candidate, others, survey.next_term)
        if obstacle is not None:
            return obstacle
        number = await self._requests.record_candidate(candidate.name)
        await self._context.node.lease_table.wait_in_force(number)
        obstacle = await self._confirm_candidate(candidate, others, survey)
        return Promote(candidate) if obstacle is None else obstacle

    def _find_obstacle(self, survey: GroupSurvey) -> Wait | None:
        """Returns a wait for members without an answer or departed ones without a bound."""
        unresponsive = survey.unresponsive(excused=())
        if unresponsive or not survey.statuses:
            return Wait(unresponsive_members(unresponsive))
        departed = self._context.evidence(self._group).unproven_except(self._old_primary)
        return Wait(departed_logs_unbounded(departed)) if departed else None

    async def _pause_all_except(
        self, candidate: MemberHandle, others: list[MemberHandle], term: int
    ) -> Wait | None:
        """Pauses the other replicas and waits until the candidate has caught up.

        Returns:
            Why another attempt is needed, or None once the candidate has caught up.
        """
        if not await self._ensure_receiving(candidate):
            return Wait()
        if not await self._members.pause(others, term):
            return Wait(PAUSE_FAILED)
        if not await self._wait_for_catch_up(candidate):
            return Wait(catching_up(candidate.name, self._old_primary))
        return None

    def _choose_candidate(self, statuses: dict[str, MemberStatus]) -> MemberHandle | None:
        """Chooses an eligible member, or None.

        Preferred are, in this order, members that were requested before, those that vote, those
        that are not paused, and the highest log. While only a member without a vote receives,
        proxies acknowledge no commit.
        """
        non_voting = self._context.evidence(self._group).non_voting
        eligible = set(self._context.eligible_replicas(self._group, self._old_primary))
        names = [name for name in statuses if name in eligible]
        names = [name for name in names if name in self._requests.requested] or names
        names = [name for name in names if name not in non_voting] or names
        names = [name for name in names if not statuses[name].paused_term] or names
        if not names:
            return None
        return self._members.handles[max(names, key=lambda name: (statuses[name].position, name))]

    async def _ensure_receiving(self, candidate: MemberHandle) -> bool:
        """Resumes the candidate if it is paused; returns whether it receives."""
        async with self._context.pause_lock(self._group):
            self._context.candidates[self._group] = candidate.name
            status = await candidate.status()
            if status is None:
                return False
            return not status.paused_term or await candidate.resume()

    async def _wait_for_catch_up(self, candidate: MemberHandle) -> bool:
        """Waits until the candidate has reached the primary's position; returns whether it did."""
        primary = await self._members.handles[self._old_primary].status()
        if primary is None or not primary.is_primary:
            return False
        clock = self._context.clock
        deadline = clock.now() + _CATCH_UP_TIMEOUT_US
        while clock.now() < deadline:
            status = await candidate.status()
            if status is None:
                return False
            if status.position >= primary.position:
                return True
            await clock.sleep(_CATCH_UP_POLL_US)
        return False

    async def _confirm_candidate(
        self, candidate: MemberHandle, others: list[MemberHandle], survey: GroupSurvey
    ) -> Wait | None:
        """Checks that the candidate has every acknowledged commit and may still be promoted.

        The record that names it is in force. Until then, a commit may have been acknowledged
        because of a member that isn't recorded yet or that has restarted; the primary's position
        covers these. From now on, the proxies acknowledge no commit that the candidate lacks.

        Returns:
            Why another attempt is needed, or None.
        """
        if not await self._wait_for_catch_up(candidate):
            return Wait(catching_up(candidate.name, self._old_primary))
        if not await self._is_confirmed(candidate, others, survey):
            return Wait(PAUSE_LOST)
        return None

    async def _is_confirmed(
        self, candidate: MemberHandle, others: list[MemberHandle], survey: GroupSurvey
    ) -> bool:
        """Checks after the wait for the proxies that only the candidate receives and it stays."""
        status = await candidate.status()
        if (
            status is None
            or status.paused_term
            or self._members.has_membership_changed(survey.replicas)
        ):
            return False
        if candidate.name not in self._context.eligible_replicas(self._group, self._old_primary):
            return False
        return await self._members.paused_statuses(others, survey.next_term) is not None

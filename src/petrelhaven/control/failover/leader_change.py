"""One leader change of a group: records it, promotes a candidate and records the new primary."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.control.failover.attempt_outcome import (
    AttemptOutcome,
    KeepOldPrimary,
    Promote,
    Wait,
)
from petrelhaven.control.failover.failover import Failover
from petrelhaven.control.failover.group_members import GroupMembers, GroupSurvey
from petrelhaven.control.failover.group_state import NewLeadership
from petrelhaven.control.failover.promotion import PromotionRequests
from petrelhaven.control.failover.switchover import Switchover
from petrelhaven.control.state.rows import LeadershipPhase
from petrelhaven.runtime.errors import NotHead
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext
    from petrelhaven.control.failover.member_access import MemberHandle
    from petrelhaven.control.failover.resumption import ReplicaResumption

__all__ = ["LeaderChange"]

_ATTEMPT_INTERVAL_US = 60_000
_SWITCHOVER_TIMEOUT_US = 9_000_000
_FAILOVER_STUCK_AFTER_US = 900_000
_SWITCHOVER_STUCK_AFTER_US = 7_000_000
_KEEP_OLD_PRIMARY_AFTER_US = 1_500_000
_PROMOTION_POLL_US = 40_000
_INSPECTION_PAUSE_AFTER_CHANGE_US = 1_000_000


class LeaderChange:
    """Promotes a member that provably holds every acknowledged commit, or none.

    Attributes:
        group: The group's name.
        old_primary: The primary at the start of the change.
    """

    def __init__(
        self,
        context: FailoverContext,
        resumption: ReplicaResumption,
        group: str,
        planned: bool,
        cause: str,
    ) -> None:
        """Prepares the change, which starts with `run`; `planned` makes it a switchover."""
        self.group = group
        self._context, self._resumption = context, resumption
        self._clock, self._log, self._cause = context.clock, context.log, cause
        leadership = context.leadership(group)
        self.old_primary, self._old_term = leadership.primary, leadership.term
        self._requests = PromotionRequests(context, group, planned)
        self._members = GroupMembers(context, group, self.old_primary)
        arguments = (context, group, self.old_primary, self._members, self._requests)
        self._switchover, self._failover = Switchover(*arguments), Failover(*arguments)
        self._old_primary_back_since: int | None = None

    async def run(self) -> None:
        """Repeats attempts until a primary serves or this node is no longer the active head."""
        started_at = self._clock.now()
        await self._requests.record_start(self._cause)
        try:
            while self._context.is_active_head:
                self._members.refresh()
                if await self._attempt() or await self._check_time_limits(started_at):
                    return
                await self._clock.sleep(_ATTEMPT_INTERVAL_US)
        finally:
            self._members.close()

    async def _check_time_limits(self, started_at: int) -> bool:
        """Handles time limits after a failed attempt.

        Returns:
            Whether a switchover was cancelled because it took too long.
        """
        elapsed_us = self._clock.now() - started_at
        await self._record_stuck_change(elapsed_us)
        if self._requests.planned and self.old_primary not in self._members.handles:
            self._requests.planned = False
        if self._requests.planned and self._clock.now() - started_at > _SWITCHOVER_TIMEOUT_US:
            return await self._keep_old_primary("the planned move found no candidate in time")
        return False

    async def _record_stuck_change(self, elapsed_us: int) -> None:
        """Records that the change is stuck once it takes too long; proxies then reject writes."""
        reason = self._context.wait_reasons.get(self.group)
        limit_us = (
            _SWITCHOVER_STUCK_AFTER_US if self._requests.planned else _FAILOVER_STUCK_AFTER_US
        )
        if reason and not self._requests.stuck and elapsed_us > limit_us:
            await self._requests.record_stuck(reason)

    async def _attempt(self) -> bool:
        """Makes one attempt; returns whether a primary is recorded."""
        survey = await self._members.survey(wait_for_old_primary=self._requests.planned)
        if not self._requests.planned and self._should_keep_old_primary(survey):
            return await self._keep_old_primary("the primary answers again")
        if survey.promoted_replica is not None:
            return await self._record_promoted_primary(
                self._members.handles[survey.promoted_replica]
            )
        if self._requests.planned and survey.is_old_primary_leading:
            outcome = await self._switchover.prepare(survey)
        else:
            outcome = await self._failover.prepare(survey)
        return await self._apply_outcome(outcome, survey.next_term)

    async def _apply_outcome(self, outcome: AttemptOutcome, term: int) -> bool:
        """Carries out the outcome of an attempt; returns whether a primary is recorded."""
        if isinstance(outcome, Promote):
            return await self._promote(outcome.candidate, term, outcome.accepted_loss)
        if isinstance(outcome, KeepOldPrimary):
            return await self._keep_old_primary(outcome.cause)
        self._note_wait_reason(outcome)
        return False

    def _note_wait_reason(self, outcome: Wait) -> None:
        if outcome.reason is not None:
            self._context.note_wait_reason(self.group, outcome.reason)

    def _should_keep_old_primary(self, survey: GroupSurvey) -> bool:
        """Returns whether the old primary leads and the change should be cancelled.

        After a promotion request, cancelling is slow, since the request has to be fenced. It is
        then done only if the change makes no progress for a while.
        """
        if not survey.is_old_primary_leading:
            self._old_primary_back_since = None
            return False
        now = self._clock.now()
        if self._old_primary_back_since is None:
            self._old_primary_back_since = now
        return (
            not self._requests.requested
            or now - self._old_primary_back_since > _KEEP_OLD_PRIMARY_AFTER_US
        )

    async def _promote(self, candidate: MemberHandle, term: int, accepted_loss: str = "") -> bool:
        """Requests the promotion and waits for it; returns whether the candidate is recorded."""
        if not self._context.is_active_head:
            raise NotHead("not the active head any more")
        position = candidate.last_status.position if candidate.last_status else None
        emit(
            self._log,
            Events.CANDIDATE_CHOSEN,
            group=self.group,
            candidate=candidate.name,
            pos=position,
        )
        deadline = self._clock.now() + await self._requests.request_promotion(candidate.name)
        while self._clock.now() < deadline:
            if await _is_primary(candidate):
                return await self._record_promoted_primary(candidate, accepted_loss)
            await self._members.pause_joined_members(term)
            await self._clock.sleep(_PROMOTION_POLL_US)
        return False

    async def _record_promoted_primary(
        self, candidate: MemberHandle, accepted_loss: str = ""
    ) -> bool:
        """Records the new primary once no other member can be promoted; returns whether it did."""
        if self._requests.has_pending_except(candidate.name):
            await self._requests.fence_pending_requests(candidate.name)
            if not await _is_primary(candidate):
                return False
        status = candidate.last_status
        if status is None:
            return False
        record = NewLeadership(
            phase=LeadershipPhase.SERVING,
            primary=candidate.name,
            term=status.term,
            cause=f"elected after {self.old_primary}",
            position=status.position,
            accepted_loss=accepted_loss,
        )
        await self._context.record_leadership(self.group, record)
        emit(
            self._log,
            Events.PRIMARY_PROMOTED,
            group=self.group,
            primary=candidate.name,
            term=status.term,
        )
        self._context.clear_change(self.group)
        self._context.suspicions.postpone_inspection(self.group, _INSPECTION_PAUSE_AFTER_CHANGE_US)
        self._context.suspicions.remove_primary(self.group)
        await self._resume_others(candidate.name)
        return True

    async def _keep_old_primary(self, cause: str) -> bool:
        """Cancels the change if the old primary still leads once no other member can be promoted.

        Returns:
            Whether the old primary is recorded as serving.
        """
        if self._requests.requested:
            await self._members.pause_all()
            await self._requests.fence_pending_requests(self.old_primary)
            if not await _is_primary(self._members.handles[self.old_primary]):
                return False
        record = NewLeadership(LeadershipPhase.SERVING, self.old_primary, self._old_term, cause)
        await self._context.record_leadership(self.group, record)
        self._context.clear_change(self.group)
        self._context.suspicions.postpone_inspection(self.group)
        await self._resume_others(self.old_primary)
        return True

    async def _resume_others(self, primary: str) -> None:
        others = {name for name in self._members.handles if name != primary}
        await self._resumption.resume_all(self.group, others, self._members.handles)


async def _is_primary(handle: MemberHandle) -> bool:
    """Returns whether a member answers that it is a primary."""
    status = await handle.status()
    return status is not None and status.is_primary

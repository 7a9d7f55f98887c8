"""One leader change of a group: record it, confirm a candidate, promote it, record that."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.control.failover.change_steps import ChangeStep, GiveBack, Promote, Wait
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
_SWITCHOVER_US = 9_000_000
_FAILOVER_STUCK_US = 900_000
_SWITCHOVER_STUCK_US = 7_000_000
_CARRY_ON_US = 1_500_000
_PROMOTION_CHECK_US = 40_000
_NEXT_CHANGE_US = 1_000_000


class LeaderChange:
    """Promotes a member that provably has every acknowledged commit, or nobody.

    Attributes:
        group: The group's name.
        old_primary: The primary when the change began.
    """

    def __init__(
        self,
        context: FailoverContext,
        resumption: ReplicaResumption,
        group: str,
        planned: bool,
        cause: str,
    ) -> None:
        """Records nothing before `run`; `planned` makes it a switchover."""
        self.group = group
        self._context, self._resumption = context, resumption
        self._clock, self._log, self._cause = context.clock, context.log, cause
        leadership = context.leadership(group)
        self.old_primary, self._old_term = leadership.primary, leadership.term
        self._requests = PromotionRequests(context, group, planned)
        self._members = GroupMembers(context, group, self.old_primary)
        parts = (context, group, self.old_primary, self._members, self._requests)
        self._switchover, self._failover = Switchover(*parts), Failover(*parts)
        self._old_primary_back_since: int | None = None

    async def run(self) -> None:
        """Tries until a primary serves, or this node is not the active head any more."""
        began = self._clock.now()
        await self._requests.begin(self._cause)
        try:
            while self._context.is_active_head:
                self._members.refresh()
                if await self._attempt() or await self._check_time(began):
                    return
                await self._clock.sleep(_ATTEMPT_INTERVAL_US)
        finally:
            self._members.close()

    async def _check_time(self, began: int) -> bool:
        """After a failed attempt; whether a switchover that takes too long was given back."""
        elapsed_us = self._clock.now() - began
        await self._mark_stuck(elapsed_us)
        if self._requests.planned and self.old_primary not in self._members.handles:
            self._requests.planned = False
        if self._requests.planned and self._clock.now() - began > _SWITCHOVER_US:
            return await self._give_back("the planned move found no candidate in time")
        return False

    async def _mark_stuck(self, elapsed_us: int) -> None:
        """Has proxies tell writers when to come back, once nobody serves and nothing is near."""
        reason = self._context.wait_reasons.get(self.group)
        bound_us = _SWITCHOVER_STUCK_US if self._requests.planned else _FAILOVER_STUCK_US
        if reason and not self._requests.stuck and elapsed_us > bound_us:
            await self._requests.mark_stuck(reason)

    async def _attempt(self) -> bool:
        """One attempt; true once a primary is recorded."""
        survey = await self._members.survey(patient=self._requests.planned)
        if not self._requests.planned and self._should_give_back(survey):
            return await self._give_back("the primary answers again")
        if survey.promoted is not None:
            return await self._settle(self._members.handles[survey.promoted])
        if self._requests.planned and survey.old_primary_leads:
            step = await self._switchover.prepare(survey)
        else:
            step = await self._failover.prepare(survey)
        return await self._take(step, survey.next_term)

    async def _take(self, step: ChangeStep, term: int) -> bool:
        """Does what an attempt has come to; true once a primary is recorded."""
        if isinstance(step, Promote):
            return await self._promote(step.candidate, term, step.accepted_loss)
        if isinstance(step, GiveBack):
            return await self._give_back(step.cause)
        self._note_wait(step)
        return False

    def _note_wait(self, step: Wait) -> None:
        if step.reason is not None:
            self._context.wait(self.group, step.reason)

    def _should_give_back(self, survey: GroupSurvey) -> bool:
        """Whether the old primary leads and is better left in place than replaced.

        Once the platform was requested, giving back takes longer: it is done only if the change
        makes no progress.
        """
        if not survey.old_primary_leads:
            self._old_primary_back_since = None
            return False
        now = self._clock.now()
        if self._old_primary_back_since is None:
            self._old_primary_back_since = now
        return not self._requests.requested or now - self._old_primary_back_since > _CARRY_ON_US

    async def _promote(self, candidate: MemberHandle, term: int, accepted_loss: str = "") -> bool:
        """Requests the promotion and waits until it shows; whether the candidate is recorded."""
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
        end = self._clock.now() + await self._requests.send(candidate.name)
        while self._clock.now() < end:
            if await _is_primary(candidate):
                return await self._settle(candidate, accepted_loss)
            await self._members.pause_newcomers(term)
            await self._clock.sleep(_PROMOTION_CHECK_US)
        return False

    async def _settle(self, candidate: MemberHandle, accepted_loss: str = "") -> bool:
        """Records the new primary, once nobody else can be promoted; whether that is so."""
        if self._requests.pending_besides(candidate.name):
            await self._requests.fence_off(candidate.name)
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
        await self._context.enter_leadership(self.group, record)
        emit(
            self._log,
            Events.PRIMARY_PROMOTED,
            group=self.group,
            primary=candidate.name,
            term=status.term,
        )
        self._context.end_change(self.group)
        self._context.suspicions.hold_off(self.group, _NEXT_CHANGE_US)
        self._context.suspicions.remove_primary(self.group)
        await self._resume_others(candidate.name)
        return True

    async def _give_back(self, cause: str) -> bool:
        """Records the old primary, if it still leads once nobody else can be promoted."""
        if self._requests.requested:
            await self._members.pause_all()
            await self._requests.fence_off(self.old_primary)
            if not await _is_primary(self._members.handles[self.old_primary]):
                return False
        record = NewLeadership(LeadershipPhase.SERVING, self.old_primary, self._old_term, cause)
        await self._context.enter_leadership(self.group, record)
        self._context.end_change(self.group)
        self._context.suspicions.hold_off(self.group)
        await self._resume_others(self.old_primary)
        return True

    async def _resume_others(self, primary: str) -> None:
        others = {name for name in self._members.handles if name != primary}
        await self._resumption.resume_all(self.group, others, self._members.handles)


async def _is_primary(handle: MemberHandle) -> bool:
    """Whether a member answers that it is a primary."""
    status = await handle.status()
    return status is not None and status.is_primary

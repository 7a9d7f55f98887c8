"""The unplanned leader change: pauses all replicas and elects one with a complete log."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from petrelhaven.control.failover.attempt_outcome import AttemptOutcome, Promote, Wait
from petrelhaven.control.failover.evidence import Proven, Unproven, find_electable_members
from petrelhaven.control.failover.wait_reasons import (
    LOST_MEMBER_BACK,
    PAUSE_FAILED,
    PAUSE_LOST,
    no_proof,
    order_unanswered,
    unresponsive_members,
)
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext
    from petrelhaven.control.failover.evidence import ElectionOrder, Evidence, MemberStatus
    from petrelhaven.control.failover.group_members import GroupMembers, GroupSurvey
    from petrelhaven.control.failover.member_access import MemberHandle
    from petrelhaven.control.failover.promotion import PromotionRequests

__all__ = ["Failover"]


class Failover:
    """Prepares the promotion of a candidate that provably holds every acknowledged commit."""

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
        """Pauses all replicas, chooses a candidate and confirms it once the proxies know."""
        order = self._evidence().order
        if order is not None:
            return await self._execute_order(order, survey)
        unresponsive = survey.unresponsive(self._members.find_excused(survey.replicas))
        if unresponsive or not survey.replicas:
            await self._count_out_leaving(survey)
            return Wait(unresponsive_members(unresponsive))
        if not await self._members.pause(survey.responsive, survey.next_term):
            return Wait(PAUSE_FAILED)
        await self._count_out_leaving(survey)
        verdict = self._find_electable(survey, _last_statuses(survey.responsive))
        if isinstance(verdict, Unproven):
            return self._wait_for_proof(verdict)
        candidate = self._choose_candidate(verdict.candidates)
        await self._record_candidate(candidate)
        return await self._confirm_candidate(candidate, survey)

    def _evidence(self) -> Evidence:
        return self._context.evidence(self._group)

    async def _record_candidate(self, candidate: MemberHandle) -> None:
        """Records the candidate; returns once every proxy has applied that record.

        From then on, the proxies acknowledge no commit that the candidate lacks, even if another
        replica restarts, which ends its pause.
        """
        number = await self._requests.record_candidate(candidate.name)
        await self._context.node.lease_table.wait_in_force(number)

    async def _confirm_candidate(
        self, candidate: MemberHandle, survey: GroupSurvey
    ) -> AttemptOutcome:
        """Checks that the proof still holds after the wait for the proxies."""
        statuses = await self._members.paused_statuses(survey.responsive, survey.next_term)
        if statuses is None or self._members.has_membership_changed(survey.replicas):
            return Wait(PAUSE_LOST)
        if not await self._members.are_still_excused(survey.replicas, survey.responsive):
            return Wait(LOST_MEMBER_BACK)
        verdict = self._find_electable(survey, statuses)
        if isinstance(verdict, Unproven) or candidate.name not in verdict.candidates:
            return Wait(PAUSE_LOST)
        return Promote(candidate)

    def _find_electable(
        self, survey: GroupSurvey, statuses: dict[str, MemberStatus]
    ) -> Proven | Unproven:
        names = [handle.name for handle in survey.replicas]
        return find_electable_members(self._evidence(), self._old_primary, names, statuses)

    def _wait_for_proof(self, verdict: Unproven) -> Wait:
        reason = no_proof(verdict.reason, verdict.lost_copies)
        is_new = self._context.wait_reasons.get(self._group) != reason
        if verdict.lost_copies and is_new:
            emit(
                self._context.log,
                Events.GROUP_WAITS_FOR_PROOF,
                group=self._group,
                primary=self._old_primary,
                note=verdict.reason,
            )
        return Wait(reason)

    def _choose_candidate(self, names: Iterable[str]) -> MemberHandle:
        """Chooses among equal logs.

        Preferred are, in this order, members that were requested before, those that stay, and
        those in this node's zone.
        """
        eligible = set(self._context.eligible_replicas(self._group, self._old_primary))

        def rank(name: str) -> tuple[bool, bool, bool, str]:
            return (
                name not in self._requests.requested,
                name not in eligible,
                self._members.zone_of(name) != self._context.node.zone,
                name,
            )

        return self._members.handles[min(names, key=rank)]

    async def _count_out_leaving(self, survey: GroupSurvey) -> None:
        """Counts out draining members, whose logs may be lost with them at any time."""
        counted_out = self._evidence().counted_out
        for handle in survey.responsive:
            member = self._context.members(self._group).get(handle.name)
            status = handle.last_status
            if member is None or not member.is_draining or status is None:
                continue
            if status.paused_term < survey.next_term:
                status = await handle.pause(survey.next_term)
            if status is not None and counted_out.get(handle.name) != status.position:
                await self._context.record_counted_out(self._group, handle.name, status.position)

    async def _execute_order(self, order: ElectionOrder, survey: GroupSurvey) -> AttemptOutcome:
        """Elects the member that an operator named, even if commits are lost."""
        candidate = self._members.handles.get(order.member)
        if candidate is None or order.member not in survey.statuses:
            return Wait(order_unanswered(order.member, order.by))
        others = [handle for handle in survey.responsive if handle is not candidate]
        await self._members.pause(others, survey.next_term)
        await self._record_candidate(candidate)
        emit(
            self._context.log,
            Events.MEMBER_ELECTED_BY_ORDER,
            group=self._group,
            member=order.member,
            by=order.by,
        )
        return Promote(candidate, accepted_loss=order.by)


def _last_statuses(handles: Iterable[MemberHandle]) -> dict[str, MemberStatus]:
    return {handle.name: handle.last_status for handle in handles if handle.last_status is not None}

"""The promotions that one leader change requests of the platform, and which are still pending.

An accepted request takes effect some time later, even if the platform has seen a higher fencing
token meanwhile, and its answer may be lost. The leadership record therefore names the requested
members before a request is sent, and no primary is recorded as serving while a request for another
member may still take effect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.control.failover.group_state import NewLeadership
from petrelhaven.control.state.rows import LeadershipPhase
from petrelhaven.runtime.errors import Fault, Fenced, NotSent
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext

__all__ = ["PromotionRequests"]

_MAX_PROMOTION_DELAY_US = 2_500_000
_ACCEPTED_WAIT_US = 5_000_000
_UNSENT_WAIT_US = 300_000


class PromotionRequests:
    """Promotion requests of one leader change, which its leadership records name.

    Attributes:
        planned: Whether the change is a switchover, during which the old primary serves.
        stuck: Whether proxies reject writes, since no primary is expected soon.
        requested: Members that may still be promoted by a request of this change.
    """

    def __init__(self, context: FailoverContext, group: str, planned: bool) -> None:
        """Takes the pending requests from the group's leadership record."""
        self._context, self._group = context, group
        self.planned, self.stuck = planned, False
        leadership = context.leadership(group)
        self._primary, self._term = leadership.primary, leadership.term
        self.requested = leadership.pending
        self._fencing_token = 0
        self._recorded_candidate = ""

    def has_pending_except(self, member: str) -> bool:
        """Returns whether a member other than `member` may still be promoted."""
        return not self.requested <= {member}

    async def record_start(self, cause: str) -> None:
        """Records the start of the change."""
        await self._record_change(cause)

    async def record_stuck(self, cause: str) -> None:
        """Records that no primary is expected soon."""
        self.stuck = True
        await self._record_change(cause)

    async def record_candidate(self, candidate: str) -> int:
        """Records `candidate` as requested, which yields an unused fencing token.

        Returns:
            The record's number. Once it is in force, proxies acknowledge only commits that the
            candidate has.
        """
        if self._recorded_candidate != candidate:
            await self._record_change(f"{candidate} is to take over", candidate)
        return self._fencing_token

    async def request_promotion(self, candidate: str) -> int:
        """Requests the promotion of the recorded `candidate`.

        Returns:
            How long to wait for the promotion to take effect, in microseconds.

        Raises:
            Fenced: The platform has seen a higher fencing token.
        """
        requested_before = self.requested
        self.requested = requested_before | {candidate}
        self._recorded_candidate = ""
        try:
            await self._promote(candidate)
        except Fault as fault:
            self._log_failure(candidate, fault)
            if isinstance(fault, NotSent | Fenced):
                self.requested = requested_before
            if isinstance(fault, Fenced):
                raise
            return _UNSENT_WAIT_US if isinstance(fault, NotSent) else _MAX_PROMOTION_DELAY_US
        return _ACCEPTED_WAIT_US

    async def fence_pending_requests(self, member: str) -> None:
        """Waits until no earlier request can take effect any more.

        Requests the promotion of `member`, which leads already, under a new fencing token. Once the
        platform has answered, it declines earlier requests that it had not accepted; those that it
        had accepted have taken effect by the end of the wait.
        """
        await self._record_change("requests that may be under way are fenced off")
        await self._promote(member)
        await self._context.clock.sleep(_MAX_PROMOTION_DELAY_US)
        self.requested = frozenset()

    async def _record_change(self, cause: str, candidate: str = "") -> None:
        """Commits a record of the change, which yields a new fencing token.

        The record names the pending requests and, if given, `candidate`.
        """
        requested = self.requested | {candidate} if candidate else self.requested
        self._recorded_candidate = candidate
        record = NewLeadership(
            phase=LeadershipPhase.SWITCHOVER if self.planned else LeadershipPhase.FAILOVER,
            primary=self._primary,
            term=self._term,
            cause=cause,
            stuck=self.stuck,
            requested=tuple(sorted(requested)),
        )
        self._fencing_token = await self._context.record_leadership(self._group, record)

    async def _promote(self, member: str) -> None:
        node = self._context.node
        await self._context.platform.promote(self._group, member, self._fencing_token, node.name)

    def _log_failure(self, candidate: str, fault: Fault) -> None:
        emit(
            self._context.log,
            Events.PLATFORM_DECLINED,
            group=self._group,
            target=candidate,
            fault=fault.code,
            note=fault.note,
        )

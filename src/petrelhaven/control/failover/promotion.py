"""The promotions that one leader change requests of the platform, and whose may still take effect.

A request that was accepted takes effect some time later, whatever fencing token is seen in between,
and its answer may be lost. So the members that were requested stand in the leadership record before
the request leaves, and nobody serves before a request for another member is certainly over.
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

_TAKES_EFFECT_US = 2_500_000
_ACCEPTED_WAIT_US = 5_000_000
_DECLINED_WAIT_US = 300_000


class PromotionRequests:
    """Requests of one leader change; the leadership record holds who was requested.

    Attributes:
        planned: Whether the change is a switchover: the old primary serves meanwhile.
        stuck: Whether proxies are to send writers away.
        change_number: The number of the record that began the change.
        requested: Members that may still be promoted by a request of this change.
    """

    def __init__(self, context: FailoverContext, group: str, planned: bool) -> None:
        """Starts from what the record of the group says was requested."""
        self._context, self._group = context, group
        self.planned, self.stuck = planned, False
        self.change_number = 0
        leadership = context.leadership(group)
        self._primary, self._term = leadership.primary, leadership.term
        self.requested = leadership.pending
        self._fencing_token = 0
        self._recorded = ""

    def pending_besides(self, member: str) -> bool:
        """Whether somebody other than `member` may still be promoted."""
        return not self.requested <= {member}

    async def begin(self, cause: str) -> None:
        """Records that the change has begun."""
        await self._enter(cause)
        self.change_number = self._fencing_token

    async def mark_stuck(self, cause: str) -> None:
        """Records that no primary is near."""
        self.stuck = True
        await self._enter(cause)

    async def announce(self, candidate: str) -> None:
        """Records that `candidate` is to be requested, under a token that no request has used."""
        if self._recorded != candidate:
            await self._enter(f"{candidate} is to take over", candidate)

    async def send(self, candidate: str) -> int:
        """Requests the promotion of `candidate`, announced before.

        Returns:
            How long the promotion may take to show, in microseconds.

        Raises:
            Fenced: The platform has seen a higher fencing token.
        """
        before = self.requested
        self.requested = before | {candidate}
        self._recorded = ""
        try:
            await self._promote(candidate)
        except Fault as fault:
            self._log_failure(candidate, fault)
            if isinstance(fault, NotSent | Fenced):
                self.requested = before
            if isinstance(fault, Fenced):
                raise
            return _DECLINED_WAIT_US if isinstance(fault, NotSent) else _TAKES_EFFECT_US
        return _ACCEPTED_WAIT_US

    async def fence_off(self, member: str) -> None:
        """Waits until no request can take effect any more; `member` leads and is named meanwhile.

        Requests that the platform has not accepted yet are declined from its answer on; those that
        it had accepted have taken effect by the end of the wait.
        """
        await self._enter("requests that may be under way are fenced off")
        await self._promote(member)
        await self._context.clock.sleep(_TAKES_EFFECT_US)
        self.requested = frozenset()

    async def _enter(self, cause: str, candidate: str = "") -> None:
        """Enters the record of the change, `candidate` among the requested: a new fencing token."""
        requested = self.requested | {candidate} if candidate else self.requested
        self._recorded = candidate
        record = NewLeadership(
            phase=LeadershipPhase.SWITCHOVER if self.planned else LeadershipPhase.FAILOVER,
            primary=self._primary,
            term=self._term,
            cause=cause,
            stuck=self.stuck,
            requested=tuple(sorted(requested)),
        )
        self._fencing_token = await self._context.enter_leadership(self._group, record)

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

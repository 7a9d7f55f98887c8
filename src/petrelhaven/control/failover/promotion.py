"""The promotions that one office move requests of the platform, and whose may still take effect.

A request that was accepted takes effect some time later, whatever fence is seen in between, and its
answer may be lost. So the members that were asked for stand in the office's record before the
request leaves, and nobody serves before a request for another member is certainly over.
"""

from typing import TYPE_CHECKING

from petrelhaven.runtime.errors import Fault, Fenced, NotSent
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.failover.coordinator import FailoverCoordinator

__all__ = ["PromotionRequests"]

_TAKES_EFFECT_US = 2_500_000
_ACCEPTED_WAIT_US = 5_000_000
_DECLINED_WAIT_US = 300_000


class PromotionRequests:
    """Requests of one office move; the record of the office keeps who was asked for.

    Attributes:
        requested: Members that may still be promoted by a request of this move.
    """

    def __init__(self, coordinator: "FailoverCoordinator", group: str, planned: bool) -> None:
        self._coordinator, self._group = coordinator, group
        self.planned = planned
        leadership = coordinator.leadership(group)
        self._primary, self._term = leadership["primary"], leadership["term"]
        moving = leadership["phase"] != "serve"
        self.requested: frozenset[str] = frozenset(
            leadership.get("requested", ()) if moving else ()
        )
        self._fence = 0
        self._recorded = ""

    def pending_besides(self, member: str) -> bool:
        """Whether somebody other than `member` may still be promoted."""
        return not self.requested <= {member}

    async def enter(self, stuck: bool, cause: str, candidate: str = "") -> int:
        """Enters the move's record, with `heir` among those asked for; its number is a new fence."""
        phase = "swap" if self.planned else "move"
        requested = sorted(self.requested | {candidate}) if candidate else sorted(self.requested)
        self._recorded = candidate
        self._fence = await self._coordinator.enter_leadership(
            self._group, phase, self._primary, self._term, cause, stuck=stuck, requested=requested
        )
        return self._fence

    async def announce(self, candidate: str, stuck: bool) -> None:
        """Records that `heir` is to be asked for, under a fence that no request has used."""
        if self._recorded != candidate:
            await self.enter(stuck, f"{candidate} is to take over", candidate)

    async def send(self, candidate: str) -> int:
        """Asks the platform for `heir`, announced before; how long it may take to show, in us."""
        before = self.requested
        self.requested = before | {candidate}
        self._recorded = ""
        try:
            await self._call(candidate)
        except Fault as e:
            emit(
                self._coordinator.log,
                Events.PLATFORM_DECLINED,
                group=self._group,
                target=candidate,
                fault=e.code,
                note=e.note,
            )
            if isinstance(e, NotSent | Fenced):
                self.requested = before
            if isinstance(e, Fenced):
                raise
            return _DECLINED_WAIT_US if isinstance(e, NotSent) else _TAKES_EFFECT_US
        return _ACCEPTED_WAIT_US

    async def fence_off(self, member: str, stuck: bool) -> None:
        """Waits until no request can take effect any more; `member` leads and is named meanwhile.

        Requests that the platform has not accepted yet are declined from its answer on; those that
        it had accepted have taken effect by the end of the wait.
        """
        await self.enter(stuck, "requests that may be under way are fenced off")
        await self._call(member)
        await self._coordinator.clock.sleep(_TAKES_EFFECT_US)
        self.requested = frozenset()

    async def _call(self, member: str) -> None:
        core = self._coordinator.core
        await self._coordinator.platform.promote(self._group, member, self._fence, core.name)

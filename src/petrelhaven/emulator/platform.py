"""A stand-in platform: failover calls from one node at a time, fenced by epoch."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING, Any

from petrelhaven.runtime.errors import Fault, Fenced, NotReady

if TYPE_CHECKING:
    from petrelhaven.runtime.clock import Clock

__all__ = ["PlatformLogic", "CallMember"]

_PROMOTION_US = 300_000
_FOLLOW_INTERVAL_US = 300_000
_FOLLOW_LIMIT_S = 0.1
_NEVER_US = 3_600_000_000

CallMember = Callable[[str, str, dict[str, Any]], Awaitable[object]]


class PlatformLogic:
    """Promotes one member and lets the others follow it.

    Attributes:
        calls: the promotions that were begun: group, member, epoch, caller.
        last: for each group the epoch and the member of its last promotion.
        primary: for each group the member that was promoted and its epoch.
        decline: a test sets it to have all calls declined.
        slow_us: how long a call waits first, in microseconds.
        unanswered: how many calls take effect without an answer.
    """

    def __init__(
        self,
        clock: Clock,
        call_member: CallMember,
        members: Callable[[str], Iterable[str]],
        took_us: int = _PROMOTION_US,
    ) -> None:
        """Serves the groups whose members `members(group)` names.

        Args:
            clock: times the calls.
            call_member: calls a member with a verb and its fields.
            members: the members of a group.
            took_us: how long a promotion takes, in microseconds.
        """
        self.clock, self._call_member, self.members, self.took_us = (
            clock,
            call_member,
            members,
            took_us,
        )
        self.last: dict[str, tuple[int, str | None]] = {}
        self.primary: dict[str, tuple[str, int]] = {}
        self.calls: list[tuple[str, str, int, str]] = []
        self.decline = False
        self.slow_us = 0
        self.unanswered = 0
        self._served: dict[str, str] = {}

    async def promote(self, group: str, member: str, epoch: int, by: str) -> dict[str, Any]:
        """Makes `member` the primary of `group` under `epoch`, for the node `by`.

        Raises:
            Fenced: a later epoch was promoted, or another member under this one.
            NotReady: calls are declined for now, or another one is being served.
        """
        answer = await self._promote(group, member, epoch, by)
        if self.unanswered:
            self.unanswered -= 1
            await self.clock.sleep(_NEVER_US)
        return answer

    async def _promote(self, group: str, member: str, epoch: int, by: str) -> dict[str, Any]:
        if self.decline:
            raise NotReady("the platform declines for now")
        if self.slow_us:
            await self.clock.sleep(self.slow_us)
        last_epoch, last_member = self.last.get(group, (0, None))
        if epoch < last_epoch or epoch == last_epoch and last_member != member:
            raise Fenced(f"epoch {last_epoch} was promoted already, {last_member}")
        if self._served.get(group):
            raise NotReady(f"a call from {self._served[group]} is being served")
        self._served[group] = by
        try:
            self.calls.append((group, member, epoch, by))
            self.last[group] = (epoch, member)
            await self.clock.sleep(self.took_us)
            await self._call_member(member, "promote", {"epoch": epoch})
            self.primary[group] = (member, epoch)
            followers = [
                asyncio.ensure_future(self._follow(name, member, epoch))
                for name in self.members(group)
                if name != member
            ]
            await asyncio.wait(followers, timeout=_FOLLOW_LIMIT_S)
            return {"primary": member, "epoch": epoch}
        finally:
            self._served.pop(group, None)

    async def _follow(self, member: str, source: str, epoch: int) -> None:
        with contextlib.suppress(Fault):
            await self._call_member(member, "follow", {"source": source, "epoch": epoch})

    async def tend(self) -> None:
        """Keeps telling members that came back whom to follow."""
        while True:
            await self.clock.sleep(_FOLLOW_INTERVAL_US)
            for group, (primary, epoch) in list(self.primary.items()):
                for member in self.members(group):
                    if member != primary:
                        await self._follow(member, primary, epoch)

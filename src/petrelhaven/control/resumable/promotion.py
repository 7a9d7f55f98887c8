"""Requests of promotions to the platform; a member that announces itself is an answer, too."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from petrelhaven.runtime.errors import DeadlineExceeded, Malformed
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.resumable.announcements import AnnouncementTable
    from petrelhaven.control.resumable.interfaces import EpochPlatform
    from petrelhaven.runtime.clock import Clock

__all__ = ["PromotionRequester"]

_PROMOTION_US = 4_000_000
_PROMOTION_CHECK_US = 200_000


class PromotionRequester:
    """Asks the platform to promote members.

    Attributes:
        clock: The clock of this node.
        platform: What promotes members.
        name: The name of this node.
    """

    def __init__(
        self,
        clock: Clock,
        platform: EpochPlatform,
        announcements: AnnouncementTable,
        name: str,
        log: Any,  # noqa: ANN401 (a logger or None)
    ) -> None:
        """Has requested nothing yet."""
        self.clock, self.platform, self.name = clock, platform, name
        self._announcements, self._log = announcements, log

    async def request(self, group: str, target: str, epoch: int) -> None:
        """Returns once `target` is promoted under `epoch`.

        Raises:
            Malformed: The answer names another member or epoch.
            Fault: The platform declined, or nothing was heard in time.
        """
        answer = asyncio.ensure_future(self.platform.promote(group, target, epoch, self.name))
        end = self.clock.now() + _PROMOTION_US
        try:
            while True:
                try:
                    document = await self.clock.wait_for(
                        answer, _PROMOTION_CHECK_US, keep_running=True
                    )
                except DeadlineExceeded:
                    if self._is_announced(target, epoch):
                        emit(
                            self._log,
                            Events.PROMOTION_OBSERVED,
                            group=group,
                            primary=target,
                            epoch=epoch,
                        )
                        return
                    if answer.done() or self.clock.now() >= end:
                        raise
                else:
                    _check_answer(document, target, epoch)
                    return
        finally:
            answer.cancel()

    def _is_announced(self, target: str, epoch: int) -> bool:
        """Whether the member announces itself as the primary under this epoch."""
        member = self._announcements.observations().get(target)
        return member is not None and member.is_primary and member.term == epoch


def _check_answer(document: Mapping[str, Any], target: str, epoch: int) -> None:
    """Raises Malformed unless the platform's answer names what was requested."""
    for key, expected in (("primary", target), ("epoch", epoch)):
        if document.get(key) != expected:
            got = str(document.get(key))[:40]
            raise Malformed(f"platform answer: {key} must be {expected}, is {got}")

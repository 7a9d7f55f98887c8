"""Promotion requests to the platform.

A request has also succeeded if the member announces itself as the primary, since the platform's
response can be lost.
"""

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

_PROMOTION_TIMEOUT_US = 4_000_000
_ANNOUNCEMENT_CHECK_INTERVAL_US = 200_000


class PromotionRequester:
    """Requests promotions from the platform.

    Attributes:
        clock: The clock of this node.
        platform: The platform, which promotes members.
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
        """Uses the parts of a control node; `name` is the name of this node."""
        self.clock, self.platform, self.name = clock, platform, name
        self._announcements, self._log = announcements, log

    async def request(self, group: str, target: str, epoch: int) -> None:
        """Requests a promotion; returns once `target` is promoted under `epoch`.

        Raises:
            Malformed: The response names a different member or epoch.
            Fault: The platform declined the request, or there was no response in time.
        """
        response = asyncio.ensure_future(self.platform.promote(group, target, epoch, self.name))
        deadline = self.clock.now() + _PROMOTION_TIMEOUT_US
        try:
            while True:
                try:
                    document = await self.clock.wait_for(
                        response, _ANNOUNCEMENT_CHECK_INTERVAL_US, keep_running=True
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
                    if response.done() or self.clock.now() >= deadline:
                        raise
                else:
                    _check_response(document, target, epoch)
                    return
        finally:
            response.cancel()

    def _is_announced(self, target: str, epoch: int) -> bool:
        """Returns whether the member announces itself as the primary under this epoch."""
        member = self._announcements.merge_observations().get(target)
        return member is not None and member.is_primary and member.term == epoch


def _check_response(document: Mapping[str, Any], target: str, epoch: int) -> None:
    """Raises Malformed unless the platform's response names the requested member and epoch."""
    for key, expected in (("primary", target), ("epoch", epoch)):
        if document.get(key) != expected:
            actual = str(document.get(key))[:40]
            raise Malformed(f"platform response: {key} must be {expected}, is {actual}")

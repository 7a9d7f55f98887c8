"""One sending of one statement to one member."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.proxy.routing.member import Member

__all__ = ["Attempt"]


class Attempt:
    """An attempt at `member`, run by `task`; `sent` once its bytes may have left.

    `flight` is the position fetch that it carries, if any, and `leadership` the (number, primary)
    under which it was made. `started` is the order point and `started_us` the moment right before
    it was sent; both are 0 before that.
    """

    __slots__ = ("member", "leadership", "flight", "sent", "started", "started_us", "task")

    def __init__(
        self,
        member: Member,
        leadership: tuple[int, str] | None = None,
        flight: object | None = None,
    ) -> None:
        """Makes an attempt that has not been sent."""
        self.member = member
        self.leadership = leadership
        self.flight = flight
        self.sent = False
        self.started = 0
        self.started_us = 0
        self.task: asyncio.Task | None = None

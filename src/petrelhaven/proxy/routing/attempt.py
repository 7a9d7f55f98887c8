"""One sending of one statement to one member."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.read_clock import Fetch
    from petrelhaven.proxy.routing.member import Member
    from petrelhaven.proxy.session.statement import Reply

__all__ = ["Attempt"]


class Attempt:
    """An attempt at a member.

    Attributes:
        member: The member.
        leadership: The (number, primary) of the leadership under which the attempt was made.
        fetch: The position fetch that it carries, if any.
        sent: Whether its bytes may have left.
        started: The order point right before it was sent, 0 before that.
        started_us: The moment of that, in microseconds.
        task: What runs it; set by whoever makes the attempt.
    """

    __slots__ = ("member", "leadership", "fetch", "sent", "started", "started_us", "task")

    task: asyncio.Task[Reply]

    def __init__(
        self,
        member: Member,
        leadership: tuple[int, str] | None = None,
        fetch: Fetch | None = None,
    ) -> None:
        """Makes an attempt that has not been sent."""
        self.member = member
        self.leadership = leadership
        self.fetch = fetch
        self.sent = False
        self.started = 0
        self.started_us = 0

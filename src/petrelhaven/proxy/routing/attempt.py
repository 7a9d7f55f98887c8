"""An attempt to run a statement at a member."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.read_clock import Fetch
    from petrelhaven.proxy.routing.member import Member
    from petrelhaven.proxy.session.statement import Reply

__all__ = ["Attempt"]


class Attempt:
    """An attempt to run a statement at a member.

    Attributes:
        member: The member.
        leadership_key: The leadership (number, primary) in which the attempt was made.
        fetch: The position fetch that is piggybacked on it, if any.
        sent: Whether the statement may have been sent.
        started: The logical timestamp right before it was sent, 0 until then.
        started_us: The time of `started`, in microseconds.
        task: The task that runs it; set by the caller that creates the attempt.
    """

    __slots__ = ("member", "leadership_key", "fetch", "sent", "started", "started_us", "task")

    task: asyncio.Task[Reply]

    def __init__(
        self,
        member: Member,
        leadership_key: tuple[int, str] | None = None,
        fetch: Fetch | None = None,
    ) -> None:
        """Creates an attempt that has not been sent."""
        self.member = member
        self.leadership_key = leadership_key
        self.fetch = fetch
        self.sent = False
        self.started = 0
        self.started_us = 0

"""Determines where a read may run.

Either at the primary with a piggybacked position fetch, or at a member whose log has reached a
position.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Sequence
from typing import TYPE_CHECKING, Any

from petrelhaven.proxy.routing.attempt import Attempt
from petrelhaven.proxy.routing.waiting import wait_for_first

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.position import Position
    from petrelhaven.proxy.routing.group import MemberGroup
    from petrelhaven.proxy.routing.interfaces import Continuation, ProxyServices
    from petrelhaven.proxy.routing.member import Member

__all__ = ["ReadPlacement"]

_MAX_LAGGING_REPLIES = 5
_FIRST_LAGGING_PAUSE_US = 12_000
_MAX_LAGGING_DOUBLINGS = 3
_MAX_JOINED_WAIT_US = 60_000
_DEPRIORITIZE_US = 1_000_000


class ReadPlacement:
    """Placement of single reads and of read-only transactions."""

    def __init__(self, proxy: ProxyServices) -> None:
        """Uses the clock, the tasks and the counters of `proxy`."""
        self._proxy = proxy
        self._clock = proxy.clock

    def start_piggybacked_attempt(
        self, group: MemberGroup, arrival: int, since: int | None, excluded: Collection[str]
    ) -> Attempt | None:
        """Returns an attempt at the primary with a piggybacked fetch, or None.

        It returns None if another fetch is sufficient or the primary must not be used.
        """
        primary = group.leased_primary
        if primary is None or primary.name in excluded or primary.avoided_until > self._clock.now():
            return None
        if not group.accepts_new_statements(primary):
            return None
        fetch = group.read_clock.start_piggybacked_fetch(arrival, since)
        return Attempt(primary, group.leadership_key, fetch) if fetch is not None else None

    def fetch_position(
        self,
        group: MemberGroup,
        arrival: int,
        since: int | None,
        limit_us: int,
        running: Sequence[asyncio.Future[Any]] = (),
    ) -> Continuation[Position | None]:
        """Returns the position that a read must see.

        Returns None if the time limit passes or one of `running` completes first.
        """
        position = group.read_clock.request_position(arrival, since)
        yield wait_for_first(self._clock, [position, *running], limit_us)
        if position.done() and position.result() is not None:
            return position.result()
        position.cancel()
        return None

    def is_behind(self, member: Member, position: Position) -> bool:
        """Returns whether the member recently answered LAGGING and hasn't reported `position`."""
        return member.lagging_until > self._clock.now() and member.log_progress.position < position

    def join_lagging_wait(
        self, member: Member, position: Position, deadline: int
    ) -> Continuation[None]:
        """Waits together with a read that the member answered LAGGING."""
        yield from self._wait_for_log(member, position, deadline, _MAX_JOINED_WAIT_US)

    def wait_after_lagging_reply(
        self, member: Member, position: Position, deadline: int
    ) -> Continuation[bool]:
        """Waits for the log of a member that answered LAGGING; returns False to give it up."""
        now = self._clock.now()
        member.lagging_replies += 1
        if member.lagging_replies > _MAX_LAGGING_REPLIES:
            member.lagging_replies, member.lagging_until = 0, 0
            member.deprioritized_until = now + _DEPRIORITIZE_US
            self._proxy.count["stalled"] += 1
            return False
        pause_us = _FIRST_LAGGING_PAUSE_US << min(
            member.lagging_replies - 1, _MAX_LAGGING_DOUBLINGS
        )
        member.lagging_until = now + pause_us
        yield from self._wait_for_log(member, position, deadline, pause_us)
        return True

    def _wait_for_log(
        self, member: Member, position: Position, deadline: int, pause_us: int
    ) -> Continuation[None]:
        reached = member.log_progress.wait_until_reached(position)
        yield wait_for_first(
            self._clock, [reached], max(0, min(pause_us, deadline - self._clock.now()))
        )
        reached.cancel()
        if reached.done() and not reached.cancelled():
            member.lagging_replies = 0

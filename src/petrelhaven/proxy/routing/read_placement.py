"""Where a read may run: at the primary as its own fetch, or wherever the log has a position."""

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

_LAGGING_MOST = 5
_LAGGING_PAUSE_US = 12_000
_LAGGING_DOUBLINGS = 3
_JOINED_WAIT_US = 60_000
_STALLED_US = 1_000_000


class ReadPlacement:
    """What single reads and transactions that only read share."""

    def __init__(self, proxy: ProxyServices) -> None:
        """Uses the clock, the tasks and the counters of `proxy`."""
        self._proxy = proxy
        self._clock = proxy.clock

    def carrier(
        self, group: MemberGroup, arrival: int, since: int | None, excluded: Collection[str]
    ) -> Attempt | None:
        """An attempt at the primary as its own position fetch; None if another fetch will do."""
        primary = group.leased_primary
        if primary is None or primary.name in excluded or primary.avoided_until > self._clock.now():
            return None
        if not group.accepts_new_statements(primary):
            return None
        fetch = group.read_clock.start_piggybacked_fetch(arrival, since)
        return Attempt(primary, group.leadership_key, fetch) if fetch is not None else None

    def position(
        self,
        group: MemberGroup,
        arrival: int,
        since: int | None,
        limit_us: int,
        running: Sequence[asyncio.Future[Any]] = (),
    ) -> Continuation[Position | None]:
        """The position that a read must find; None if time or one of `running` ended first."""
        position = group.read_clock.request_position(arrival, since)
        yield wait_for_first(self._clock, [position, *running], limit_us)
        if position.done() and position.result() is not None:
            return position.result()
        position.cancel()
        return None

    def is_behind(self, member: Member, position: Position) -> bool:
        """Whether the member has just answered LAGGING and is not known to hold `position` yet."""
        return member.lagging_until > self._clock.now() and member.log_progress.position < position

    def joined(self, member: Member, position: Position, end: int) -> Continuation[None]:
        """Joins the wait of a read that the member answered LAGGING."""
        yield from self._log_wait(member, position, end, _JOINED_WAIT_US)

    def wait_after_lagging(
        self, member: Member, position: Position, end: int
    ) -> Continuation[bool]:
        """Waits for the log of a member that answered LAGGING; False if it is to be given up."""
        now = self._clock.now()
        member.lagging_replies += 1
        if member.lagging_replies > _LAGGING_MOST:
            member.lagging_replies, member.lagging_until = 0, 0
            member.deprioritized_until = now + _STALLED_US
            self._proxy.count["stalled"] += 1
            return False
        pause_us = _LAGGING_PAUSE_US << min(member.lagging_replies - 1, _LAGGING_DOUBLINGS)
        member.lagging_until = now + pause_us
        yield from self._log_wait(member, position, end, pause_us)
        return True

    def _log_wait(
        self, member: Member, position: Position, end: int, pause_us: int
    ) -> Continuation[None]:
        risen = member.log_progress.wait_until_reached(position)
        yield wait_for_first(self._clock, [risen], max(0, min(pause_us, end - self._clock.now())))
        risen.cancel()
        if risen.done() and not risen.cancelled():
            member.lagging_replies = 0

"""Counts members out of a group: from then on, no election needs their logs.

A member that is counted out is paused, and recorded with the position of its log. While another
replica that stays receives, a leaving one may be counted out: every commit acknowledged from then
on is held by one that stays. A replica that ended unannounced is counted out at the position that
the primary had after its end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from petrelhaven.control.failover.group_state import MemberEndpoint
from petrelhaven.control.failover.member_access import MemberHandle

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext
    from petrelhaven.control.failover.evidence import Position
    from petrelhaven.control.failover.resumption import ReplicaResumption
    from petrelhaven.control.state.rows import Member

__all__ = ["CountingOut"]

_REACH_US = 600_000
_REACH_CHECK_US = 40_000
_UNFOLLOWED_US = 500_000


class CountingOut:
    """Pauses, records and resumes the members of one group; used by the active head only."""

    def __init__(self, context: FailoverContext, resumption: ReplicaResumption, group: str) -> None:
        """Knows nobody before `refresh`."""
        self._context, self._resumption, self._group = context, resumption, group
        self._clock = context.clock
        self._handles: dict[str, MemberHandle] = {}
        self._members: dict[str, Member] = {}
        self._unfollowed_since: int | None = None

    def close(self) -> None:
        """Closes the connections to the members."""
        for handle in self._handles.values():
            handle.close()

    def refresh(self) -> None:
        """Takes the members that the group has now."""
        node = self._context.node
        self._members = self._context.members(self._group)
        for name in [known for known in self._handles if known not in self._members]:
            self._handles.pop(name).close()
        for name, member in self._members.items():
            if name not in self._handles:
                self._handles[name] = MemberHandle(
                    node.wire, self._clock, MemberEndpoint.from_member(member)
                )
            self._handles[name].move_to(MemberEndpoint.from_member(member))

    def handle(self, name: str) -> MemberHandle | None:
        """The connection to a member, if it was in the group at the last refresh."""
        return self._handles.get(name)

    async def is_followed(self, primary: str, position: Position) -> bool:
        """Whether a replica that stays receives: it reaches what the primary had a moment ago."""
        staying = self._staying_replicas(primary)
        end = self._clock.now() + _REACH_US
        while staying and self._clock.now() < end:
            statuses = await asyncio.gather(*[handle.status() for handle in staying])
            if any(s and not s.paused_term and s.position >= position for s in statuses):
                return True
            await self._clock.sleep(_REACH_CHECK_US)
        return False

    def _staying_replicas(self, primary: str) -> list[MemberHandle]:
        counted_out = self._counted_out()
        present = self._context.members(self._group)
        return [
            handle
            for name, handle in self._handles.items()
            if name != primary
            and name not in counted_out
            and name in present
            and self._members[name].is_ready
        ]

    def _counted_out(self) -> dict[str, Position]:
        return dict(self._context.evidence(self._group).counted_out)

    async def update(
        self,
        primary: str,
        term: int,
        followed: bool,
        is_overdue: Callable[[str], bool],
        lost: list[str],
    ) -> None:
        """Pauses those that leave while another receives, and undoes that while none does.

        Nobody receives again while the leader changes: only the candidate may.

        Args:
            primary: The current primary.
            term: A term above that of the primary.
            followed: Whether a replica that stays receives.
            is_overdue: Whether a leaving member is to be counted out in any case.
            lost: Replicas that ended unannounced.
        """
        before = self._counted_out()
        for name in self._leaving():
            if name == primary:
                continue
            if followed or is_overdue(name):
                self._unfollowed_since = None
                await self._pause(name, term)
            elif name in before:
                await self._undo_if_unfollowed(name)
        if self._context.leadership(self._group).is_serving:
            await self._undo_returned(before, lost)

    def _leaving(self) -> list[str]:
        members = self._context.members(self._group)
        return [name for name, member in members.items() if member.is_draining]

    async def _undo_returned(self, counted_out: Iterable[str], lost: list[str]) -> None:
        """Lets members receive again that are counted out and neither leave nor are lost."""
        for name in counted_out:
            member = self._context.members(self._group).get(name)
            if member is not None and member.is_ready and name not in lost:
                await self._undo(name)

    async def count_out_lost(self, lost: list[str], position: Position) -> None:
        """What only they held is at or below `position`, which one that stays has reached."""
        async with self._context.pause_lock(self._group):
            for name in lost:
                self._context.suspicions.remove_replica(self._group, name)
                if name not in self._counted_out():
                    await self._record(name, position)

    async def _pause(self, name: str, term: int) -> None:
        handle = self._handles.get(name)
        if handle is None:
            return
        async with self._context.pause_lock(self._group):
            if self._may_be_promoted(name):
                return
            recorded = self._counted_out().get(name)
            status = await handle.status()
            if status is None or status.is_primary:
                return
            if status.paused_term < term:
                if recorded is not None:
                    await self._record(name, None)
                    recorded = None
                status = await handle.pause(term)
            if status is not None and status.position != recorded:
                await self._record(name, status.position)

    def _may_be_promoted(self, name: str) -> bool:
        """Whether the member is to take over, or was requested by whoever was the head before."""
        is_candidate = self._context.candidates.get(self._group) == name
        return is_candidate or name in self._context.leadership(self._group).pending

    async def _undo_if_unfollowed(self, name: str) -> None:
        """Lets a member receive again if nobody else has received for a while."""
        if self._unfollowed_since is None:
            self._unfollowed_since = self._clock.now()
        unfollowed_us = self._clock.now() - self._unfollowed_since
        if self._context.leadership(self._group).is_serving and unfollowed_us > _UNFOLLOWED_US:
            await self._undo(name)

    async def _undo(self, name: str) -> None:
        """Lets a counted out member receive again; the record goes first."""
        async with self._context.pause_lock(self._group):
            await self._record(name, None)
            handle = self._handles.get(name)
            if handle is not None and not await handle.resume():
                self._resumption.add(self._group, name)

    async def _record(self, name: str, position: Position | None) -> None:
        await self._context.record_counted_out(self._group, name, position)

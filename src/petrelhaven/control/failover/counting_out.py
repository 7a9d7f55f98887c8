"""Counts members out of a group, so that elections no longer need their logs.

A member is counted out by pausing it and recording the position of its log. A draining member may
be counted out while a replica that stays in the group receives the log: every commit acknowledged
from then on is held by a replica that stays.

A replica that is lost, that is, refuses connections without having signed off, can't be paused and
may still receive the log. It is counted out only once every proxy knows that its copies don't count
(see `vote_removal`), at a position that the primary's log had after that.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from petrelhaven.control.failover.group_state import MemberEndpoint
from petrelhaven.control.failover.member_access import MemberHandle
from petrelhaven.control.failover.vote_removal import VoteRemoval

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext
    from petrelhaven.control.failover.evidence import Position
    from petrelhaven.control.failover.resumption import ReplicaResumption
    from petrelhaven.control.state.rows import Member

__all__ = ["CountingOut"]

_CATCH_UP_TIMEOUT_US = 600_000
_CATCH_UP_POLL_US = 40_000
_MAX_UNREPLICATED_US = 500_000


class CountingOut:
    """Counts the members of one group out and in again; used by the active head only.

    Attributes:
        votes: Removes the votes of lost and departed members.
    """

    def __init__(self, context: FailoverContext, resumption: ReplicaResumption, group: str) -> None:
        """Creates no connection before the first `refresh`."""
        self._context, self._resumption, self._group = context, resumption, group
        self._clock = context.clock
        self._handles: dict[str, MemberHandle] = {}
        self._members: dict[str, Member] = {}
        self._unreplicated_since: int | None = None
        self.votes = VoteRemoval(context, group)

    def close(self) -> None:
        """Closes the connections to the members."""
        for handle in self._handles.values():
            handle.close()

    def refresh(self) -> None:
        """Connects to the members that the group has now, and drops those that left."""
        node = self._context.node
        self._members = self._context.members(self._group)
        for name in [name for name in self._handles if name not in self._members]:
            self._handles.pop(name).close()
        for name, member in self._members.items():
            if name not in self._handles:
                self._handles[name] = MemberHandle(
                    node.wire, self._clock, MemberEndpoint.from_member(member)
                )
            self._handles[name].set_endpoint(MemberEndpoint.from_member(member))

    def find_handle(self, name: str) -> MemberHandle | None:
        """Returns the connection to a member that was in the group at the last refresh, or None."""
        return self._handles.get(name)

    async def is_replicated(self, primary: str, position: Position) -> bool:
        """Returns whether a replica that stays in the group reaches `position` of the primary."""
        staying_replicas = self._find_staying_replicas(primary)
        deadline = self._clock.now() + _CATCH_UP_TIMEOUT_US
        while staying_replicas and self._clock.now() < deadline:
            statuses = await asyncio.gather(*[handle.status() for handle in staying_replicas])
            if any(
                status and not status.paused_term and status.position >= position
                for status in statuses
            ):
                return True
            await self._clock.sleep(_CATCH_UP_POLL_US)
        return False

    def _find_staying_replicas(self, primary: str) -> list[MemberHandle]:
        evidence = self._context.evidence(self._group)
        present = self._context.members(self._group)
        return [
            handle
            for name, handle in self._handles.items()
            if name != primary
            and name not in evidence.without_vote
            and name in present
            and self._members[name].is_ready
        ]

    def _counted_out(self) -> dict[str, Position]:
        return dict(self._context.evidence(self._group).counted_out)

    async def update(
        self,
        primary: str,
        term: int,
        is_replicated: bool,
        is_overdue: Callable[[str], bool],
    ) -> None:
        """Counts draining members out while another replica receives, else counts them in again.

        Args:
            primary: The current primary.
            term: A term above that of the primary.
            is_replicated: Whether a replica that stays in the group receives the log.
            is_overdue: Whether a draining member has to be counted out in any case.
        """
        counted_out_before = self._counted_out()
        for name in self._draining_members():
            if name == primary:
                continue
            if is_replicated or is_overdue(name):
                self._unreplicated_since = None
                await self._pause_and_record(name, term)
            elif name in counted_out_before:
                await self._count_in_if_unreplicated(name)

    def _draining_members(self) -> list[str]:
        members = self._context.members(self._group)
        return [name for name, member in members.items() if member.is_draining]

    async def count_in_returned(self, lost_replicas: Collection[str]) -> None:
        """Counts members in again that are neither draining nor lost any more.

        No member is counted in during a leader change, in which only the candidate may receive.
        """
        evidence = self._context.evidence(self._group)
        for name in sorted(evidence.without_vote):
            if not self._context.leadership(self._group).is_serving:
                return
            member = self._context.members(self._group).get(name)
            if member is not None and member.is_ready and name not in lost_replicas:
                await self._count_in(name)

    async def count_out_lost(self, lost_replicas: Collection[str], position: Position) -> None:
        """Counts lost replicas without a vote out at `position`, which a staying replica reached.

        The position was read after every proxy knew that they don't vote. So it covers every commit
        that was acknowledged because of their copies.
        """
        async with self._context.pause_lock(self._group):
            for name in lost_replicas:
                self._context.suspicions.remove_replica(self._group, name)
                evidence = self._context.evidence(self._group)
                if name in evidence.non_voting and name not in evidence.counted_out:
                    await self._record_counted_out(name, position)

    async def _pause_and_record(self, name: str, term: int) -> None:
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
                    await self._record_counted_out(name, None)
                    recorded = None
                status = await handle.pause(term)
            if status is not None and status.position != recorded:
                await self._record_counted_out(name, status.position)

    def _may_be_promoted(self, name: str) -> bool:
        """Returns whether the member is the candidate or has a pending promotion request."""
        is_candidate = self._context.candidates.get(self._group) == name
        return is_candidate or name in self._context.leadership(self._group).pending

    async def _count_in_if_unreplicated(self, name: str) -> None:
        """Counts a member in again if no other replica has received the log for a while."""
        if self._unreplicated_since is None:
            self._unreplicated_since = self._clock.now()
        unreplicated_us = self._clock.now() - self._unreplicated_since
        if (
            self._context.leadership(self._group).is_serving
            and unreplicated_us > _MAX_UNREPLICATED_US
        ):
            await self._count_in(name)

    async def _count_in(self, name: str) -> None:
        """Counts a member in again; that is recorded before the member is resumed."""
        async with self._context.pause_lock(self._group):
            await self._record_counted_out(name, None)
            handle = self._handles.get(name)
            if handle is not None and not await handle.resume():
                self._resumption.add(self._group, name)

    async def _record_counted_out(self, name: str, position: Position | None) -> None:
        await self._context.record_counted_out(self._group, name, position)

"""Lets the replicas that a leader change paused receive again."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from petrelhaven.control.failover.group_state import MemberEndpoint
from petrelhaven.control.failover.member_access import MemberHandle

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext

__all__ = ["ReplicaResumption"]

_RETRY_US = 200_000


class ReplicaResumption:
    """Replicas that may be paused without need, each asked until it has answered.

    Attributes:
        pending: Their names, by group.
    """

    def __init__(self, context: FailoverContext) -> None:
        """Has nobody to resume yet."""
        self._context = context
        self.pending: dict[str, set[str]] = {}

    def take_over(self) -> None:
        """A new head can't know which replicas the former one left paused: all are asked."""
        self.pending = {
            group: set(self._context.members(group)) - {leadership.primary}
            for group, leadership in self._context.leaderships().items()
        }

    def add(self, group: str, member: str) -> None:
        """A replica may be paused."""
        self.pending.setdefault(group, set()).add(member)

    async def resume_all(
        self, group: str, members: Iterable[str], handles: Mapping[str, MemberHandle]
    ) -> None:
        """Starts over with `members`, asked over connections that are open already."""
        self.pending[group] = set(members)
        left = await self._resume_pending(group, handles)
        await self._finish(group, left)

    async def resume(self, group: str) -> None:
        """Asks the pending replicas of a group once, over connections of its own."""
        node = self._context.node
        members = self._context.members(group)
        handles = {
            name: MemberHandle(node.wire, node.clock, MemberEndpoint.from_member(members[name]))
            for name in self.pending[group]
            if name in members
        }
        try:
            left = await self._resume_pending(group, handles)
        finally:
            for handle in handles.values():
                handle.close()
        await self._finish(group, left)

    async def _resume_pending(self, group: str, handles: Mapping[str, MemberHandle]) -> set[str]:
        """Asks each pending replica once; those that have not answered."""
        pending = self.pending[group]
        members = self._context.members(group)
        for name in sorted(pending):
            departed = name not in members or name not in handles
            if departed or await self._resume_one(group, handles[name]):
                pending.discard(name)
        return pending

    async def _finish(self, group: str, left: set[str]) -> None:
        if left:
            await self._context.clock.sleep(_RETRY_US)
        else:
            self.pending.pop(group, None)

    async def _resume_one(self, group: str, handle: MemberHandle) -> bool:
        """Whether the replica needs no further request; counted out, it stays paused."""
        context = self._context
        async with context.pause_lock(group):
            if handle.name in context.evidence(group).counted_out:
                return True
            if not context.is_active_head or not context.leadership(group).is_serving:
                return False
            answered = await handle.resume()
            if handle.is_refused:
                context.suspicions.add_replica(group, handle.name)
            return answered

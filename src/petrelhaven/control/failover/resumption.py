"""Resumes the replicas that a leader change paused."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from petrelhaven.control.failover.group_state import MemberEndpoint
from petrelhaven.control.failover.member_access import MemberHandle

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext

__all__ = ["ReplicaResumption"]

_RETRY_INTERVAL_US = 200_000


class ReplicaResumption:
    """Asks replicas that may still be paused to resume, until each has answered.

    Attributes:
        pending: The names of the replicas that have not answered, by group.
    """

    def __init__(self, context: FailoverContext) -> None:
        """Starts without pending replicas."""
        self._context = context
        self.pending: dict[str, set[str]] = {}

    def add_all_replicas(self) -> None:
        """Adds the replicas of all groups, since a new head doesn't know which ones are paused."""
        self.pending = {
            group: set(self._context.members(group)) - {leadership.primary}
            for group, leadership in self._context.leaderships().items()
        }

    def add(self, group: str, member: str) -> None:
        """Adds a replica that may be paused."""
        self.pending.setdefault(group, set()).add(member)

    async def resume_all(
        self, group: str, members: Iterable[str], handles: Mapping[str, MemberHandle]
    ) -> None:
        """Replaces the pending replicas of a group and asks them over open connections."""
        self.pending[group] = set(members)
        remaining = await self._resume_pending(group, handles)
        await self._finish_round(group, remaining)

    async def resume(self, group: str) -> None:
        """Asks the pending replicas of a group once, over new connections."""
        node = self._context.node
        members = self._context.members(group)
        handles = {
            name: MemberHandle(node.wire, node.clock, MemberEndpoint.from_member(members[name]))
            for name in self.pending[group]
            if name in members
        }
        try:
            remaining = await self._resume_pending(group, handles)
        finally:
            for handle in handles.values():
                handle.close()
        await self._finish_round(group, remaining)

    async def _resume_pending(self, group: str, handles: Mapping[str, MemberHandle]) -> set[str]:
        """Asks each pending replica once; returns those that have not answered."""
        pending = self.pending[group]
        members = self._context.members(group)
        for name in sorted(pending):
            departed = name not in members or name not in handles
            if departed or await self._resume_replica(group, handles[name]):
                pending.discard(name)
        return pending

    async def _finish_round(self, group: str, remaining: set[str]) -> None:
        if remaining:
            await self._context.clock.sleep(_RETRY_INTERVAL_US)
        else:
            self.pending.pop(group, None)

    async def _resume_replica(self, group: str, handle: MemberHandle) -> bool:
        """Asks a replica to resume, unless it is counted out.

        Returns:
            Whether the replica needs no further request.
        """
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

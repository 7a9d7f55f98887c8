"""Connections to the members of a group during one leader change."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from petrelhaven.control.failover.group_state import MemberEndpoint
from petrelhaven.control.failover.member_access import REQUEST_TIMEOUT_US, MemberHandle
from petrelhaven.runtime.errors import DeadlineExceeded

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext
    from petrelhaven.control.failover.evidence import MemberStatus

__all__ = ["GroupMembers", "GroupSurvey"]

_FAILED_PRIMARY_TIMEOUT_US = 60_000


@dataclass(frozen=True, slots=True)
class GroupSurvey:
    """The status of every member of a group at the start of an attempt.

    Attributes:
        replicas: All members but the old primary.
        statuses: The status of each replica that answered.
        old_primary: The status of the old primary, or None if it did not answer.
    """

    replicas: list[MemberHandle]
    statuses: dict[str, MemberStatus]
    old_primary: MemberStatus | None

    @property
    def responsive(self) -> list[MemberHandle]:
        """Replicas that answered."""
        return [handle for handle in self.replicas if handle.name in self.statuses]

    @property
    def next_term(self) -> int:
        """A term above that of every member that answered."""
        terms = [status.term for status in self.statuses.values()]
        if self.old_primary is not None:
            terms.append(self.old_primary.term)
        return max(terms, default=0) + 1

    @property
    def promoted_replica(self) -> str | None:
        """The replica that has become the primary, or None."""
        return next((name for name, status in self.statuses.items() if status.is_primary), None)

    @property
    def is_old_primary_leading(self) -> bool:
        """Whether the old primary answered that it is still a primary."""
        return self.old_primary is not None and self.old_primary.is_primary

    def unresponsive(self, excused: Iterable[str]) -> str:
        """Lists the replicas that did not answer and are not excused, each with its error."""
        return ", ".join(
            f"{handle.name} {handle.fault}"
            for handle in self.replicas
            if handle.name not in self.statuses and handle.name not in excused
        )


class GroupMembers:
    """Connections to the members of a group, and requests to several members at once.

    Attributes:
        handles: The connection of each member, by its name.
    """

    def __init__(self, context: FailoverContext, group: str, old_primary: str) -> None:
        """Creates no connection before `refresh`; `old_primary` is the primary to replace."""
        self.handles: dict[str, MemberHandle] = {}
        self._zones: dict[str, str] = {}
        self._context, self._node = context, context.node
        self._group, self._old_primary = group, old_primary

    def close(self) -> None:
        """Closes all connections."""
        for handle in self.handles.values():
            handle.close()

    def refresh(self) -> None:
        """Connects to the members that the group has now, and drops those that left."""
        members = self._context.members(self._group)
        for name in [name for name in self.handles if name not in members]:
            self.handles.pop(name).close()
        for name, member in members.items():
            if name not in self.handles:
                self.handles[name] = MemberHandle(
                    self._node.wire, self._node.clock, MemberEndpoint.from_member(member)
                )
                self._zones[name] = member.zone

    def zone_of(self, name: str) -> str:
        """Returns the zone of a member that was in the group at the last refresh."""
        return self._zones[name]

    async def survey(self, wait_for_old_primary: bool) -> GroupSurvey:
        """Requests the status of all members.

        Without `wait_for_old_primary`, the old primary is presumed failed and gets only a short
        time to answer.
        """
        replicas = self._replicas()
        primary = self.handles.get(self._old_primary)
        if primary is not None and (
            primary.pending_status is None or primary.pending_status.done()
        ):
            primary.pending_status = self._node.tasks.spawn(primary.status())
        statuses = await self._statuses(replicas)
        if primary is None:
            return GroupSurvey(replicas, statuses, None)
        limit_us = REQUEST_TIMEOUT_US if wait_for_old_primary else _FAILED_PRIMARY_TIMEOUT_US
        return GroupSurvey(replicas, statuses, await self._pending_status(primary, limit_us))

    def _replicas(self) -> list[MemberHandle]:
        """Returns all members but the old primary."""
        return [handle for name, handle in self.handles.items() if name != self._old_primary]

    async def _pending_status(self, primary: MemberHandle, limit_us: int) -> MemberStatus | None:
        if primary.pending_status is None:
            return None
        try:
            return await self._node.clock.wait_for(
                primary.pending_status, limit_us, keep_running=True
            )
        except DeadlineExceeded:
            return None

    @staticmethod
    async def _statuses(handles: list[MemberHandle]) -> dict[str, MemberStatus]:
        """Returns the status of each member that answers, by name."""
        answers = await asyncio.gather(*[handle.status() for handle in handles])
        return {
            handle.name: status
            for handle, status in zip(handles, answers, strict=True)
            if status is not None
        }

    def find_excused(self, replicas: Iterable[MemberHandle]) -> list[str]:
        """Returns the replicas that need not answer.

        These are counted out members: those that were paused before they leave, and those that
        don't vote and whose ports are closed.
        """
        members = self._context.members(self._group)
        evidence = self._context.evidence(self._group)
        return [
            handle.name
            for handle in replicas
            if handle.name in evidence.counted_out
            and handle.name in members
            and (
                handle.is_refused
                if handle.name in evidence.non_voting
                else not members[handle.name].is_ready
            )
        ]

    async def are_still_excused(
        self, replicas: list[MemberHandle], responsive: list[MemberHandle]
    ) -> bool:
        """Asks the missing replicas again; returns whether all are still absent and excused."""
        missing = [handle for handle in replicas if handle not in responsive]
        answered = await self._statuses(missing)
        excused = self.find_excused(missing)
        return not answered and all(handle.name in excused for handle in missing)

    async def paused_statuses(
        self, handles: list[MemberHandle], term: int
    ) -> dict[str, MemberStatus] | None:
        """Returns the status of each replica if all are still paused under `term`, else None."""
        statuses = await self._statuses(handles)
        if len(statuses) < len(handles):
            return None
        if any(status.paused_term < term or status.is_primary for status in statuses.values()):
            return None
        return statuses

    @staticmethod
    async def pause(handles: list[MemberHandle], term: int) -> bool:
        """Pauses replicas; returns whether all of them confirmed it."""
        return all(await asyncio.gather(*[handle.pause(term) for handle in handles]))

    def has_membership_changed(self, replicas: list[MemberHandle]) -> bool:
        """Returns whether the group's replicas differ from `replicas`."""
        current = set(self._context.members(self._group)) - {self._old_primary}
        return current != {handle.name for handle in replicas}

    async def pause_joined_members(self, term: int) -> None:
        """Pauses members that joined later, so that none is the only one that receives."""
        known_names = set(self.handles)
        self.refresh()
        for name in sorted(set(self.handles) - known_names):
            await self.handles[name].pause(term)

    async def pause_all(self) -> None:
        """Pauses all replicas, so that the primary can acknowledge no commit."""
        replicas = self._replicas()
        statuses = await self._statuses(replicas)
        term = max((status.term for status in statuses.values()), default=0) + 1
        await self.pause(replicas, term)

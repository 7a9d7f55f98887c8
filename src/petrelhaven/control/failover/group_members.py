"""The members of a group, as one leader change asks them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from petrelhaven.control.failover.group_state import MemberEndpoint
from petrelhaven.control.failover.member_access import REQUEST_US, MemberHandle
from petrelhaven.runtime.errors import DeadlineExceeded

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext
    from petrelhaven.control.failover.evidence import MemberStatus

__all__ = ["GroupMembers", "GroupSurvey"]

_FAILED_PRIMARY_US = 60_000


@dataclass(frozen=True, slots=True)
class GroupSurvey:
    """The status of every member of a group at the begin of one attempt.

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
        """The replicas that answered."""
        return [handle for handle in self.replicas if handle.name in self.statuses]

    @property
    def next_term(self) -> int:
        """A term above that of every member that answered."""
        terms = [status.term for status in self.statuses.values()]
        if self.old_primary is not None:
            terms.append(self.old_primary.term)
        return max(terms, default=0) + 1

    @property
    def promoted(self) -> str | None:
        """A replica that is the primary now."""
        return next((name for name, s in self.statuses.items() if s.is_primary), None)

    @property
    def old_primary_leads(self) -> bool:
        """Whether the old primary answered that it still is one."""
        return self.old_primary is not None and self.old_primary.is_primary

    def unresponsive(self, spared: Iterable[str]) -> str:
        """Replicas that did not answer and are not spared, each with the error; or nothing."""
        return ", ".join(
            f"{handle.name} {handle.fault}"
            for handle in self.replicas
            if handle.name not in self.statuses and handle.name not in spared
        )


class GroupMembers:
    """Connections to the members of a group, and requests to several of them at once.

    Attributes:
        handles: The connection of each member, by its name.
    """

    def __init__(self, context: FailoverContext, group: str, old_primary: str) -> None:
        """Knows nobody before `refresh`; `old_primary` is to be replaced."""
        self.handles: dict[str, MemberHandle] = {}
        self._zones: dict[str, str] = {}
        self._context, self._node = context, context.node
        self._group, self._old_primary = group, old_primary

    def close(self) -> None:
        """Closes all connections."""
        for handle in self.handles.values():
            handle.close()

    def refresh(self) -> None:
        """Takes the members that the group has now."""
        members = self._context.members(self._group)
        for name in [known for known in self.handles if known not in members]:
            self.handles.pop(name).close()
        for name, member in members.items():
            if name not in self.handles:
                self.handles[name] = MemberHandle(
                    self._node.wire, self._node.clock, MemberEndpoint.from_member(member)
                )
                self._zones[name] = member.zone

    def zone_of(self, name: str) -> str:
        """The zone of a member that was in the group at the last refresh."""
        return self._zones[name]

    async def survey(self, patient: bool) -> GroupSurvey:
        """Asks all members for their status.

        An old primary that is taken for failed is not waited for, unless `patient`.
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
        limit_us = REQUEST_US if patient else _FAILED_PRIMARY_US
        return GroupSurvey(replicas, statuses, await self._pending_status(primary, limit_us))

    def _replicas(self) -> list[MemberHandle]:
        """All members but the old primary."""
        return [handle for name, handle in self.handles.items() if name != self._old_primary]

    async def _pending_status(self, primary: MemberHandle, limit_us: int) -> MemberStatus | None:
        if primary.pending_status is None:
            return None
        try:
            return await self._node.clock.limit(primary.pending_status, limit_us, keep=True)
        except DeadlineExceeded:
            return None

    @staticmethod
    async def _statuses(handles: list[MemberHandle]) -> dict[str, MemberStatus]:
        """The status of each member that answers."""
        answers = await asyncio.gather(*[handle.status() for handle in handles])
        return {
            handle.name: status
            for handle, status in zip(handles, answers, strict=True)
            if status is not None
        }

    def spared(self, replicas: Iterable[MemberHandle]) -> list[str]:
        """Who need not answer: members that left paused, and the lost while nobody is there."""
        members = self._context.members(self._group)
        counted_out = self._context.evidence(self._group).counted_out
        return [
            handle.name
            for handle in replicas
            if handle.name in counted_out
            and handle.name in members
            and (handle.is_refused or not members[handle.name].is_ready)
        ]

    async def stay_away(self, replicas: list[MemberHandle], responsive: list[MemberHandle]) -> bool:
        """Whether those that did not answer are still spared, asked once more."""
        missing = [handle for handle in replicas if handle not in responsive]
        answered = await self._statuses(missing)
        spared = self.spared(missing)
        return not answered and all(handle.name in spared for handle in missing)

    async def paused_statuses(
        self, handles: list[MemberHandle], term: int
    ) -> dict[str, MemberStatus] | None:
        """The status of replicas that are all still paused under `term`, or None."""
        statuses = await self._statuses(handles)
        if len(statuses) < len(handles):
            return None
        if any(s.paused_term < term or s.is_primary for s in statuses.values()):
            return None
        return statuses

    @staticmethod
    async def pause(handles: list[MemberHandle], term: int) -> bool:
        """Pauses replicas; whether all of them certainly are."""
        return all(await asyncio.gather(*[handle.pause(term) for handle in handles]))

    def have_changed(self, replicas: list[MemberHandle]) -> bool:
        """Whether the group has other replicas now."""
        now = set(self._context.members(self._group)) - {self._old_primary}
        return now != {handle.name for handle in replicas}

    async def pause_newcomers(self, term: int) -> None:
        """A member that came after the others were paused must not be the only one to receive."""
        known = set(self.handles)
        self.refresh()
        for name in sorted(set(self.handles) - known):
            await self.handles[name].pause(term)

    async def pause_all(self) -> None:
        """Nothing is acknowledged by a primary whose replicas are all paused."""
        replicas = self._replicas()
        statuses = await self._statuses(replicas)
        term = max((status.term for status in statuses.values()), default=0) + 1
        await self.pause(replicas, term)

"""The members of a group as one move of its office asks them."""

import asyncio
from collections.abc import Iterable

from petrelhaven.control.failover.evidence import MemberRow
from petrelhaven.control.failover.interfaces import CoreServices
from petrelhaven.control.failover.member_access import ASK_US, MemberHandle
from petrelhaven.runtime.errors import DeadlineExceeded

__all__ = ["GroupMembers"]

_DARK_PRIMARY_US = 60_000


class GroupMembers:
    """Connections to the members of a group, and questions to several of them at once.

    Attributes:
        handles: The connection of each member, by its name.
    """

    def __init__(self, core: CoreServices, group: str, old: str) -> None:
        """Knows nobody before `refresh`; `old` is the primary that is to be replaced."""
        self.handles: dict[str, MemberHandle] = {}
        self._core, self._group, self._old = core, group, old

    def close(self) -> None:
        """Closes all connections."""
        for handle in self.handles.values():
            handle.close()

    def replicas(self) -> list[MemberHandle]:
        """All members but the old primary."""
        return [handle for name, handle in self.handles.items() if name != self._old]

    def refresh(self) -> None:
        """Takes the members that the group has now."""
        members = self._core.chain.control_state.group(self._group)
        for name in [n for n in self.handles if n not in members]:
            self.handles.pop(name).close()
        for name, facts in members.items():
            if name not in self.handles:
                self.handles[name] = MemberHandle(self._core.wire, self._core.clock, name, facts)

    async def rows(
        self, replicas: list[MemberHandle], patient: bool
    ) -> tuple[MemberRow | None, dict[str, MemberRow]]:
        """The row of the old primary and those of the replicas that answered.

        An old primary that is taken for dark is not waited for, unless `patient`.
        """
        primary = self.handles.get(self._old)
        if primary is not None and (primary.pending is None or primary.pending.done()):
            primary.pending = self._core.tasks.spawn(primary.status())
        answers = await asyncio.gather(*[handle.status() for handle in replicas])
        rows = {h.name: row for h, row in zip(replicas, answers, strict=True) if row is not None}
        if primary is None:
            return None, rows
        return await self._pending_row(primary, ASK_US if patient else _DARK_PRIMARY_US), rows

    async def _pending_row(self, primary: MemberHandle, limit_us: int) -> MemberRow | None:
        try:
            return await self._core.clock.limit(primary.pending, limit_us, keep=True)
        except DeadlineExceeded:
            return None

    def unheard(
        self, replicas: Iterable[MemberHandle], rows: dict[str, MemberRow], spared: Iterable[str]
    ) -> str:
        """Replicas that did not answer and are not spared, each with the fault; or nothing."""
        return ", ".join(
            f"{handle.name} {handle.fault}"
            for handle in replicas
            if handle.name not in rows and handle.name not in spared
        )

    def spared(self, replicas: Iterable[MemberHandle]) -> list[str]:
        """Who need not be heard: those that left paused, and the lost while nobody is there."""
        members = self._core.chain.control_state.group(self._group)
        counted_out = self._core.chain.control_state.evidence(self._group).counted_out
        return [
            handle.name
            for handle in replicas
            if handle.name in counted_out
            and handle.name in members
            and (handle.refuses or members[handle.name]["state"] != "ready")
        ]

    async def stay_away(self, replicas: list[MemberHandle], heard: list[MemberHandle]) -> bool:
        """Whether those that were not heard are still spared, asked once more."""
        missing = [handle for handle in replicas if handle not in heard]
        rows = await asyncio.gather(*[handle.status() for handle in missing])
        spared = self.spared(missing)
        return not any(rows) and all(handle.name in spared for handle in missing)

    async def paused_rows(
        self, handles: list[MemberHandle], term: int
    ) -> dict[str, MemberRow] | None:
        """The rows of replicas that are all still paused under `term`, or None."""
        rows = await asyncio.gather(*[handle.status() for handle in handles])
        if any(row is None or row.held_term < term or row.is_primary for row in rows):
            return None
        return {handle.name: row for handle, row in zip(handles, rows, strict=True)}

    def changed(self, replicas: list[MemberHandle]) -> bool:
        """Whether the group has other replicas now."""
        now = set(self._core.chain.control_state.group(self._group)) - {self._old}
        return now != {handle.name for handle in replicas}

    async def pause_newcomers(self, term: int) -> None:
        """A member that came after the others were paused must not be the only one to receive."""
        known = set(self.handles)
        self.refresh()
        for name in sorted(set(self.handles) - known):
            await self.handles[name].pause(term)

    async def pause_all(self) -> None:
        """Nothing is acknowledged by a primary whose replicas are all paused."""
        replicas = self.replicas()
        rows = await asyncio.gather(*[handle.status() for handle in replicas])
        term = max((row.term for row in rows if row is not None), default=0) + 1
        await asyncio.gather(*[handle.pause(term) for handle in replicas])

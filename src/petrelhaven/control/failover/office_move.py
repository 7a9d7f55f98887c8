"""One move of a group's office: replicas paused, the proof made, the platform asked."""

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING

from petrelhaven.control.failover.evidence import (
    ElectionOrder,
    Evidence,
    MemberRow,
    Proven,
    Unproven,
    decide,
)
from petrelhaven.control.failover.member_access import ASK_US, MemberHandle
from petrelhaven.control.failover.promotion import PromotionRequests
from petrelhaven.runtime.errors import Late, NotHead
from petrelhaven.runtime.events import emit

if TYPE_CHECKING:
    from petrelhaven.control.failover.coordinator import FailoverCoordinator

__all__ = ["OfficeMove"]

_ATTEMPT_US = 60_000
_PLANNED_US = 9_000_000
_STUCK_US = 900_000
_OVERDUE_US = 7_000_000
_DARK_PRIMARY_US = 60_000
_CATCH_UP_US = 1_500_000
_CATCH_UP_TURN_US = 20_000
_GO_ON_US = 1_500_000
_PROMOTE_TURN_US = 40_000


class OfficeMove:
    """Moves the office to a member that provably has every acknowledged commit, or not at all.

    Attributes:
        group: The group's name.
        planned: Whether the old primary still serves and is only to be relieved.
        old: The primary in office when the move began.
    """

    def __init__(
        self, coordinator: "FailoverCoordinator", group: str, planned: bool, cause: str
    ) -> None:
        self.group, self.planned = group, planned
        self._coordinator, self._core = coordinator, coordinator.core
        self._clock, self._log = coordinator.clock, coordinator.core.log
        self._cause = cause
        office = coordinator.office(group)
        self.old = office["primary"]
        self._term = office["term"]
        self._requests = PromotionRequests(coordinator, group, planned)
        self._handles: dict[str, MemberHandle] = {}
        self._entered = 0
        self._old_answers_since: int | None = None
        self._stuck = False

    async def run(self) -> None:
        """Tries until the office has settled or this core is not the active head any more."""
        began = self._clock.now()
        self._entered = await self._requests.enter(stuck=False, cause=self._cause)
        try:
            while self._coordinator.acts:
                self._refresh_handles()
                if await self._attempt():
                    return
                await self._tell_if_stuck(began)
                if self.planned and self.old not in self._handles:
                    self.planned = self._requests.planned = False
                if self.planned and self._clock.now() - began > _PLANNED_US:
                    if await self._give_back("the planned move found no heir in time"):
                        return
                await self._clock.sleep(_ATTEMPT_US)
        finally:
            for handle in self._handles.values():
                handle.close()

    async def _tell_if_stuck(self, began: int) -> None:
        """Has edges tell writers when to come back, once nobody serves and nothing is near."""
        reason = self._coordinator.why.get(self.group)
        bound = _OVERDUE_US if self.planned else _STUCK_US
        if reason and not self._stuck and self._clock.now() - began > bound:
            self._stuck = True
            await self._requests.enter(stuck=True, cause=reason)

    def _refresh_handles(self) -> None:
        members = self._core.chain.realm.group(self.group)
        for name in [n for n in self._handles if n not in members]:
            self._handles.pop(name).close()
        for name, facts in members.items():
            if name not in self._handles:
                self._handles[name] = MemberHandle(self._core.wire, self._clock, name, facts)

    def _evidence(self) -> Evidence:
        return self._core.chain.realm.evidence(self.group)

    def _waits(self, reason: str) -> bool:
        self._coordinator.waits(self.group, reason)
        return False

    async def _attempt(self) -> bool:
        """One attempt; true once the office has settled."""
        replicas = [handle for name, handle in self._handles.items() if name != self.old]
        old_row, rows = await self._rows(replicas)
        if not self.planned and self._stays_in_office(old_row):
            return await self._give_back("the primary answers again")
        leading = next((n for n, row in rows.items() if row.is_primary), None)
        if leading is not None:
            return await self._settle(self._handles[leading])
        known = [*rows.values(), *([old_row] if old_row is not None else [])]
        term = max((row.term for row in known), default=0) + 1
        if self.planned and old_row is not None and old_row.is_primary:
            return await self._relieve(replicas, rows, term)
        return await self._replace(replicas, rows, term)

    def _stays_in_office(self, old_row: MemberRow | None) -> bool:
        """Whether the old primary leads and the move is better taken back than carried on.

        Once the platform was asked, taking it back takes longer: it is done only if the move does
        not get on.
        """
        if old_row is None or not old_row.is_primary:
            self._old_answers_since = None
            return False
        now = self._clock.now()
        if self._old_answers_since is None:
            self._old_answers_since = now
        return not self._requests.requested or now - self._old_answers_since > _GO_ON_US

    async def _rows(
        self, replicas: list[MemberHandle]
    ) -> tuple[MemberRow | None, dict[str, MemberRow]]:
        """The row of the old primary and those of the replicas that answered."""
        primary = self._handles.get(self.old)
        if primary is not None and (primary.pending is None or primary.pending.done()):
            primary.pending = self._core.nest.spawn(primary.status())
        answers = await asyncio.gather(*[handle.status() for handle in replicas])
        rows = {h.name: row for h, row in zip(replicas, answers, strict=True) if row is not None}
        return await self._old_row(primary), rows

    async def _old_row(self, primary: MemberHandle | None) -> MemberRow | None:
        """The old primary's row; one that is taken for dark is not waited for."""
        if primary is None:
            return None
        bound = ASK_US if self.planned else _DARK_PRIMARY_US
        try:
            return await self._clock.limit(primary.pending, bound, keep=True)
        except Late:
            return None

    def _unheard(
        self, replicas: Iterable[MemberHandle], rows: dict[str, MemberRow], spared: Iterable[str]
    ) -> str:
        """Replicas that did not answer and are not spared, each with the fault; or nothing."""
        return ", ".join(
            f"{handle.name} {handle.fault}"
            for handle in replicas
            if handle.name not in rows and handle.name not in spared
        )

    async def _relieve(
        self, replicas: list[MemberHandle], rows: dict[str, MemberRow], term: int
    ) -> bool:
        """A planned move: only the heir goes on receiving, until it has what the primary has.

        One that is counted out must be heard too: while the primary serves, a restart would end
        its pause and let it receive.
        """
        unheard = self._unheard(replicas, rows, spared=())
        if unheard or not rows:
            return self._waits("not heard: " + unheard)
        left = ", ".join(self._evidence().unproven_beside(self.old))
        if left:
            return self._waits("members that left are looked at: " + left)
        heir = self._heir_of_planned(rows)
        if heir is None:
            return self._waits("no heir for a planned move")
        if self._requests.pending_besides(heir.name):
            return await self._give_back("another member may still be promoted")
        async with self._coordinator.pause_lock(self.group):
            self._coordinator.heirs[self.group] = heir.name
            row = await heir.status()
            if row is None or (row.held_term and not await heir.resume()):
                return False
        others = [h for h in replicas if h is not heir and h.name in rows]
        if not all(await asyncio.gather(*[h.pause(term) for h in others])):
            return self._waits("a replica could not be paused")
        if not await self._catches_up(heir):
            return self._waits(f"{heir.name} catches up with {self.old}")
        await self._requests.announce(heir.name, self._stuck)
        await self._core.desk.in_force(self._entered)
        if not await self._still_holds(heir, others, replicas, term):
            return self._waits("what was paused is not any more")
        return await self._promote(heir, term)

    async def _still_holds(
        self,
        heir: MemberHandle,
        others: list[MemberHandle],
        replicas: list[MemberHandle],
        term: int,
    ) -> bool:
        """Whether only the heir receives and it stays, as it was before the wait for the edges."""
        row = await heir.status()
        if row is None or row.held_term or self._members_changed(replicas):
            return False
        if heir.name not in self._coordinator.staying(self.group, self.old):
            return False
        return await self._paused_rows(others, term) is not None

    def _heir_of_planned(self, rows: dict[str, MemberRow]) -> MemberHandle | None:
        staying = set(self._coordinator.staying(self.group, self.old))
        names = [n for n in rows if n in staying]
        names = [n for n in names if n in self._requests.requested] or names
        names = [n for n in names if not rows[n].held_term] or names
        name = max(names, key=lambda n: (rows[n].position, n), default=None)
        return self._handles[name] if name is not None else None

    async def _catches_up(self, heir: MemberHandle) -> bool:
        """Whether the heir holds all that the primary had after the others were paused."""
        primary = await self._handles[self.old].status()
        if primary is None or not primary.is_primary:
            return False
        end = self._clock.now() + _CATCH_UP_US
        while self._clock.now() < end:
            row = await heir.status()
            if row is None:
                return False
            if row.position >= primary.position:
                return True
            await self._clock.sleep(_CATCH_UP_TURN_US)
        return False

    async def _replace(
        self, replicas: list[MemberHandle], rows: dict[str, MemberRow], term: int
    ) -> bool:
        """A crash move: all replicas are paused, and the highest log is elected if that is proof."""
        order = self._evidence().order
        if order is not None:
            return await self._obey(order, replicas, rows, term)
        unheard = self._unheard(replicas, rows, spared=self._spared(replicas))
        if unheard or not replicas:
            await self._count_out_leaving(replicas, rows, term)
            return self._waits("not heard: " + unheard)
        heard = [h for h in replicas if h.name in rows]
        if not all(await asyncio.gather(*[h.pause(term) for h in heard])):
            return self._waits("a replica could not be paused")
        await self._count_out_leaving(replicas, rows, term)
        verdict = self._decide(replicas, {h.name: h.row for h in heard})
        if isinstance(verdict, Unproven):
            return self._waits_for_proof(verdict)
        heir = self._preferred(verdict.candidates)
        await self._requests.announce(heir.name, self._stuck)
        await self._core.desk.in_force(self._entered)
        again = await self._paused_rows(heard, term)
        if again is None or self._members_changed(replicas):
            return self._waits("what was paused is not any more")
        if not await self._stay_away(replicas, heard):
            return self._waits("a member that was lost is back")
        verdict = self._decide(replicas, again)
        if isinstance(verdict, Unproven) or heir.name not in verdict.candidates:
            return self._waits("what was paused is not any more")
        return await self._promote(heir, term)

    def _spared(self, replicas: Iterable[MemberHandle]) -> list[str]:
        """Who need not be heard: those that left paused, and the lost while nobody is there."""
        members = self._core.chain.realm.group(self.group)
        counted_out = self._evidence().counted_out
        return [
            handle.name
            for handle in replicas
            if handle.name in counted_out
            and handle.name in members
            and (handle.refuses or members[handle.name]["state"] != "ready")
        ]

    async def _stay_away(self, replicas: list[MemberHandle], heard: list[MemberHandle]) -> bool:
        """Whether those that were not heard are still spared, asked once more."""
        missing = [handle for handle in replicas if handle not in heard]
        rows = await asyncio.gather(*[handle.status() for handle in missing])
        spared = self._spared(missing)
        return not any(rows) and all(handle.name in spared for handle in missing)

    def _decide(
        self, replicas: list[MemberHandle], rows: dict[str, MemberRow]
    ) -> Proven | Unproven:
        return decide(self._evidence(), self.old, [h.name for h in replicas], rows)

    def _waits_for_proof(self, verdict: Unproven) -> bool:
        reason = verdict.reason
        if verdict.lost_copies:
            reason += "; waits for it or the primary, or for petrelhavenctl elect"
            if self._coordinator.why.get(self.group) != reason:
                emit(self._log, 343, group=self.group, primary=self.old, note=verdict.reason)
        return self._waits(reason)

    def _preferred(self, candidates: Iterable[str]) -> MemberHandle:
        """Among equals one that was asked for before, one that stays, one in this core's zone."""
        staying = set(self._coordinator.staying(self.group, self.old))

        def rank(handle: MemberHandle) -> tuple:
            return (
                handle.name not in self._requests.requested,
                handle.name not in staying,
                handle.facts["hall"] != self._core.hall,
                handle.name,
            )

        return min([self._handles[n] for n in candidates], key=rank)

    async def _count_out_leaving(
        self, replicas: list[MemberHandle], rows: dict[str, MemberRow], term: int
    ) -> None:
        """Pauses and records the members that leave: their logs may go with them at any time."""
        members = self._core.chain.realm.group(self.group)
        counted_out = self._evidence().counted_out
        for handle in replicas:
            facts = members.get(handle.name)
            if facts is None or facts["state"] != "draining" or handle.name not in rows:
                continue
            row = handle.row
            if row.held_term < term:
                row = await handle.pause(term)
            if row is not None and counted_out.get(handle.name) != row.position:
                await self._coordinator.record_counted_out(self.group, handle.name, row.position)

    async def _paused_rows(
        self, handles: list[MemberHandle], term: int
    ) -> dict[str, MemberRow] | None:
        """The rows of replicas that are all still paused under `term`, or None."""
        rows = await asyncio.gather(*[handle.status() for handle in handles])
        if any(row is None or row.held_term < term or row.is_primary for row in rows):
            return None
        return {handle.name: row for handle, row in zip(handles, rows, strict=True)}

    def _members_changed(self, replicas: list[MemberHandle]) -> bool:
        now = set(self._core.chain.realm.group(self.group)) - {self.old}
        return now != {handle.name for handle in replicas}

    async def _obey(
        self,
        order: ElectionOrder,
        replicas: list[MemberHandle],
        rows: dict[str, MemberRow],
        term: int,
    ) -> bool:
        """Elects the member that an operator named, whatever is lost by that."""
        heir = self._handles.get(order.member)
        if heir is None or order.member not in rows:
            return self._waits(f"{order.member}, ordered by {order.by}, is not heard")
        others = [h for h in replicas if h is not heir and h.name in rows]
        await asyncio.gather(*[h.pause(term) for h in others])
        await self._requests.announce(heir.name, self._stuck)
        await self._core.desk.in_force(self._entered)
        emit(self._log, 344, group=self.group, member=order.member, by=order.by)
        return await self._promote(heir, term, accepted_loss=order.by)

    async def _promote(self, heir: MemberHandle, term: int, accepted_loss: str = "") -> bool:
        if not self._coordinator.acts:
            raise NotHead("not the active head any more")
        position = heir.row.position
        emit(self._log, 326, group=self.group, heir=heir.name, pos=position)
        end = self._clock.now() + await self._requests.send(heir.name)
        while self._clock.now() < end:
            row = await heir.status()
            if row is not None and row.is_primary:
                return await self._settle(heir, accepted_loss)
            await self._pause_newcomers(term)
            await self._clock.sleep(_PROMOTE_TURN_US)
        return False

    async def _pause_newcomers(self, term: int) -> None:
        """A member that came after the others were paused must not be the only one to receive."""
        known = set(self._handles)
        self._refresh_handles()
        for name in sorted(set(self._handles) - known):
            await self._handles[name].pause(term)

    async def _settle(self, heir: MemberHandle, accepted_loss: str = "") -> bool:
        """Records who leads, once nobody else can be promoted; whether that is so."""
        if self._requests.pending_besides(heir.name):
            await self._requests.fence_off(heir.name, self._stuck)
            if not await self._leads(heir):
                return False
        row = heir.row
        await self._coordinator.enter_office(
            self.group,
            "serve",
            heir.name,
            row.term,
            f"elected after {self.old}",
            position=row.position,
            accepted_loss=accepted_loss,
        )
        emit(self._log, 324, group=self.group, primary=heir.name, term=row.term)
        others = {name for name in self._handles if name != heir.name}
        await self._coordinator.settled(self.group, others, self._handles)
        return True

    async def _give_back(self, cause: str) -> bool:
        """The old primary stays in office, if it still leads once nobody else can be promoted."""
        if self._requests.requested:
            await self._pause_all()
            await self._requests.fence_off(self.old, self._stuck)
            if not await self._leads(self._handles[self.old]):
                return False
        await self._coordinator.enter_office(self.group, "serve", self.old, self._term, cause)
        others = {name for name in self._handles if name != self.old}
        await self._coordinator.given_back(self.group, others, self._handles)
        return True

    @staticmethod
    async def _leads(handle: MemberHandle) -> bool:
        row = await handle.status()
        return row is not None and row.is_primary

    async def _pause_all(self) -> None:
        """Nothing is acknowledged by a primary whose replicas are all paused."""
        replicas = [handle for name, handle in self._handles.items() if name != self.old]
        rows = await asyncio.gather(*[handle.status() for handle in replicas])
        term = max((row.term for row in rows if row is not None), default=0) + 1
        await asyncio.gather(*[handle.pause(term) for handle in replicas])

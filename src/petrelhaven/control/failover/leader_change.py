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
from petrelhaven.control.failover.group_members import GroupMembers
from petrelhaven.control.failover.member_access import MemberHandle
from petrelhaven.control.failover.promotion import PromotionRequests
from petrelhaven.runtime.errors import NotHead
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.failover.coordinator import FailoverCoordinator

__all__ = ["LeaderChange"]

_ATTEMPT_US = 60_000
_PLANNED_US = 9_000_000
_STUCK_US = 900_000
_OVERDUE_US = 7_000_000
_CATCH_UP_US = 1_500_000
_CATCH_UP_TURN_US = 20_000
_GO_ON_US = 1_500_000
_PROMOTE_TURN_US = 40_000


class LeaderChange:
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
        leadership = coordinator.leadership(group)
        self.old = leadership["primary"]
        self._term = leadership["term"]
        self._requests = PromotionRequests(coordinator, group, planned)
        self._members = GroupMembers(coordinator.core, group, self.old)
        self._entered = 0
        self._old_answers_since: int | None = None
        self._stuck = False

    async def run(self) -> None:
        """Tries until the office has settled or this core is not the active head any more."""
        began = self._clock.now()
        self._entered = await self._requests.enter(stuck=False, cause=self._cause)
        try:
            while self._coordinator.acts:
                self._members.refresh()
                if await self._attempt():
                    return
                await self._tell_if_stuck(began)
                if self.planned and self.old not in self._members.handles:
                    self.planned = self._requests.planned = False
                if self.planned and self._clock.now() - began > _PLANNED_US:
                    if await self._give_back("the planned move found no heir in time"):
                        return
                await self._clock.sleep(_ATTEMPT_US)
        finally:
            self._members.close()

    async def _tell_if_stuck(self, began: int) -> None:
        """Has edges tell writers when to come back, once nobody serves and nothing is near."""
        reason = self._coordinator.why.get(self.group)
        bound = _OVERDUE_US if self.planned else _STUCK_US
        if reason and not self._stuck and self._clock.now() - began > bound:
            self._stuck = True
            await self._requests.enter(stuck=True, cause=reason)

    def _evidence(self) -> Evidence:
        return self._core.chain.control_state.evidence(self.group)

    def _waits(self, reason: str) -> bool:
        self._coordinator.waits(self.group, reason)
        return False

    async def _attempt(self) -> bool:
        """One attempt; true once the office has settled."""
        replicas = self._members.replicas()
        old_row, rows = await self._members.rows(replicas, patient=self.planned)
        if not self.planned and self._stays_in_leadership(old_row):
            return await self._give_back("the primary answers again")
        leading = next((n for n, row in rows.items() if row.is_primary), None)
        if leading is not None:
            return await self._settle(self._members.handles[leading])
        known = [*rows.values(), *([old_row] if old_row is not None else [])]
        term = max((row.term for row in known), default=0) + 1
        if self.planned and old_row is not None and old_row.is_primary:
            return await self._relieve(replicas, rows, term)
        return await self._replace(replicas, rows, term)

    def _stays_in_leadership(self, old_row: MemberRow | None) -> bool:
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

    async def _relieve(
        self, replicas: list[MemberHandle], rows: dict[str, MemberRow], term: int
    ) -> bool:
        """A planned move: only the heir goes on receiving, until it has what the primary has.

        One that is counted out must be heard too: while the primary serves, a restart would end
        its pause and let it receive.
        """
        unheard = self._members.unheard(replicas, rows, spared=())
        if unheard or not rows:
            return self._waits("not heard: " + unheard)
        left = ", ".join(self._evidence().unproven_beside(self.old))
        if left:
            return self._waits("members that left are looked at: " + left)
        candidate = self._candidate_of_planned(rows)
        if candidate is None:
            return self._waits("no heir for a planned move")
        if self._requests.pending_besides(candidate.name):
            return await self._give_back("another member may still be promoted")
        async with self._coordinator.pause_lock(self.group):
            self._coordinator.candidates[self.group] = candidate.name
            row = await candidate.status()
            if row is None or (row.held_term and not await candidate.resume()):
                return False
        others = [h for h in replicas if h is not candidate and h.name in rows]
        if not all(await asyncio.gather(*[h.pause(term) for h in others])):
            return self._waits("a replica could not be paused")
        if not await self._catches_up(candidate):
            return self._waits(f"{candidate.name} catches up with {self.old}")
        await self._requests.announce(candidate.name, self._stuck)
        await self._core.lease_table.in_force(self._entered)
        if not await self._still_holds(candidate, others, replicas, term):
            return self._waits("what was paused is not any more")
        return await self._promote(candidate, term)

    async def _still_holds(
        self,
        candidate: MemberHandle,
        others: list[MemberHandle],
        replicas: list[MemberHandle],
        term: int,
    ) -> bool:
        """Whether only the heir receives and it stays, as it was before the wait for the edges."""
        row = await candidate.status()
        if row is None or row.held_term or self._members.changed(replicas):
            return False
        if candidate.name not in self._coordinator.staying(self.group, self.old):
            return False
        return await self._members.paused_rows(others, term) is not None

    def _candidate_of_planned(self, rows: dict[str, MemberRow]) -> MemberHandle | None:
        staying = set(self._coordinator.staying(self.group, self.old))
        names = [n for n in rows if n in staying]
        names = [n for n in names if n in self._requests.requested] or names
        names = [n for n in names if not rows[n].held_term] or names
        name = max(names, key=lambda n: (rows[n].position, n), default=None)
        return self._members.handles[name] if name is not None else None

    async def _catches_up(self, candidate: MemberHandle) -> bool:
        """Whether the heir holds all that the primary had after the others were paused."""
        primary = await self._members.handles[self.old].status()
        if primary is None or not primary.is_primary:
            return False
        end = self._clock.now() + _CATCH_UP_US
        while self._clock.now() < end:
            row = await candidate.status()
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
        unheard = self._members.unheard(replicas, rows, spared=self._members.spared(replicas))
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
        candidate = self._preferred(verdict.candidates)
        await self._requests.announce(candidate.name, self._stuck)
        await self._core.lease_table.in_force(self._entered)
        again = await self._members.paused_rows(heard, term)
        if again is None or self._members.changed(replicas):
            return self._waits("what was paused is not any more")
        if not await self._members.stay_away(replicas, heard):
            return self._waits("a member that was lost is back")
        verdict = self._decide(replicas, again)
        if isinstance(verdict, Unproven) or candidate.name not in verdict.candidates:
            return self._waits("what was paused is not any more")
        return await self._promote(candidate, term)

    def _decide(
        self, replicas: list[MemberHandle], rows: dict[str, MemberRow]
    ) -> Proven | Unproven:
        return decide(self._evidence(), self.old, [h.name for h in replicas], rows)

    def _waits_for_proof(self, verdict: Unproven) -> bool:
        reason = verdict.reason
        if verdict.lost_copies:
            reason += "; waits for it or the primary, or for petrelhavenctl elect"
            if self._coordinator.why.get(self.group) != reason:
                emit(self._log, Events.GROUP_WAITS_FOR_PROOF, group=self.group, primary=self.old, note=verdict.reason)
        return self._waits(reason)

    def _preferred(self, candidates: Iterable[str]) -> MemberHandle:
        """Among equals one that was asked for before, one that stays, one in this core's zone."""
        staying = set(self._coordinator.staying(self.group, self.old))

        def rank(handle: MemberHandle) -> tuple:
            return (
                handle.name not in self._requests.requested,
                handle.name not in staying,
                handle.facts["hall"] != self._core.zone,
                handle.name,
            )

        return min([self._members.handles[n] for n in candidates], key=rank)

    async def _count_out_leaving(
        self, replicas: list[MemberHandle], rows: dict[str, MemberRow], term: int
    ) -> None:
        """Pauses and records the members that leave: their logs may go with them at any time."""
        members = self._core.chain.control_state.group(self.group)
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

    async def _obey(
        self,
        order: ElectionOrder,
        replicas: list[MemberHandle],
        rows: dict[str, MemberRow],
        term: int,
    ) -> bool:
        """Elects the member that an operator named, whatever is lost by that."""
        candidate = self._members.handles.get(order.member)
        if candidate is None or order.member not in rows:
            return self._waits(f"{order.member}, ordered by {order.by}, is not heard")
        others = [h for h in replicas if h is not candidate and h.name in rows]
        await asyncio.gather(*[h.pause(term) for h in others])
        await self._requests.announce(candidate.name, self._stuck)
        await self._core.lease_table.in_force(self._entered)
        emit(self._log, Events.MEMBER_ELECTED_BY_ORDER, group=self.group, member=order.member, by=order.by)
        return await self._promote(candidate, term, accepted_loss=order.by)

    async def _promote(self, candidate: MemberHandle, term: int, accepted_loss: str = "") -> bool:
        if not self._coordinator.acts:
            raise NotHead("not the active head any more")
        position = candidate.row.position
        emit(self._log, Events.CANDIDATE_CHOSEN, group=self.group, candidate=candidate.name, pos=position)
        end = self._clock.now() + await self._requests.send(candidate.name)
        while self._clock.now() < end:
            row = await candidate.status()
            if row is not None and row.is_primary:
                return await self._settle(candidate, accepted_loss)
            await self._members.pause_newcomers(term)
            await self._clock.sleep(_PROMOTE_TURN_US)
        return False

    async def _settle(self, candidate: MemberHandle, accepted_loss: str = "") -> bool:
        """Records who leads, once nobody else can be promoted; whether that is so."""
        if self._requests.pending_besides(candidate.name):
            await self._requests.fence_off(candidate.name, self._stuck)
            if not await self._leads(candidate):
                return False
        row = candidate.row
        await self._coordinator.enter_leadership(
            self.group,
            "serve",
            candidate.name,
            row.term,
            f"elected after {self.old}",
            position=row.position,
            accepted_loss=accepted_loss,
        )
        emit(self._log, Events.PRIMARY_PROMOTED, group=self.group, primary=candidate.name, term=row.term)
        others = {name for name in self._members.handles if name != candidate.name}
        await self._coordinator.settled(self.group, others, self._members.handles)
        return True

    async def _give_back(self, cause: str) -> bool:
        """The old primary stays in office, if it still leads once nobody else can be promoted."""
        if self._requests.requested:
            await self._members.pause_all()
            await self._requests.fence_off(self.old, self._stuck)
            if not await self._leads(self._members.handles[self.old]):
                return False
        await self._coordinator.enter_leadership(self.group, "serve", self.old, self._term, cause)
        others = {name for name in self._members.handles if name != self.old}
        await self._coordinator.given_back(self.group, others, self._members.handles)
        return True

    @staticmethod
    async def _leads(handle: MemberHandle) -> bool:
        row = await handle.status()
        return row is not None and row.is_primary

"""The duty that keeps a primary in office for each group; only the active head acts."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from petrelhaven.control.failover.departures import DepartureWatch
from petrelhaven.control.failover.evidence import Position
from petrelhaven.control.failover.interfaces import CoreServices, Platform
from petrelhaven.control.failover.leader_change import LeaderChange
from petrelhaven.control.failover.member_access import MemberHandle
from petrelhaven.control.failover.observation import Observer
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit

__all__ = ["FailoverCoordinator"]

_TURN_US = 100_000
_CALM_US = 600_000
_SETTLED_CALM_US = 1_000_000
_FRUITLESS_US = 4_000_000
_FRUITLESS_MOST = 2
_FAULT_PAUSE_US = 200_000
_ADOPT_PAUSE_US = 300_000
_RESUME_PAUSE_US = 200_000
_SILENT_HEARTBEATS = 2.3
_FORGOTTEN_HEARTBEATS = 12


class FailoverCoordinator:
    """Decides for each group what is to be done now; one task at a time works on a group.

    Attributes:
        why: For each group that waits, the reason.
        heirs: The member that is to take each moving office over; it must go on receiving.
    """

    def __init__(self, core: CoreServices, platform: Platform) -> None:
        self.core, self.platform = core, platform
        self.clock = core.clock
        self.why: dict[str, str] = {}
        self.candidates: dict[str, str] = {}
        self.observer = Observer(core)
        self.answer_look = self.observer.answer
        self.log = core.log
        self._tasks = {}
        self._suspicions: dict[str, str] = {}
        self._calm_until = {}
        self._fruitless = {}
        self._to_resume: dict[str, set[str]] = {}
        self._pause_locks: dict[str, asyncio.Lock] = {}
        self._departures = DepartureWatch(self)
        self._began = False

    @property
    def acts(self) -> bool:
        """Whether this core is the active head."""
        return bool(self.core.chain.head and self.core.chain.active)

    @property
    def _leaderships(self) -> dict:
        return self.core.chain.control_state.doc["offices"]

    def leadership(self, group: str) -> dict:
        """The office of a group, as recorded."""
        return self._leaderships[group]

    def pause_lock(self, group: str) -> asyncio.Lock:
        """Held while replicas of the group are paused or resumed together with their records."""
        return self._pause_locks.setdefault(group, asyncio.Lock())

    def suspect(self, group: str, member: str, how: str) -> None:
        """Takes a doubt about a primary, or about a replica that nobody hears of any more."""
        leadership = self._leaderships.get(group)
        if leadership and leadership["primary"] == member:
            self._suspicions.setdefault(group, how)
        elif leadership:
            self._departures.suspect(group, member)

    async def run(self) -> None:
        """Works for good; every core watches the beats that it hears itself."""
        while True:
            await self.clock.sleep(_TURN_US)
            chain = self.core.chain
            if chain.control_state.configuration is None:
                continue
            self._suspect_silent_primaries()
            self._suspect_silent_replicas()
            self._departures.observe()
            if not self.acts:
                self._stand_down()
                continue
            if not self._began:
                self._take_over()
            self._departures.turn()
            for group in chain.control_state.configuration["groups"]:
                if group["name"] not in self._tasks:
                    self._attend(group["name"])

    def _stand_down(self) -> None:
        if self._began:
            self._departures.stop()
            self.candidates.clear()
        self._began = False
        self._suspicions.clear()

    def _take_over(self) -> None:
        """A new head can't know which replicas the former one left paused."""
        self._began = True
        control_state = self.core.chain.control_state
        self._to_resume = {
            group: set(control_state.group(group)) - {leadership["primary"]}
            for group, leadership in self._leaderships.items()
        }

    def _suspect_silent_primaries(self) -> None:
        now, heartbeat_us = self.clock.now(), self.core.heartbeat_us
        for group, leadership in self._leaderships.items():
            heard_at, _ = self.core.heard.get(leadership["primary"], (None, 0))
            if heard_at is None or leadership["phase"] != "serve":
                continue
            silent_us = now - heard_at
            if (
                not _SILENT_HEARTBEATS * heartbeat_us
                < silent_us
                < _FORGOTTEN_HEARTBEATS * heartbeat_us
            ):
                continue
            key = ("beat", group)
            if self._calm_until.get(key, 0) <= now:
                self._calm_until[key] = now + heartbeat_us
                del self.core.heard[leadership["primary"]]
                self.core.tasks.spawn(self.core.suspect(group, leadership["primary"], "no beats"))

    def _suspect_silent_replicas(self) -> None:
        """Tells the head once of each replica whose beats this core heard and hears no longer."""
        now, heartbeat_us = self.clock.now(), self.core.heartbeat_us
        members = self.core.chain.control_state.doc["members"]
        primaries = {leadership["primary"] for leadership in self._leaderships.values()}
        for name, (heard_at, _) in list(self.core.heard.items()):
            facts = members.get(name)
            if facts is None or facts["state"] != "ready" or name in primaries:
                continue
            if (
                _SILENT_HEARTBEATS * heartbeat_us
                < now - heard_at
                < _FORGOTTEN_HEARTBEATS * heartbeat_us
            ):
                del self.core.heard[name]
                self.core.tasks.spawn(self.core.suspect(facts["group"], name, "no beats"))

    def _start(self, group: str, work: Callable[..., Awaitable], *args: object) -> None:
        async def run() -> None:
            try:
                await work(group, *args)
            except Fault as e:
                emit(self.log, Events.RECORD_DECLINED, what=group, fault=e.code, note=e.note)
                await self.clock.sleep(_FAULT_PAUSE_US)
            finally:
                self._tasks.pop(group, None)

        self._tasks[group] = self.core.tasks.spawn(run())

    def _attend(self, group: str) -> None:
        """Starts what the group needs now, if anything."""
        leadership = self._leaderships.get(group)
        members = self.core.chain.control_state.group(group)
        if leadership is None:
            self._begin_leadership(group, members)
        elif leadership["phase"] != "serve":
            self._start(group, self._move, leadership["phase"] == "swap", leadership["cause"])
        else:
            self._attend_serving(group, leadership["primary"], members)

    def _begin_leadership(self, group: str, members: dict) -> None:
        announced = [
            n for n, m in members.items() if m["role"] == "primary" and m["state"] == "ready"
        ]
        if announced:
            cause = "announced as primary"
            self._start(group, self.enter_leadership, "serve", announced[0], 0, cause)

    def _attend_serving(self, group: str, primary: str, members: dict) -> None:
        facts = members.get(primary)
        other = any(m["role"] == "primary" and n != primary for n, m in members.items())
        if other and (facts is None or facts["role"] == "replica"):
            self._start(group, self._adopt)
        elif facts is None:
            self._start(group, self._move, False, "the primary has left")
        elif group in self._suspicions and self._calm_until.get(group, 0) <= self.clock.now():
            self._start(group, self._look_into, facts, self._suspicions.pop(group))
        elif self._starts_planned_move(group, primary, facts):
            return
        elif group in self._to_resume:
            self._start(group, self._resume)

    def _starts_planned_move(self, group: str, primary: str, facts: dict) -> bool:
        draining = facts["state"] == "draining"
        if not draining and self.core.chain.control_state.zone(facts["hall"]) == "open":
            return False
        if not self.staying(group, primary):
            self.why[group] = "no heir for a planned move"
            return False
        cause = "the primary is draining" if draining else f"hall {facts['hall']} is emptied"
        self._start(group, self._move, True, cause)
        return True

    def staying(self, group: str, primary: str) -> list[str]:
        """Replicas that may take the office over: ready, in an open hall."""
        control_state = self.core.chain.control_state
        return [
            n
            for n, m in control_state.group(group).items()
            if n != primary and m["state"] == "ready" and control_state.zone(m["hall"]) == "open"
        ]

    async def enter_leadership(
        self,
        group: str,
        phase: str,
        primary: str,
        term: int,
        cause: str,
        *,
        stuck: bool = False,
        position: Position | None = None,
        accepted_loss: str = "",
        requested: Iterable[str] = (),
    ) -> int:
        """Enters a record of the office; its number is the fence of what follows."""
        leadership = self._leaderships.get(group)
        record = {
            "t": "office",
            "group": group,
            "n": (leadership["n"] if leadership else 0) + 1,
            "phase": phase,
            "primary": primary,
            "term": term,
            "cause": cause,
            "by": self.core.name,
            "stuck": stuck,
        }
        if position is not None:
            record["pos"] = list(position)
        if accepted_loss:
            record["accepted_loss"] = accepted_loss
        if requested:
            record["requested"] = list(requested)
        number = await self.core.chain.enter(record)
        event = Events.LEADERSHIP_CHANGED if phase == "serve" else Events.GROUP_HALTED
        emit(self.log, event, group=group, phase=phase, primary=primary, term=term, cause=cause)
        return number

    async def record_counted_out(self, group: str, member: str, position: Position | None) -> None:
        """Records that a leaving member is paused at `position`, or receives again."""
        record = {
            "t": "evidence",
            "group": group,
            "what": "counted_out",
            "member": member,
            "pos": list(position) if position is not None else None,
        }
        await self.core.chain.enter(record)
        if position is not None:
            emit(self.log, Events.MEMBER_COUNTED_OUT, group=group, member=member, pos=position)
        else:
            emit(self.log, Events.MEMBER_COUNTED_AGAIN, group=group, member=member)

    def waits(self, group: str, reason: str) -> None:
        """Notes why a group waits, and tells it once."""
        if self.why.get(group) != reason:
            emit(self.log, Events.LEADER_CHANGE_WAITS, group=group, note=reason)
        self.why[group] = reason

    async def _look_into(self, group: str, facts: dict, suspect: str) -> None:
        """Several cores look at a doubted primary; one that reaches it leaves the office alone."""
        primary = self.leadership(group)["primary"]
        survey = await self.observer.survey(primary, facts)
        seen = ",".join(survey.seen)
        emit(self.log, Events.PRIMARY_CHECKED, group=group, primary=primary, suspect=suspect, seen=seen)
        if survey.up:
            if survey.says_replica:
                await self._find_primary(group)
            self._note_fruitless(group)
        elif not survey.is_majority:
            self.why[group] = "too few cores to tell whether the primary is dark"
        else:
            await self._move(group, False, f"{suspect}; seen {seen}")

    def _note_fruitless(self, group: str) -> None:
        """Doubts that come again soon after a look in vain are looked into less often."""
        now = self.clock.now()
        at, count = self._fruitless.get(group, (0, 0))
        count = min(count + 1, _FRUITLESS_MOST) if now - at < _FRUITLESS_US else 0
        self._fruitless[group] = (now, count)
        self._calm_until[group] = now + (_CALM_US << count)

    async def _find_primary(self, group: str) -> None:
        """Records the member that says itself that it leads, if the office names another."""
        primary = self.leadership(group)["primary"]
        for name, facts in self.core.chain.control_state.group(group).items():
            handle = MemberHandle(self.core.wire, self.clock, name, facts)
            row = await handle.status()
            handle.close()
            if row is not None and row.is_primary and name != primary:
                await self.enter_leadership(
                    group, "serve", name, row.term, "found in office", position=row.position
                )
                return

    async def _adopt(self, group: str) -> None:
        await self._find_primary(group)
        await self.clock.sleep(_ADOPT_PAUSE_US)

    async def _move(self, group: str, planned: bool, cause: str) -> None:
        self.why.pop(group, None)
        await LeaderChange(self, group, planned, cause).run()

    async def settled(
        self, group: str, others: Iterable[str], handles: dict[str, MemberHandle]
    ) -> None:
        """A new primary is in office."""
        self.candidates.pop(group, None)
        self.why.pop(group, None)
        self._calm_until[group] = self.clock.now() + _SETTLED_CALM_US
        self._suspicions.pop(group, None)
        self._to_resume[group] = set(others)
        await self._resume(group, handles)

    async def given_back(
        self, group: str, others: Iterable[str], handles: dict[str, MemberHandle]
    ) -> None:
        """The old primary stays in office."""
        self.candidates.pop(group, None)
        self.why.pop(group, None)
        self._calm_until[group] = self.clock.now() + _CALM_US
        self._to_resume[group] = set(others)
        await self._resume(group, handles)

    def resume_later(self, group: str, member: str) -> None:
        """A replica that may be paused is asked again until it has answered."""
        self._to_resume.setdefault(group, set()).add(member)

    async def _resume(self, group: str, handles: dict[str, MemberHandle] | None = None) -> None:
        """Lets every paused replica receive again, but for those that are counted out."""
        left = self._to_resume[group]
        members = self.core.chain.control_state.group(group)
        own = handles is None
        if own:
            handles = {
                n: MemberHandle(self.core.wire, self.clock, n, members[n])
                for n in left
                if n in members
            }
        try:
            for name in sorted(left):
                if name not in members or name not in handles:
                    left.discard(name)
                elif await self._resume_one(group, handles[name]):
                    left.discard(name)
        finally:
            if own:
                for handle in handles.values():
                    handle.close()
        if left:
            await self.clock.sleep(_RESUME_PAUSE_US)
        else:
            self._to_resume.pop(group, None)

    async def _resume_one(self, group: str, handle: MemberHandle) -> bool:
        async with self.pause_lock(group):
            if handle.name in self.core.chain.control_state.evidence(group).counted_out:
                return True
            if not self.acts or self.leadership(group)["phase"] != "serve":
                return False
            answered = await handle.resume()
            if handle.refuses:
                self._departures.suspect(group, handle.name)
            return answered

"""What the parts of the failover coordinator share: reads of the control state, records, waits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from petrelhaven.control.failover.group_state import NewLeadership
from petrelhaven.control.failover.observation import Observer
from petrelhaven.control.failover.suspicions import Suspicions
from petrelhaven.control.state.evidence_records import CountedOutRecord
from petrelhaven.control.state.records import LeadershipRecord
from petrelhaven.control.state.rows import Leadership, LeadershipPhase, Member
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.failover.evidence import Evidence, Position
    from petrelhaven.control.failover.interfaces import ControlServices, Platform
    from petrelhaven.control.failover.wait_reasons import WaitReason

__all__ = ["FailoverContext"]

_OPEN = "open"


class FailoverContext:
    """One control node's view of all groups.

    Attributes:
        node: The control node.
        platform: What promotes members.
        observer: Inspects members.
        suspicions: Members that are suspected to have failed.
        wait_reasons: For each group that waits, the reason.
        candidates: Who is to take over each changing leadership; it must go on receiving.
    """

    def __init__(self, node: ControlServices, platform: Platform) -> None:
        """Has no suspicions and nobody waiting yet."""
        self.node, self.platform = node, platform
        self.clock, self.log = node.clock, node.log
        self.observer = Observer(node)
        self.suspicions = Suspicions(node.clock)
        self.wait_reasons: dict[str, str] = {}
        self.candidates: dict[str, str] = {}
        self._pause_locks: dict[str, asyncio.Lock] = {}

    @property
    def is_active_head(self) -> bool:
        """Whether this control node may act for all."""
        return bool(self.node.chain.is_head and self.node.chain.is_active)

    def groups(self) -> list[str]:
        """The names of the configured groups."""
        configuration = self.node.chain.control_state.configuration
        return [group["name"] for group in configuration["groups"]]

    def leaderships(self) -> dict[str, Leadership]:
        """The leadership of each group that has one."""
        rows = self.node.chain.control_state.doc["offices"]
        return {group: Leadership.from_row(row) for group, row in rows.items()}

    def leadership(self, group: str) -> Leadership:
        """The leadership of a group that has one."""
        return Leadership.from_row(self.node.chain.control_state.doc["offices"][group])

    def find_leadership(self, group: str) -> Leadership | None:
        """The leadership of a group, or None before the first."""
        row = self.node.chain.control_state.doc["offices"].get(group)
        return Leadership.from_row(row) if row else None

    def members(self, group: str) -> dict[str, Member]:
        """The members of a group that are not gone, by name."""
        rows = self.node.chain.control_state.group_members(group)
        return {name: Member.from_row(name, row) for name, row in rows.items()}

    def evidence(self, group: str) -> Evidence:
        """What is recorded about the logs of a group's members."""
        return self.node.chain.control_state.evidence(group)

    def is_open(self, zone: str) -> bool:
        """Whether a zone is open, that is, not evacuated."""
        return self.node.chain.control_state.zone_state(zone) == _OPEN

    def staying_replicas(self, group: str, primary: str) -> list[str]:
        """Replicas that may take over from `primary`: ready, in an open zone."""
        return [
            name
            for name, member in self.members(group).items()
            if name != primary and member.is_ready and self.is_open(member.zone)
        ]

    def pause_lock(self, group: str) -> asyncio.Lock:
        """Locked while replicas of the group are paused or resumed together with their records."""
        return self._pause_locks.setdefault(group, asyncio.Lock())

    def wait(self, group: str, reason: WaitReason) -> None:
        """Notes why a group waits, and logs each reason once."""
        if self.wait_reasons.get(group) != reason:
            emit(self.log, Events.LEADER_CHANGE_WAITS, group=group, note=reason)
        self.wait_reasons[group] = reason

    def end_change(self, group: str) -> None:
        """The leader change of a group is over."""
        self.candidates.pop(group, None)
        self.wait_reasons.pop(group, None)

    async def enter_leadership(self, group: str, new: NewLeadership) -> int:
        """Enters a leadership record; its number is the fencing token of what follows."""
        last = self.find_leadership(group)
        record = LeadershipRecord(
            group=group,
            number=(last.number if last else 0) + 1,
            phase=new.phase.value,
            primary=new.primary,
            term=new.term,
            cause=new.cause,
            by=self.node.name,
            stuck=new.stuck,
            position=new.position,
            accepted_loss=new.accepted_loss,
            requested=new.requested,
        )
        number = await self.node.chain.append_record(record.to_document())
        emit(
            self.log,
            Events.LEADERSHIP_CHANGED
            if new.phase is LeadershipPhase.SERVING
            else Events.GROUP_HALTED,
            group=group,
            phase=new.phase.value,
            primary=new.primary,
            term=new.term,
            cause=new.cause,
        )
        return number

    async def record_counted_out(self, group: str, member: str, position: Position | None) -> None:
        """Records that a leaving member is paused at `position`, or receives again if None."""
        await self.node.chain.append_record(CountedOutRecord(group, member, position).to_document())
        if position is not None:
            emit(self.log, Events.MEMBER_COUNTED_OUT, group=group, member=member, pos=position)
        else:
            emit(self.log, Events.MEMBER_COUNTED_AGAIN, group=group, member=member)

"""Shared access of the failover modules to the control state, its records and the wait reasons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from petrelhaven.control.failover.group_state import NewLeadership
from petrelhaven.control.failover.observation import Observer
from petrelhaven.control.failover.suspicions import Suspicions
from petrelhaven.control.state.evidence_records import CountedOutRecord, NonVotingRecord
from petrelhaven.control.state.records import LeadershipRecord
from petrelhaven.control.state.rows import Leadership, LeadershipPhase, Member
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.failover.evidence import Evidence, Position
    from petrelhaven.control.failover.interfaces import ControlServices, Platform
    from petrelhaven.control.failover.wait_reasons import WaitReason

__all__ = ["FailoverContext"]

_ZONE_OPEN = "open"


class FailoverContext:
    """State and helpers that the failover modules of one control node share, for all groups.

    Attributes:
        node: The control node.
        platform: The platform, which promotes members.
        observer: Inspects members.
        suspicions: Members that are suspected to have failed.
        wait_reasons: By group, why no primary can be elected or replaced now.
        candidates: By group, the member that a switchover is going to promote; it must not be
            paused.
    """

    def __init__(self, node: ControlServices, platform: Platform) -> None:
        """Starts without suspicions or wait reasons."""
        self.node, self.platform = node, platform
        self.clock, self.log = node.clock, node.log
        self.observer = Observer(node)
        self.suspicions = Suspicions(node.clock)
        self.wait_reasons: dict[str, str] = {}
        self.candidates: dict[str, str] = {}
        self._pause_locks: dict[str, asyncio.Lock] = {}

    @property
    def is_active_head(self) -> bool:
        """Whether this control node is the active head, which alone changes leaders."""
        return bool(self.node.chain.is_head and self.node.chain.is_active)

    def groups(self) -> list[str]:
        """Returns the names of the configured groups."""
        configuration = self.node.chain.control_state.configuration
        return [group["name"] for group in configuration["groups"]]

    def leaderships(self) -> dict[str, Leadership]:
        """Returns the leadership of each group that has one."""
        rows = self.node.chain.control_state.doc["offices"]
        return {group: Leadership.from_row(row) for group, row in rows.items()}

    def leadership(self, group: str) -> Leadership:
        """Returns the leadership of a group that has one."""
        return Leadership.from_row(self.node.chain.control_state.doc["offices"][group])

    def find_leadership(self, group: str) -> Leadership | None:
        """Returns the leadership of a group, or None if none has been recorded."""
        row = self.node.chain.control_state.doc["offices"].get(group)
        return Leadership.from_row(row) if row else None

    def members(self, group: str) -> dict[str, Member]:
        """Returns the members of a group by name, without those that signed off."""
        rows = self.node.chain.control_state.group_members(group)
        return {name: Member.from_row(name, row) for name, row in rows.items()}

    def evidence(self, group: str) -> Evidence:
        """Returns the recorded facts about the logs of a group's members."""
        return self.node.chain.control_state.evidence(group)

    def is_zone_open(self, zone: str) -> bool:
        """Returns whether a zone is open, that is, not evacuated."""
        return self.node.chain.control_state.zone_state(zone) == _ZONE_OPEN

    def eligible_replicas(self, group: str, primary: str) -> list[str]:
        """Returns the replicas that may replace `primary`: ready members in open zones."""
        return [
            name
            for name, member in self.members(group).items()
            if name != primary and member.is_ready and self.is_zone_open(member.zone)
        ]

    def pause_lock(self, group: str) -> asyncio.Lock:
        """Returns the lock under which replicas of a group are paused or resumed and recorded."""
        return self._pause_locks.setdefault(group, asyncio.Lock())

    def note_wait_reason(self, group: str, reason: WaitReason) -> None:
        """Stores why a group waits, and logs the reason if it is a new one."""
        if self.wait_reasons.get(group) != reason:
            emit(self.log, Events.LEADER_CHANGE_WAITS, group=group, note=reason)
        self.wait_reasons[group] = reason

    def clear_change(self, group: str) -> None:
        """Drops the candidate and the wait reason of a group whose leader change has ended."""
        self.candidates.pop(group, None)
        self.wait_reasons.pop(group, None)

    async def record_leadership(self, group: str, new: NewLeadership) -> int:
        """Commits a leadership record; returns its number, which serves as a fencing token."""
        previous = self.find_leadership(group)
        record = LeadershipRecord(
            group=group,
            number=(previous.number if previous else 0) + 1,
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

    async def record_non_voting(self, group: str, member: str) -> int:
        """Records that a member doesn't vote any more; returns the record's number."""
        seq = await self.node.chain.append_record(NonVotingRecord(group, member).to_document())
        emit(self.log, Events.MEMBER_NON_VOTING, group=group, member=member)
        return seq

    async def record_counted_out(self, group: str, member: str, position: Position | None) -> None:
        """Records that a member is counted out at `position`, or no longer if None."""
        await self.node.chain.append_record(CountedOutRecord(group, member, position).to_document())
        if position is not None:
            emit(self.log, Events.MEMBER_COUNTED_OUT, group=group, member=member, pos=position)
        else:
            emit(self.log, Events.MEMBER_COUNTED_AGAIN, group=group, member=member)

"""Suspects members whose heartbeats this control node received and receives no longer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.control.state.rows import Member

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext

__all__ = ["HeartbeatMonitor"]

_MISSED_HEARTBEATS = 2.3
_FORGOTTEN_HEARTBEATS = 12
_REASON = "no beats"


class HeartbeatMonitor:
    """Reports each unresponsive primary or replica to the head, once for each last heartbeat."""

    def __init__(self, context: FailoverContext) -> None:
        """Reads the heartbeats that the control node receives."""
        self._context, self._node = context, context.node
        self._next_report: dict[str, int] = {}

    def check(self) -> None:
        """Reports the members that are unresponsive now, primaries first."""
        unresponsive = [name for name in self._node.last_heartbeats if self._is_unresponsive(name)]
        if not unresponsive:
            return
        leaderships = self._context.leaderships()
        for group, leadership in leaderships.items():
            if leadership.is_serving and leadership.primary in unresponsive:
                self._report_primary(group, leadership.primary)
        primaries = {leadership.primary for leadership in leaderships.values()}
        for name in unresponsive:
            if name not in primaries:
                self._report_replica(name)

    def _is_unresponsive(self, name: str) -> bool:
        """Whether heartbeats are missing, but not for so long that this was dealt with."""
        last_heartbeat, _count = self._node.last_heartbeats[name]
        silent_us = self._node.clock.now() - last_heartbeat
        interval_us = self._node.heartbeat_us
        return _MISSED_HEARTBEATS * interval_us < silent_us < _FORGOTTEN_HEARTBEATS * interval_us

    def _report_primary(self, group: str, name: str) -> None:
        """At most one primary of a group is reported in each heartbeat interval."""
        now = self._node.clock.now()
        if self._next_report.get(group, 0) <= now:
            self._next_report[group] = now + self._node.heartbeat_us
            self._report(group, name)

    def _report_replica(self, name: str) -> None:
        row = self._node.chain.control_state.doc["members"].get(name)
        if row is not None:
            member = Member.from_row(name, row)
            if member.is_ready:
                self._report(member.group, name)

    def _report(self, group: str, name: str) -> None:
        self._node.last_heartbeats.pop(name, None)
        self._node.tasks.spawn(self._node.suspect(group, name, _REASON))

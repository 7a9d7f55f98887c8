"""Suspects members whose heartbeats no longer arrive at this control node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.control.state.rows import Member

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext

__all__ = ["HeartbeatMonitor"]

_SUSPECT_AFTER_MISSED_HEARTBEATS = 2.3
_IGNORE_AFTER_MISSED_HEARTBEATS = 12
_SUSPICION_REASON = "no beats"


class HeartbeatMonitor:
    """Reports unresponsive members to the head, at most once per received heartbeat."""

    def __init__(self, context: FailoverContext) -> None:
        """Monitors the heartbeats that the control node receives."""
        self._context, self._node = context, context.node
        self._next_report: dict[str, int] = {}

    def check(self) -> None:
        """Reports the members that are unresponsive, primaries first."""
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
        """Returns whether heartbeats are missing, though not so long that it was handled before."""
        last_heartbeat, _count = self._node.last_heartbeats[name]
        silent_us = self._node.clock.now() - last_heartbeat
        interval_us = self._node.heartbeat_us
        return (
            _SUSPECT_AFTER_MISSED_HEARTBEATS * interval_us
            < silent_us
            < _IGNORE_AFTER_MISSED_HEARTBEATS * interval_us
        )

    def _report_primary(self, group: str, name: str) -> None:
        """Reports a primary, at most once per group and heartbeat interval."""
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
        self._node.tasks.spawn(self._node.suspect(group, name, _SUSPICION_REASON))

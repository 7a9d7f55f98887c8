"""How far each group's epoch has come: in force, its promotion requested, replicas caught up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from petrelhaven.runtime.errors import Fault

if TYPE_CHECKING:
    from petrelhaven.control.failover.interfaces import Tasks
    from petrelhaven.control.resumable.interfaces import LeaseTable
    from petrelhaven.control.resumable.records import EpochRecord
    from petrelhaven.runtime.clock import Clock

__all__ = ["EpochKey", "EpochProgress"]

_IN_FORCE_TIMEOUT_US = 60_000_000

EpochKey = tuple[str, int]
"""A group and the number of its epoch; 0 before the first."""


class EpochProgress:
    """What this node knows of the newest epochs.

    Attributes:
        targets: The member whose promotion was requested under an epoch.
        caught_up_at: Where the primary's log ended once the epoch was in force.
    """

    def __init__(self, clock: Clock, tasks: Tasks, lease_table: LeaseTable) -> None:
        """Knows of no epoch yet."""
        self._clock, self._tasks, self._lease_table = clock, tasks, lease_table
        self._in_force_since: dict[EpochKey, int] = {}
        self._waits: dict[EpochKey, asyncio.Task[None]] = {}
        self.targets: dict[EpochKey, str] = {}
        self.caught_up_at: dict[EpochKey, int] = {}

    def stand_down(self) -> None:
        """This node is no longer the active head."""
        self._in_force_since.clear()
        self.targets.clear()

    def is_in_force(self, key: EpochKey) -> bool:
        """Whether every proxy follows the epoch or has lost its lease."""
        return key in self._in_force_since

    def watch(self, key: EpochKey, epoch: EpochRecord, seq: int) -> None:
        """Starts the wait for an epoch to be in force, once; `seq` is a record after it."""
        if key in self._in_force_since or key in self._waits:
            return
        self._forget_before(key)
        self._waits[key] = self._tasks.spawn(self._wait(key, epoch, seq))

    def note_primary_log(self, key: EpochKey, announced_at: int, log: int) -> None:
        """The primary announced its log; the first time since the epoch is in force counts."""
        if key not in self._in_force_since or key in self.caught_up_at:
            return
        if announced_at > self._in_force_since[key]:
            self.caught_up_at[key] = log

    def _forget_before(self, key: EpochKey) -> None:
        """Forgets the group's older epochs."""
        group, number = key
        for known in (self._in_force_since, self.caught_up_at, self.targets):
            for old in [k for k in known if k[0] == group and k[1] < number]:
                del known[old]

    async def _wait(self, key: EpochKey, epoch: EpochRecord, seq: int) -> None:
        try:
            await self._lease_table.wait_in_force(
                seq, epoch.grace_us, timeout_us=_IN_FORCE_TIMEOUT_US
            )
            self._in_force_since[key] = self._clock.now()
        except Fault:
            pass
        finally:
            self._waits.pop(key, None)

"""The progress of each group's epoch: in force, promotion requested, replicas caught up."""

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
"""A group and the number of its epoch; the number is 0 before the first epoch."""


class EpochProgress:
    """The progress of the newest epochs, as far as this node has observed it.

    Attributes:
        targets: The member whose promotion was requested under each epoch.
        catch_up_positions: The end of the primary's log after each epoch came into force. A replica
            that has reached this position holds every commit acknowledged before.
    """

    def __init__(self, clock: Clock, tasks: Tasks, lease_table: LeaseTable) -> None:
        """Starts without epochs."""
        self._clock, self._tasks, self._lease_table = clock, tasks, lease_table
        self._in_force_since: dict[EpochKey, int] = {}
        self._waits: dict[EpochKey, asyncio.Task[None]] = {}
        self.targets: dict[EpochKey, str] = {}
        self.catch_up_positions: dict[EpochKey, int] = {}

    def reset(self) -> None:
        """Drops the progress that is valid only while this node is the active head."""
        self._in_force_since.clear()
        self.targets.clear()

    def is_in_force(self, key: EpochKey) -> bool:
        """Returns whether every proxy has applied the epoch or lost its lease."""
        return key in self._in_force_since

    def watch_epoch(self, key: EpochKey, epoch: EpochRecord, seq: int) -> None:
        """Starts to wait, once, until an epoch is in force.

        Args:
            key: The group and number of the epoch.
            epoch: The record of the epoch.
            seq: The number of the epoch's record or of a later one.
        """
        if key in self._in_force_since or key in self._waits:
            return
        self._remove_older_epochs(key)
        self._waits[key] = self._tasks.spawn(self._wait_in_force(key, epoch, seq))

    def note_primary_log(self, key: EpochKey, announced_at: int, log_position: int) -> None:
        """Stores the position that the primary announces first after the epoch is in force."""
        if key not in self._in_force_since or key in self.catch_up_positions:
            return
        if announced_at > self._in_force_since[key]:
            self.catch_up_positions[key] = log_position

    def _remove_older_epochs(self, key: EpochKey) -> None:
        """Removes the group's older epochs."""
        group, number = key
        for entries in (self._in_force_since, self.catch_up_positions, self.targets):
            for old_key in [k for k in entries if k[0] == group and k[1] < number]:
                del entries[old_key]

    async def _wait_in_force(self, key: EpochKey, epoch: EpochRecord, seq: int) -> None:
        try:
            await self._lease_table.wait_in_force(
                seq, epoch.grace_us, timeout_us=_IN_FORCE_TIMEOUT_US
            )
            self._in_force_since[key] = self._clock.now()
        except Fault:
            pass
        finally:
            self._waits.pop(key, None)

"""Follows the log of each group's primary, and compares the replicas' logs with it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.control.resumable.announcements import MemberObservation
    from petrelhaven.runtime.clock import Clock

__all__ = ["LogTracker"]

_FRESH_US = 600_000
_SAMPLE_INTERVAL_US = 300_000
_NEAR_ENTRIES = 200


class LogTracker:
    """Samples of one group's primary: when its log ended where."""

    def __init__(self, clock: Clock) -> None:
        """Has no samples yet."""
        self._clock = clock
        self._samples: list[tuple[int, int]] = []
        self._last_primary: tuple[int, int] | None = None

    def update(
        self,
        members: Mapping[str, MemberObservation],
        primary: MemberObservation | None,
        epoch: int,
        stall_us: int,
    ) -> None:
        """Marks which of `members` are stalled, near, or not the primary that they should be.

        Args:
            members: The members of the group, changed in place.
            primary: The primary of the epoch, or whoever announced itself before the first epoch.
            epoch: The number of the epoch, or 0.
            stall_us: How far behind a log may be, in microseconds.
        """
        now = self._clock.now()
        if primary is not None and primary.age_us < _FRESH_US:
            self._sample(now, primary)
        while len(self._samples) > 1 and self._samples[1][0] < now - stall_us:
            self._samples.pop(0)
        required = self._log_before(now - stall_us)
        if primary is not None:
            primary.not_primary_us = self._not_primary_us(primary, epoch)
        primary_log = primary.log if primary is not None else 0
        for member in members.values():
            member.is_stalled = member.log < required
            member.is_near = member.log >= primary_log - _NEAR_ENTRIES and not member.is_stalled

    def _sample(self, now: int, primary: MemberObservation) -> None:
        if self._samples:
            at, log = self._samples[-1]
            if log == primary.log and now - at <= _SAMPLE_INTERVAL_US:
                return
        self._samples.append((now - primary.age_us, primary.log))

    def _log_before(self, at: int) -> int:
        """Where the primary's log ended at the moment `at`, or 0 if that is not known."""
        if self._samples and self._samples[0][0] <= at:
            return self._samples[0][1]
        return 0

    def _not_primary_us(self, primary: MemberObservation, epoch: int) -> int:
        now = self._clock.now()
        if primary.is_primary or self._last_primary is None or self._last_primary[0] != epoch:
            self._last_primary = (epoch, now)
        return now - self._last_primary[1]

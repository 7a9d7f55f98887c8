"""Tracks the log of a group's primary and compares the replicas' logs with it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.control.resumable.announcements import MemberObservation
    from petrelhaven.runtime.clock import Clock

__all__ = ["LogTracker"]

_MAX_SAMPLE_AGE_US = 600_000
_SAMPLE_INTERVAL_US = 300_000
_MAX_NEAR_LAG_ENTRIES = 200


class LogTracker:
    """Samples of the log position of one group's primary over time."""

    def __init__(self, clock: Clock) -> None:
        """Starts without samples."""
        self._clock = clock
        # Clock microseconds and log position, the oldest sample first.
        self._samples: list[tuple[int, int]] = []
        # The number of the epoch, and when its primary last announced itself as one, or when the
        # epoch was first seen (clock microseconds).
        self._last_primary_announcement: tuple[int, int] | None = None

    def update(
        self,
        members: Mapping[str, MemberObservation],
        primary: MemberObservation | None,
        epoch: int,
        stall_us: int,
    ) -> None:
        """Sets `is_stalled`, `is_near` and `not_primary_us` of the group's members.

        Args:
            members: The members of the group, changed in place.
            primary: The primary of the epoch; before the first epoch, a member that announces
                itself as a primary.
            epoch: The number of the epoch, or 0 before the first.
            stall_us: By how much a replica's log may lag the primary's, in microseconds.
        """
        now = self._clock.now()
        if primary is not None and primary.age_us < _MAX_SAMPLE_AGE_US:
            self._add_sample(now, primary)
        while len(self._samples) > 1 and self._samples[1][0] < now - stall_us:
            self._samples.pop(0)
        required_position = self._log_position_at(now - stall_us)
        if primary is not None:
            primary.not_primary_us = self._not_primary_us(primary, epoch)
        primary_position = primary.log if primary is not None else 0
        for member in members.values():
            member.is_stalled = member.log < required_position
            member.is_near = (
                member.log >= primary_position - _MAX_NEAR_LAG_ENTRIES and not member.is_stalled
            )

    def _add_sample(self, now: int, primary: MemberObservation) -> None:
        """Adds a sample if the log has grown or the last sample is old."""
        if self._samples:
            sampled_at, position = self._samples[-1]
            if position == primary.log and now - sampled_at <= _SAMPLE_INTERVAL_US:
                return
        self._samples.append((now - primary.age_us, primary.log))

    def _log_position_at(self, at: int) -> int:
        """Returns the position of the primary's log at the clock time `at`, or 0 if unknown."""
        if self._samples and self._samples[0][0] <= at:
            return self._samples[0][1]
        return 0

    def _not_primary_us(self, primary: MemberObservation, epoch: int) -> int:
        """Returns for how long the epoch's primary has not announced itself as one."""
        now = self._clock.now()
        if (
            primary.is_primary
            or self._last_primary_announcement is None
            or self._last_primary_announcement[0] != epoch
        ):
            self._last_primary_announcement = (epoch, now)
        return now - self._last_primary_announcement[1]

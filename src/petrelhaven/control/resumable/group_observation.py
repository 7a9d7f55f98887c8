"""The observation of one group, from which its plan is made, and the next step that it needs."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.control.configuration.document import Bounds, Group
    from petrelhaven.control.resumable.announcements import MemberObservation
    from petrelhaven.control.resumable.records import EpochRecord

__all__ = ["HALTED", "SERVING", "EnterEpoch", "GroupObservation", "Promote", "Step", "Wait"]

SERVING, HALTED = "serve", "halt"
"""The phases of an epoch, as stored."""

_OPEN = "open"


@dataclass(frozen=True, slots=True)
class EnterEpoch:
    """The next epoch is to be entered."""

    epoch: EpochRecord


@dataclass(frozen=True, slots=True)
class Promote:
    """The platform is to promote `member`."""

    member: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing can be done now, for the reason that operators read."""

    reason: str


Step = EnterEpoch | Promote | Wait


@dataclass(frozen=True, slots=True)
class GroupObservation:
    """All that a plan may use for one group.

    Attributes:
        group: Its part of the configuration.
        bounds: The time limits of the configuration.
        epoch: The epoch in force, or None before the first.
        is_settled: Whether every proxy is recorded to follow that epoch.
        last_number: The number of the group's last epoch, also if the group was dropped meanwhile.
        members: What is known of each member of the group.
        proxies: The proxies that are not gone.
        zones: The state of each zone that was ever changed.
        is_in_force: Whether every proxy follows the epoch or has lost its lease.
        caught_up_at: The position that the primary's log had once the epoch was in force, if known.
        waited_us: For how long the group has needed what it needs now.
        target: The member whose promotion was requested under this epoch, if any.
    """

    group: Group
    bounds: Bounds
    epoch: EpochRecord | None
    is_settled: bool
    last_number: int
    members: Mapping[str, MemberObservation]
    proxies: Sequence[str]
    zones: Mapping[str, str]
    is_in_force: bool
    caught_up_at: int | None
    waited_us: int
    target: str | None = None

    def is_live(self, name: str) -> bool:
        """Whether the member announced itself lately."""
        member = self.members.get(name)
        return member is not None and member.age_us < self.bounds.lost_us

    def is_leaving(self, name: str) -> bool:
        """Whether the member drains, or is in an evacuated zone."""
        member = self.members[name]
        return member.draining or self.zones.get(member.zone, _OPEN) != _OPEN

    def is_sound(self, name: str) -> bool:
        """Whether commits may wait for it: a live replica that stays, its log moving."""
        if not self.is_live(name) or self.is_leaving(name):
            return False
        return not self.members[name].is_stalled and self.members[name].is_replica

    def has_planned_store(self, name: str, epoch: EpochRecord) -> bool:
        """Whether the member has the store that it was planned with."""
        return self.members[name].store == epoch.stores.get(name)

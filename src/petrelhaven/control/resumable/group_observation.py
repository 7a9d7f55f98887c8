"""The observed state of one group, which is the input of its plan, and the steps of a plan."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.control.configuration.document import Bounds, Group
    from petrelhaven.control.resumable.announcements import MemberObservation
    from petrelhaven.control.resumable.records import EpochRecord

__all__ = ["HALTED", "SERVING", "AppendEpoch", "GroupObservation", "Promote", "Step", "Wait"]

SERVING, HALTED = "serve", "halt"
"""The phases of an epoch, as stored: writes are permitted, or they are stopped."""

_OPEN = "open"


@dataclass(frozen=True, slots=True)
class AppendEpoch:
    """Append the record of the next epoch."""

    epoch: EpochRecord


@dataclass(frozen=True, slots=True)
class Promote:
    """Have the platform promote `member`."""

    member: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing now, for a reason that is shown to operators."""

    reason: str


Step = AppendEpoch | Promote | Wait


@dataclass(frozen=True, slots=True)
class GroupObservation:
    """The input of a plan for one group.

    Attributes:
        group: The group's part of the configuration.
        bounds: The time limits of the configuration.
        epoch: The newest recorded epoch, or None before the first.
        is_settled: Whether the control state records that the epoch is in force.
        last_number: The number of the group's last epoch, even if the group has been dropped since.
        members: The observation of each member of the group.
        proxies: The proxies that are not recorded as gone.
        zones: The recorded zone states; a zone without an entry is open.
        is_in_force: Whether every proxy has applied the epoch or lost its lease.
        catch_up_position: The end of the primary's log after the epoch came into force, or None if
            the primary has not announced it.
        waited_us: For how long the group's phase and the primary's departure are unchanged.
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
    catch_up_position: int | None
    waited_us: int
    target: str | None = None

    def is_live(self, name: str) -> bool:
        """Returns whether the member's newest announcement is recent enough."""
        member = self.members.get(name)
        return member is not None and member.age_us < self.bounds.lost_us

    def is_leaving(self, name: str) -> bool:
        """Returns whether the member is draining or in an evacuated zone."""
        member = self.members[name]
        return member.draining or self.zones.get(member.zone, _OPEN) != _OPEN

    def is_healthy_replica(self, name: str) -> bool:
        """Returns whether the member is a live replica that is neither leaving nor stalled.

        Commits may wait for such a replica, and it may answer reads.
        """
        if not self.is_live(name) or self.is_leaving(name):
            return False
        return not self.members[name].is_stalled and self.members[name].is_replica

    def has_planned_store(self, name: str, epoch: EpochRecord) -> bool:
        """Returns whether the member still has the store that `epoch` recorded for it."""
        return self.members[name].store == epoch.stores.get(name)

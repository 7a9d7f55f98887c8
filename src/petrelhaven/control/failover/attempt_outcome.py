"""The possible outcomes of one attempt of a leader change."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.control.failover.member_access import MemberHandle
    from petrelhaven.control.failover.wait_reasons import WaitReason

__all__ = ["AttemptOutcome", "KeepOldPrimary", "Promote", "Wait"]


@dataclass(frozen=True, slots=True)
class Promote:
    """The candidate may be promoted now.

    Attributes:
        candidate: The member.
        accepted_loss: The operator who accepted the loss of commits, or "" if nobody did.
    """

    candidate: MemberHandle
    accepted_loss: str = ""


@dataclass(frozen=True, slots=True)
class KeepOldPrimary:
    """The leader change is cancelled and the old primary stays in place."""

    cause: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Another attempt is needed; `reason` is reported to operators unless it is None."""

    reason: WaitReason | None = None


AttemptOutcome = Promote | KeepOldPrimary | Wait

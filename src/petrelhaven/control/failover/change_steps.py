"""What one attempt of a leader change comes to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.control.failover.member_access import MemberHandle
    from petrelhaven.control.failover.wait_reasons import WaitReason

__all__ = ["ChangeStep", "GiveBack", "Promote", "Wait"]


@dataclass(frozen=True, slots=True)
class Promote:
    """The candidate may be promoted now.

    Attributes:
        candidate: The member.
        accepted_loss: The operator who accepted that commits may be lost, or "".
    """

    candidate: MemberHandle
    accepted_loss: str = ""


@dataclass(frozen=True, slots=True)
class GiveBack:
    """The old primary is to stay."""

    cause: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Another attempt is needed; `reason` is noted unless it is None."""

    reason: WaitReason | None = None


ChangeStep = Promote | GiveBack | Wait

"""Why a group has to wait for a primary, as shown by `status` and in event E328.

The texts are also stored as causes of leadership records.

| reason | what ends the wait |
|---|---|
| `unresponsive_members` | the named members answer, or are counted out |
| `NO_CANDIDATE` | a replica that is ready, in an open zone |
| `TOO_FEW_CONTROL_NODES` | a majority of the control nodes answers |
| `PAUSE_FAILED` | every replica that answers can be paused |
| `PAUSE_LOST` | the next attempt, which pauses the replicas again |
| `LOST_MEMBER_BACK` | the next attempt, which includes the member |
| `departed_logs_unbounded` | the logs of the departed members are bounded, or the primary fails |
| `catching_up` | the candidate has received what the old primary had |
| `order_unanswered` | the member that the operator ordered to elect answers |
| `no_proof` | the missing log or the old primary returns, or an operator orders an election |
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NewType

__all__ = [
    "LOST_MEMBER_BACK",
    "NO_CANDIDATE",
    "PAUSE_FAILED",
    "PAUSE_LOST",
    "TOO_FEW_CONTROL_NODES",
    "WaitReason",
    "catching_up",
    "departed_logs_unbounded",
    "no_proof",
    "unresponsive_members",
    "order_unanswered",
]

WaitReason = NewType("WaitReason", str)

NO_CANDIDATE = WaitReason("no candidate for a planned move")
TOO_FEW_CONTROL_NODES = WaitReason(
    "too few control nodes answered to tell whether the primary is unreachable"
)
PAUSE_FAILED = WaitReason("a replica could not be paused")
PAUSE_LOST = WaitReason("what was paused is not any more")
LOST_MEMBER_BACK = WaitReason("a member that was lost is back")


def unresponsive_members(members: str) -> WaitReason:
    """Members did not answer; `members` lists each with its error."""
    return WaitReason("not heard: " + members)


def departed_logs_unbounded(members: Iterable[str]) -> WaitReason:
    """Members left whose logs are not bounded yet."""
    return WaitReason("members that left are looked at: " + ", ".join(members))


def catching_up(candidate: str, primary: str) -> WaitReason:
    """The candidate of a switchover lacks part of the primary's log."""
    return WaitReason(f"{candidate} catches up with {primary}")


def order_unanswered(member: str, operator: str) -> WaitReason:
    """The member that an operator ordered to elect did not answer."""
    return WaitReason(f"{member}, ordered by {operator}, is not heard")


def no_proof(reason: str, lost_copies: bool) -> WaitReason:
    """No member provably holds every acknowledged commit; see `evidence.Unproven`."""
    if lost_copies:
        reason += "; waits for it or the primary, or for petrelhavenctl elect"
    return WaitReason(reason)

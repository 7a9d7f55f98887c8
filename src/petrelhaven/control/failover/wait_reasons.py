"""Why a group waits: the texts that operators read in `status`, and that event E328 notes.

| reason | what ends the wait |
|---|---|
| `not_heard` | the named members answer, or are counted out |
| `NO_CANDIDATE` | a replica that is ready, in an open zone |
| `TOO_FEW_CONTROL_NODES` | a majority of the control nodes answers |
| `PAUSE_FAILED` | every replica that answers can be paused |
| `PAUSE_LOST` | nothing; the next attempt pauses anew |
| `LOST_MEMBER_BACK` | nothing; the next attempt takes the member in |
| `departed_inspected` | the log of the departed members is bounded, or the primary fails |
| `catching_up` | the candidate has received what the old primary had |
| `order_unanswered` | the member that the operator ordered answers |
| `no_proof` | the missing copy, the old primary, or an operator's order |
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
    "departed_inspected",
    "no_proof",
    "not_heard",
    "order_unanswered",
]

WaitReason = NewType("WaitReason", str)

NO_CANDIDATE = WaitReason("no candidate for a planned move")
TOO_FEW_CONTROL_NODES = WaitReason("too few cores to tell whether the primary is dark")
PAUSE_FAILED = WaitReason("a replica could not be paused")
PAUSE_LOST = WaitReason("what was paused is not any more")
LOST_MEMBER_BACK = WaitReason("a member that was lost is back")


def not_heard(members: str) -> WaitReason:
    """Members did not answer; each stands with its error."""
    return WaitReason("not heard: " + members)


def departed_inspected(members: Iterable[str]) -> WaitReason:
    """Members left, and their logs are not bounded yet."""
    return WaitReason("members that left are looked at: " + ", ".join(members))


def catching_up(candidate: str, primary: str) -> WaitReason:
    """The candidate of a switchover lacks a part of the primary's log."""
    return WaitReason(f"{candidate} catches up with {primary}")


def order_unanswered(member: str, operator: str) -> WaitReason:
    """The member that an operator ordered to be elected did not answer."""
    return WaitReason(f"{member}, ordered by {operator}, is not heard")


def no_proof(reason: str, lost_copies: bool) -> WaitReason:
    """Nobody provably holds every acknowledged commit; see `evidence.Unproven`."""
    if lost_copies:
        reason += "; waits for it or the primary, or for petrelhavenctl elect"
    return WaitReason(reason)

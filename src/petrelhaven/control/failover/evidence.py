"""What proves that a member holds every acknowledged commit of its group.

Pure functions over values: no clock, no links. The control state keeps one `Evidence` for each
group and replaces it with every record that changes it; failover calls `find_electable_members`.

The invariant: every acknowledged commit is at or below `lower_bound`, or is in the log of a
member that is still in the group, or in the log of a member named in `unproven`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

__all__ = [
    "NO_EVIDENCE",
    "NO_POSITION",
    "ElectionOrder",
    "Evidence",
    "MemberStatus",
    "Position",
    "Proven",
    "Unproven",
    "find_electable_members",
]

Position = tuple[int, int]
NO_POSITION: Position = (0, 0)


@dataclass(frozen=True, slots=True)
class ElectionOrder:
    """An operator's order to elect `member` although acknowledged commits may be lost."""

    member: str
    by: str


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member's own answer to STATUS.

    Attributes:
        role: `primary` or `replica`, as it sees itself.
        term: The term of its log.
        position: Where its log ends.
        paused_term: The term under which it is paused, or 0 if it receives.
    """

    role: str
    term: int
    position: Position
    paused_term: int

    @property
    def is_primary(self) -> bool:
        """Whether it is a primary, as it sees itself."""
        return self.role == "primary"

    @classmethod
    def from_wire(cls, answer: Mapping[str, Any]) -> MemberStatus:
        """Reads the answer that a member's connection gives."""
        return cls(answer["role"], answer["term"], tuple(answer["pos"]), answer["held"])


@dataclass(frozen=True, slots=True)
class Evidence:
    """The recorded facts about the logs of one group's members.

    Attributes:
        lower_bound: An elected member must hold at least this position.
        counted_out: Leaving members that are paused, with the position each was paused at.
        unproven: Members that left while theirs may have been the only copy of a commit.
        left_in_change: Members that left counted out while a promotion may have ended their pause.
        order: An operator's order to elect a member without proof.
    """

    lower_bound: Position = NO_POSITION
    counted_out: Mapping[str, Position] = field(default_factory=dict)
    unproven: tuple[str, ...] = ()
    left_in_change: tuple[str, ...] = ()
    order: ElectionOrder | None = None

    @classmethod
    def from_document(cls, document: Mapping[str, Any] | None) -> Evidence:
        """Reads what `to_document` wrote; nothing recorded is no evidence."""
        if not document:
            return NO_EVIDENCE
        order = document.get("order")
        return cls(
            lower_bound=tuple(document["floor"]),
            counted_out={n: tuple(at) for n, at in document["counted_out"].items()},
            unproven=tuple(document["unproven"]),
            left_in_change=tuple(document["left_in_move"]),
            order=ElectionOrder(**order) if order else None,
        )

    def unproven_except(self, primary: str) -> tuple[str, ...]:
        """Who left unproven, but for the current primary."""
        return tuple(n for n in self.unproven if n != primary)

    def to_document(self) -> dict[str, Any]:
        """The evidence as plain JSON values."""
        order = self.order
        return {
            "floor": list(self.lower_bound),
            "counted_out": {n: list(at) for n, at in sorted(self.counted_out.items())},
            "unproven": list(self.unproven),
            "left_in_move": list(self.left_in_change),
            "order": {"member": order.member, "by": order.by} if order else None,
        }

    def with_counted_out(self, member: str, position: Position | None) -> Evidence:
        """The member is paused at `position`, or receives again if that is None."""
        others = {n: at for n, at in self.counted_out.items() if n != member}
        if position is not None:
            others[member] = position
        return replace(self, counted_out=others)

    def with_bounded_logs(self, members: Iterable[str], position: Position) -> Evidence:
        """The logs of `members`, which have ended, are at or below `position`."""
        bounded = set(members)
        return replace(
            self,
            lower_bound=max(self.lower_bound, position),
            unproven=tuple(n for n in self.unproven if n not in bounded),
        )

    def with_election_order(self, order: ElectionOrder) -> Evidence:
        """The operator ordered an election without proof."""
        return replace(self, order=order)

    def with_departure(self, member: str, changing: bool) -> Evidence:
        """A member signed off; `changing`: a promotion may be under way, which ends its pause."""
        position = self.counted_out.get(member)
        if position is None:
            return replace(self, unproven=(*self.unproven, member))
        left_in_change = (*self.left_in_change, member) if changing else self.left_in_change
        return replace(
            self.with_counted_out(member, None),
            lower_bound=max(self.lower_bound, position),
            left_in_change=left_in_change,
        )

    def with_replacement(self, member: str) -> Evidence:
        """Another member of the group came to the address of `member` and took its log along."""
        return replace(
            self.with_counted_out(member, None),
            unproven=tuple(n for n in self.unproven if n != member),
            left_in_change=tuple(n for n in self.left_in_change if n != member),
        )

    def with_primary(
        self, changed: bool, position: Position, accepted_loss: bool = False
    ) -> Evidence:
        """A primary took over, or stayed; its log reaches `position`.

        A promotion ends every pause, so whoever left meanwhile may have received again.
        """
        unproven = () if accepted_loss else self.unproven
        return replace(
            self,
            lower_bound=position if accepted_loss else max(self.lower_bound, position),
            counted_out={} if changed else self.counted_out,
            unproven=(*unproven, *(n for n in self.left_in_change if n not in unproven)),
            left_in_change=(),
            order=None,
        )


NO_EVIDENCE = Evidence()


@dataclass(frozen=True, slots=True)
class Proven:
    """Each of `candidates` holds every acknowledged commit."""

    candidates: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Unproven:
    """Nobody may be elected yet; `lost_copies`: the group can't end the wait alone."""

    reason: str
    lost_copies: bool = False


def find_electable_members(
    evidence: Evidence, primary: str, replicas: Iterable[str], statuses: Mapping[str, MemberStatus]
) -> Proven | Unproven:
    """Decides who may be elected in place of an unresponsive primary.

    The log of the current primary is not needed: a commit was only acknowledged once a replica
    had it.

    Args:
        evidence: The recorded facts.
        primary: The current primary.
        replicas: All members of the group but the current primary.
        statuses: The status of those that answered, each read while its member was paused.
    """
    names = set(replicas)
    required = names - set(evidence.counted_out)
    unresponsive = sorted(required - set(statuses))
    if unresponsive:
        return Unproven("not heard: " + ", ".join(unresponsive))
    left = ", ".join(evidence.unproven_except(primary))
    if left:
        return Unproven(f"{left} left and may have held the only copy of a commit", True)
    lower_bound = max([evidence.lower_bound, *evidence.counted_out.values()])
    best = _highest(required, statuses)
    if best is None or best < lower_bound:
        required = names & set(statuses)
        best = _highest(required, statuses)
    if best is None:
        return Unproven("no replica is left")
    if best < lower_bound:
        return Unproven(f"nobody holds {_text(lower_bound)}; the highest is {_text(best)}", True)
    return Proven(tuple(sorted(n for n in required if statuses[n].position == best)))


def _highest(names: Iterable[str], statuses: Mapping[str, MemberStatus]) -> Position | None:
    return max((statuses[n].position for n in names), default=None)


def _text(position: Position) -> str:
    return f"{position[0]}.{position[1]}"

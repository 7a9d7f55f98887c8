"""Proves which members hold every acknowledged commit of their group.

The functions are pure: they use no clock and no connections. The control state holds one `Evidence`
per group and replaces it with every record that changes it; failover calls
`find_electable_members`.

The invariant: every acknowledged commit is at or below `lower_bound`, or is in the log of a
member that is still in the group, or in the log of a member named in `unproven`. A commit is
acknowledged when a proxy reports its success to the client; the copies of members named in
`non_voting` don't count for that.
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
    """A member's answer to STATUS.

    Attributes:
        role: `primary` or `replica`, as the member reports it.
        term: The term of its log.
        position: The end of its log.
        paused_term: The term under which it is paused, or 0 if it receives.
    """

    role: str
    term: int
    position: Position
    paused_term: int

    @property
    def is_primary(self) -> bool:
        """Whether the member reports to be a primary."""
        return self.role == "primary"

    @classmethod
    def from_wire(cls, answer: Mapping[str, Any]) -> MemberStatus:
        """Parses the answer of a member's connection."""
        return cls(answer["role"], answer["term"], tuple(answer["pos"]), answer["held"])


@dataclass(frozen=True, slots=True)
class Evidence:
    """The recorded facts about the logs of one group's members.

    Attributes:
        lower_bound: An elected member's log must reach at least this position.
        counted_out: Draining or lost members whose logs elections don't need, each with a
            position: no commit above it was acknowledged only because of that member's copy.
        unproven: Members that left and may have held the only copy of a commit.
        left_in_change: Counted out members that left during a leader change, when a promotion may
            have ended their pause.
        order: An operator's order to elect a member without proof.
        non_voting: Lost or departed members, which may still run and receive the log. A lost
            member is counted out, and the log of a departed one is bounded, only after every proxy
            knows that it doesn't vote.
    """

    lower_bound: Position = NO_POSITION
    counted_out: Mapping[str, Position] = field(default_factory=dict)
    unproven: tuple[str, ...] = ()
    left_in_change: tuple[str, ...] = ()
    order: ElectionOrder | None = None
    non_voting: tuple[str, ...] = ()

    @classmethod
    def from_document(cls, document: Mapping[str, Any] | None) -> Evidence:
        """Parses the result of `to_document`; without a document there is no evidence."""
        if not document:
            return NO_EVIDENCE
        order = document.get("order")
        return cls(
            lower_bound=tuple(document["floor"]),
            counted_out={
                name: tuple(position) for name, position in document["counted_out"].items()
            },
            unproven=tuple(document["unproven"]),
            left_in_change=tuple(document["left_in_move"]),
            order=ElectionOrder(**order) if order else None,
            non_voting=tuple(document.get("non_voting", ())),
        )

    @property
    def without_vote(self) -> frozenset[str]:
        """The members whose copy of a commit doesn't make it acknowledged.

        While there are any, proxies acknowledge a commit only once another replica shows it.
        Counted out members are among them although they are paused, since a restart ends a pause.
        """
        return frozenset((*self.non_voting, *self.counted_out))

    def unproven_except(self, primary: str) -> tuple[str, ...]:
        """Returns the members that left unproven, without the current primary."""
        return tuple(name for name in self.unproven if name != primary)

    def to_document(self) -> dict[str, Any]:
        """Returns the evidence as plain JSON values; "non_voting" is left out if it is empty."""
        order = self.order
        document = {
            "floor": list(self.lower_bound),
            "counted_out": {
                name: list(position) for name, position in sorted(self.counted_out.items())
            },
            "unproven": list(self.unproven),
            "left_in_move": list(self.left_in_change),
            "order": {"member": order.member, "by": order.by} if order else None,
        }
        if self.non_voting:
            document["non_voting"] = list(self.non_voting)
        return document

    def with_counted_out(self, member: str, position: Position | None) -> Evidence:
        """Returns the evidence with a member counted out at `position`.

        Without a position, the member is not counted out any more, and it votes again.
        """
        others = {name: paused_at for name, paused_at in self.counted_out.items() if name != member}
        if position is None:
            return replace(self.with_vote(member), counted_out=others)
        return replace(self, counted_out={**others, member: position})

    def with_non_voting(self, member: str) -> Evidence:
        """Returns the evidence after the vote of a lost or departed member was removed."""
        return replace(self, non_voting=(*self.with_vote(member).non_voting, member))

    def with_vote(self, member: str) -> Evidence:
        """Returns the evidence with a member that votes again, unless it is counted out."""
        others = tuple(name for name in self.non_voting if name != member)
        return replace(self, non_voting=others)

    def with_bounded_logs(self, members: Iterable[str], position: Position) -> Evidence:
        """Returns the evidence after the logs of ended `members` were bounded by `position`."""
        bounded = set(members)
        return replace(
            self,
            lower_bound=max(self.lower_bound, position),
            unproven=tuple(name for name in self.unproven if name not in bounded),
        )

    def with_election_order(self, order: ElectionOrder) -> Evidence:
        """Returns the evidence with an operator's order to elect a member without proof."""
        return replace(self, order=order)

    def with_departure(self, member: str, during_change: bool) -> Evidence:
        """Returns the evidence after a member signed off.

        With `during_change`, a promotion may be in progress, which ends every pause.
        """
        position = self.counted_out.get(member)
        if position is None or member in self.non_voting:
            # A member that doesn't vote isn't paused: it may receive until its process ends.
            others = {name: at for name, at in self.counted_out.items() if name != member}
            return replace(
                self,
                lower_bound=max(self.lower_bound, position or NO_POSITION),
                counted_out=others,
                unproven=(*self.unproven, member),
            )
        left_in_change = (*self.left_in_change, member) if during_change else self.left_in_change
        return replace(
            self.with_counted_out(member, None),
            lower_bound=max(self.lower_bound, position),
            left_in_change=left_in_change,
        )

    def with_replacement(self, member: str) -> Evidence:
        """Returns the evidence after another member took over the address and log of `member`."""
        return replace(
            self.with_counted_out(member, None),
            unproven=tuple(name for name in self.unproven if name != member),
            left_in_change=tuple(name for name in self.left_in_change if name != member),
        )

    def with_primary(
        self, changed: bool, position: Position, accepted_loss: bool = False
    ) -> Evidence:
        """Returns the evidence after a primary was promoted, or kept, with its log at `position`.

        A promotion ends every pause, so a member that left meanwhile may have received again and
        becomes unproven.
        """
        unproven = () if accepted_loss else self.unproven
        return replace(
            self,
            lower_bound=position if accepted_loss else max(self.lower_bound, position),
            counted_out={} if changed else self.counted_out,
            unproven=(*unproven, *(name for name in self.left_in_change if name not in unproven)),
            left_in_change=(),
            order=None,
        )


NO_EVIDENCE = Evidence()


@dataclass(frozen=True, slots=True)
class Proven:
    """Each of the `candidates` holds every acknowledged commit."""

    candidates: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Unproven:
    """No member may be elected yet.

    Attributes:
        reason: Why, for operators.
        lost_copies: Whether a needed log is gone, so that the wait may need an operator to end it.
    """

    reason: str
    lost_copies: bool = False


def find_electable_members(
    evidence: Evidence, primary: str, replicas: Iterable[str], statuses: Mapping[str, MemberStatus]
) -> Proven | Unproven:
    """Finds the members that may be elected in place of an unresponsive primary.

    The current primary's log is not needed, since a commit is acknowledged only once a replica has
    it.

    Args:
        evidence: The recorded facts.
        primary: The current primary.
        replicas: All members of the group but the current primary.
        statuses: The status of each replica that answered, read while it was paused.
    """
    names = set(replicas)
    required = names - set(evidence.counted_out)
    unresponsive = sorted(required - set(statuses))
    if unresponsive:
        return Unproven("not heard: " + ", ".join(unresponsive))
    departed = ", ".join(evidence.unproven_except(primary))
    if departed:
        return Unproven(f"{departed} left and may have held the only copy of a commit", True)
    lower_bound = max([evidence.lower_bound, *evidence.counted_out.values()])
    required |= _received_since_counted_out(evidence, names, statuses)
    highest = _highest(required, statuses)
    if highest is None or highest < lower_bound:
        # A counted out member that answered may hold what the others lack.
        required = names & set(statuses)
        highest = _highest(required, statuses)
    if highest is None:
        return Unproven("no replica is left")
    if highest < lower_bound:
        return Unproven(
            f"nobody holds {_format(lower_bound)}; the highest is {_format(highest)}",
            True,
        )
    return Proven(tuple(sorted(name for name in required if statuses[name].position == highest)))


def _received_since_counted_out(
    evidence: Evidence, names: Iterable[str], statuses: Mapping[str, MemberStatus]
) -> set[str]:
    """Returns the counted out members that answered and have received the log since then."""
    return {
        name
        for name in names
        if name in statuses
        and name in evidence.counted_out
        and statuses[name].position > evidence.counted_out[name]
    }


def _highest(names: Iterable[str], statuses: Mapping[str, MemberStatus]) -> Position | None:
    return max((statuses[name].position for name in names), default=None)


def _format(position: Position) -> str:
    return f"{position[0]}.{position[1]}"

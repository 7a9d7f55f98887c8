"""What proves that a member holds every acknowledged commit of its group.

Pure functions over values: no clock, no links. The ledger keeps one `Evidence` for each group and
replaces it with every record that changes it; the failover coordinator only asks `decide`.

The invariant: every acknowledged commit is at or below `floor`, or is in the log of a member that
is still in the group, or in the log of a member named in `unproven`.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

__all__ = [
    "NO_EVIDENCE",
    "NO_POSITION",
    "ElectionOrder",
    "Evidence",
    "MemberRow",
    "Position",
    "Proven",
    "Unproven",
    "decide",
]

Position = tuple[int, int]
NO_POSITION: Position = (0, 0)


@dataclass(frozen=True, slots=True)
class ElectionOrder:
    """An operator's order to elect `member` although acknowledged commits may be lost."""

    member: str
    by: str


@dataclass(frozen=True, slots=True)
class MemberRow:
    """A member's own answer to STATUS."""

    role: str
    term: int
    position: Position
    held_term: int

    @property
    def is_primary(self) -> bool:
        """Whether it leads, as it sees itself."""
        return self.role == "primary"

    @classmethod
    def from_wire(cls, row: Mapping) -> "MemberRow":
        """The row as a member's connection reports it."""
        return cls(row["role"], row["term"], tuple(row["pos"]), row["held"])


@dataclass(frozen=True, slots=True)
class Evidence:
    """The recorded facts about the logs of one group's members.

    Attributes:
        floor: An elected member must hold at least this position.
        counted_out: Leaving members that are paused, with the position each was paused at.
        unproven: Members that left while theirs may have been the only copy of a commit.
        left_in_move: Members that left counted out while a promotion may have ended their pause.
        order: An operator's order to elect a member without proof.
    """

    floor: Position = NO_POSITION
    counted_out: Mapping[str, Position] = None
    unproven: tuple[str, ...] = ()
    left_in_move: tuple[str, ...] = ()
    order: ElectionOrder | None = None

    def __post_init__(self) -> None:
        """Turns a missing map into an empty one."""
        if self.counted_out is None:
            object.__setattr__(self, "counted_out", {})

    @classmethod
    def from_document(cls, document: Mapping | None) -> "Evidence":
        """Reads what `document` wrote; nothing recorded is no evidence."""
        if not document:
            return NO_EVIDENCE
        order = document.get("order")
        return cls(
            floor=tuple(document["floor"]),
            counted_out={n: tuple(at) for n, at in document["counted_out"].items()},
            unproven=tuple(document["unproven"]),
            left_in_move=tuple(document["left_in_move"]),
            order=ElectionOrder(**order) if order else None,
        )

    def unproven_beside(self, primary: str) -> tuple[str, ...]:
        """Who left unproven, but for the primary in office."""
        return tuple(n for n in self.unproven if n != primary)

    def document(self) -> dict:
        """The evidence as plain JSON values."""
        order = self.order
        return {
            "floor": list(self.floor),
            "counted_out": {n: list(at) for n, at in sorted(self.counted_out.items())},
            "unproven": list(self.unproven),
            "left_in_move": list(self.left_in_move),
            "order": {"member": order.member, "by": order.by} if order else None,
        }

    def with_counted_out(self, member: str, position: Position | None) -> "Evidence":
        """The member is paused at `position`, or receives again if that is None."""
        others = {n: at for n, at in self.counted_out.items() if n != member}
        if position is not None:
            others[member] = position
        return replace(self, counted_out=others)

    def with_bound(self, members: Iterable[str], position: Position) -> "Evidence":
        """The logs of `members`, which have ended, are at or below `position`."""
        bounded = set(members)
        return replace(
            self,
            floor=max(self.floor, position),
            unproven=tuple(n for n in self.unproven if n not in bounded),
        )

    def with_order(self, order: ElectionOrder) -> "Evidence":
        """The operator ordered an election without proof."""
        return replace(self, order=order)

    def with_departure(self, member: str, moving: bool) -> "Evidence":
        """A member signed off; `moving` tells that a promotion may be under way, ending its pause."""
        position = self.counted_out.get(member)
        if position is None:
            return replace(self, unproven=(*self.unproven, member))
        left_in_move = (*self.left_in_move, member) if moving else self.left_in_move
        return replace(
            self.with_counted_out(member, None),
            floor=max(self.floor, position),
            left_in_move=left_in_move,
        )

    def with_successor(self, member: str) -> "Evidence":
        """Another member of the group came to the address of `member` and took its log along."""
        return replace(
            self.with_counted_out(member, None),
            unproven=tuple(n for n in self.unproven if n != member),
            left_in_move=tuple(n for n in self.left_in_move if n != member),
        )

    def with_primary(
        self, changed: bool, position: Position, accepted_loss: bool = False
    ) -> "Evidence":
        """The office settled on a primary whose log reaches `position`.

        A promotion ends every pause, so whoever left meanwhile may have received again.
        """
        unproven = () if accepted_loss else self.unproven
        return replace(
            self,
            floor=position if accepted_loss else max(self.floor, position),
            counted_out={} if changed else self.counted_out,
            unproven=(*unproven, *(n for n in self.left_in_move if n not in unproven)),
            left_in_move=(),
            order=None,
        )


NO_EVIDENCE = Evidence()


@dataclass(frozen=True, slots=True)
class Proven:
    """Each of `candidates` holds every acknowledged commit."""

    candidates: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Unproven:
    """Nobody may be elected yet; `lost_copies` tells that waiting for the group alone won't help."""

    reason: str
    lost_copies: bool = False


def decide(
    evidence: Evidence, primary: str, replicas: Iterable[str], rows: Mapping[str, MemberRow]
) -> Proven | Unproven:
    """Who may be elected in place of a primary that is not heard.

    The log of the primary in office is not needed: a commit was only acknowledged once a replica
    had it.

    Args:
        evidence: The recorded facts.
        primary: The primary in office.
        replicas: All members of the group but the primary in office.
        rows: The rows of those that answered; each is from while its member was paused.
    """
    names = set(replicas)
    required = names - set(evidence.counted_out)
    unheard = sorted(required - set(rows))
    if unheard:
        return Unproven("not heard: " + ", ".join(unheard))
    left = ", ".join(evidence.unproven_beside(primary))
    if left:
        return Unproven(f"{left} left and may have held the only copy of a commit", True)
    floor = max([evidence.floor, *evidence.counted_out.values()])
    best = _highest(required, rows)
    if best is None or best < floor:
        required = names & set(rows)
        best = _highest(required, rows)
    if best is None:
        return Unproven("no replica is left")
    if best < floor:
        return Unproven(f"nobody holds {_text(floor)}; the highest is {_text(best)}", True)
    return Proven(tuple(sorted(n for n in required if rows[n].position == best)))


def _highest(names: Iterable[str], rows: Mapping[str, MemberRow]) -> Position | None:
    return max((rows[n].position for n in names), default=None)


def _text(position: Position) -> str:
    return f"{position[0]}.{position[1]}"

"""What members announce: heard here, reported by the other control nodes, and both merged."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from petrelhaven.runtime.clock import Clock

__all__ = ["AnnouncementTable", "HeardAnnouncement", "MemberObservation", "NodeReport"]

_FORGET_US = 600_000_000
_SEEN_LATELY_US = 1_000_000

Document = dict[str, Any]


@dataclass(frozen=True, slots=True)
class HeardAnnouncement:
    """A member's last announcement to this node.

    Attributes:
        document: The announcement as it came.
        at: When (clock microseconds).
    """

    document: Document
    at: int


@dataclass(slots=True)
class MemberObservation:
    """What the control nodes know of a member.

    Attributes:
        name: The member.
        group: Its group.
        zone: Where it runs.
        address: Where proxies reach it.
        role: `primary` or `replica`, as it sees itself.
        log: Where its log ends.
        term: The term of its log.
        capacity: How many connections it takes.
        draining: Whether it is about to leave.
        boot: Which process it is.
        store: Which store it has; another one means that its data is lost.
        warm: Whether its caches are warm enough for reads.
        heartbeat: Counts the announcements of one process.
        age_us: How old its newest announcement is.
        seen_by: The control nodes that heard it lately.
        is_stalled: Whether its log is behind where the primary's was for too long.
        is_near: Whether its log is close to the primary's.
        not_primary_us: For how long the planned primary has not announced itself as one.
    """

    name: str
    group: str
    zone: str
    address: str
    role: str
    log: int
    term: int
    capacity: int
    draining: bool
    boot: str
    store: str
    warm: bool
    heartbeat: int
    age_us: int = 0
    seen_by: list[str] = field(default_factory=list)
    is_stalled: bool = False
    is_near: bool = False
    not_primary_us: int = 0

    @classmethod
    def from_announcement(cls, document: Mapping[str, Any], age_us: int) -> MemberObservation:
        """Reads an announcement, as members send it."""
        return cls(
            name=document["member"],
            group=document["group"],
            zone=document["hall"],
            address=document["addr"],
            role=document["role"],
            log=document["log"],
            term=document["term"],
            capacity=document["cap"],
            draining=document["draining"],
            boot=document["boot"],
            store=document["store"],
            warm=document["warm"],
            heartbeat=document.get("beat", 0),
            age_us=age_us,
        )

    @property
    def is_primary(self) -> bool:
        """Whether it announced itself as a primary."""
        return self.role == "primary"

    @property
    def is_replica(self) -> bool:
        """Whether it announced itself as a replica."""
        return self.role == "replica"

    def is_superseded_by(self, other: MemberObservation) -> bool:
        """Whether `other` is newer: by its count, or by its age where the process is another."""
        if other.boot == self.boot:
            return other.heartbeat > self.heartbeat
        return other.age_us < self.age_us

    def to_evidence(self) -> Document:
        """What an epoch's record keeps of it, for operators."""
        return {
            "role": self.role,
            "log": self.log,
            "hall": self.zone,
            "draining": self.draining,
            "stalled": self.is_stalled,
            "age": self.age_us,
            "boot": self.boot,
            "seen_by": self.seen_by,
        }


@dataclass(frozen=True, slots=True)
class NodeReport:
    """What one control node has heard; the answer to the message `duty.heard`.

    Attributes:
        at: When the report was requested (clock microseconds): its ages are those of then or later.
        members: The announcement of each member, with its age in microseconds.
        leases: For how many microseconds each proxy's lease still runs; negative once it is over.
    """

    at: int
    members: Mapping[str, tuple[Document, int]]
    leases: Mapping[str, int]

    @classmethod
    def from_document(cls, document: Mapping[str, Any], at: int) -> NodeReport:
        """Reads what `to_document` wrote."""
        members = {
            name: (entry["doc"], entry["age"]) for name, entry in document["members"].items()
        }
        return cls(at, members, document["edges"])

    def to_document(self) -> Document:
        """The report as it is sent."""
        members = {name: {"doc": doc, "age": age} for name, (doc, age) in self.members.items()}
        return {"members": members, "edges": dict(self.leases)}


class AnnouncementTable:
    """The announcements that this node heard, and the reports of the others.

    Attributes:
        heard: The last announcement of each member.
        reports: The last report of each other control node.
    """

    def __init__(self, clock: Clock, name: str) -> None:
        """Has heard nobody yet; `name` is this node's."""
        self._clock, self._name = clock, name
        self.heard: dict[str, HeardAnnouncement] = {}
        self.reports: dict[str, NodeReport] = {}

    def take(self, document: Document) -> None:
        """Takes an announcement, unless a newer one of the same process came before."""
        last = self.heard.get(document["member"])
        if last is not None and _is_older(document, last.document):
            return
        self.heard[document["member"]] = HeardAnnouncement(document, self._clock.now())

    def forget_old(self, needed: Iterable[str]) -> None:
        """Forgets members that have not announced themselves for long, but for `needed`."""
        oldest = self._clock.now() - _FORGET_US
        spared = set(needed)
        for name in [n for n, heard in self.heard.items() if heard.at < oldest]:
            if name not in spared:
                del self.heard[name]

    def report(self, leases: Mapping[str, int]) -> NodeReport:
        """What this node has heard; `leases` tells when each proxy's lease ends, by this clock."""
        now = self._clock.now()
        members = {name: (heard.document, now - heard.at) for name, heard in self.heard.items()}
        return NodeReport(now, members, {proxy: end - now for proxy, end in leases.items()})

    def observations(self) -> dict[str, MemberObservation]:
        """The newest that any control node knows of each member."""
        merged: dict[str, MemberObservation] = {}
        for node, report in [(self._name, self.report({})), *sorted(self.reports.items())]:
            elapsed_us = self._clock.now() - report.at
            for name, (document, age_us) in report.members.items():
                _merge(merged, name, document, age_us + elapsed_us)
                if age_us + elapsed_us < _SEEN_LATELY_US:
                    merged[name].seen_by = sorted({*merged[name].seen_by, node})
        return merged


def _is_older(document: Document, last: Document) -> bool:
    """Whether an announcement was sent before another one of the same process."""
    same_process: bool = last["boot"] == document["boot"]
    return same_process and last.get("beat", 0) > document.get("beat", 0)


def _merge(
    merged: dict[str, MemberObservation], name: str, document: Document, age_us: int
) -> None:
    """Takes one node's announcement of a member into what is known of it."""
    new = MemberObservation.from_announcement(document, age_us)
    known = merged.get(name)
    if known is None:
        merged[name] = new
        return
    same_process = known.boot == new.boot
    if known.is_superseded_by(new):
        new.seen_by = known.seen_by
        new.age_us = min(age_us, known.age_us) if same_process else age_us
        merged[name] = new
    elif same_process:
        known.age_us = min(known.age_us, age_us)

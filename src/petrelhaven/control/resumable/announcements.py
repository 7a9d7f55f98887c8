"""Members' announcements that this node or the other control nodes received."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from petrelhaven.runtime.clock import Clock

__all__ = ["AnnouncementTable", "ReceivedAnnouncement", "MemberObservation", "NodeReport"]

_RETENTION_US = 600_000_000
_SEEN_RECENTLY_US = 1_000_000

Document = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ReceivedAnnouncement:
    """A member's last announcement to this node.

    Attributes:
        document: The announcement as it was received.
        received_at: When it was received (clock microseconds).
    """

    document: Document
    received_at: int


@dataclass(slots=True)
class MemberObservation:
    """The newest state of a member that any control node has received.

    Attributes:
        name: The member's name.
        group: The name of its group.
        zone: The zone in which it runs.
        address: The address at which proxies connect to it.
        role: `primary` or `replica`, as announced.
        log: The position at which its log ends.
        term: The term of its log.
        capacity: How many connections it accepts.
        draining: Whether it is about to leave.
        boot: The identifier of its process.
        store: The identifier of its store; if that changes, the member has lost its data.
        warm: Whether its caches are warm enough for reads.
        heartbeat: The number of the announcement, counted from the start of the process.
        age_us: The age of its newest announcement, in microseconds.
        seen_by: The control nodes that received an announcement within the last second.
        is_stalled: Whether its log lags the primary's by more than the permitted time.
        is_near: Whether its log is close to the end of the primary's.
        not_primary_us: For how long the planned primary has announced itself as a replica.
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
        """Creates the observation from the document of an announcement."""
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
        """Whether the member announced itself as a primary."""
        return self.role == "primary"

    @property
    def is_replica(self) -> bool:
        """Whether the member announced itself as a replica."""
        return self.role == "replica"

    def is_superseded_by(self, other: MemberObservation) -> bool:
        """Returns whether `other` is newer.

        Announcements of one process are compared by number, those of different processes by age.
        """
        if other.boot == self.boot:
            return other.heartbeat > self.heartbeat
        return other.age_us < self.age_us

    def to_evidence(self) -> Document:
        """Returns the part that is stored in an epoch's record, for operators."""
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
    """The announcements and leases of one control node; the response to the message `duty.heard`.

    Attributes:
        requested_at: When the report was requested (clock microseconds); it was made at this
            time or later.
        members: The announcement of each member, with its age in microseconds.
        leases: The remaining time of each proxy's lease in microseconds, negative after its end.
    """

    requested_at: int
    members: Mapping[str, tuple[Document, int]]
    leases: Mapping[str, int]

    @classmethod
    def from_document(cls, document: Mapping[str, Any], requested_at: int) -> NodeReport:
        """Parses a document that `to_document` returned."""
        members = {
            name: (entry["doc"], entry["age"]) for name, entry in document["members"].items()
        }
        return cls(requested_at, members, document["edges"])

    def to_document(self) -> Document:
        """Returns the report as plain JSON values."""
        members = {name: {"doc": doc, "age": age} for name, (doc, age) in self.members.items()}
        return {"members": members, "edges": dict(self.leases)}


class AnnouncementTable:
    """The announcements that this node received, and the reports of the other control nodes.

    Attributes:
        received: The last announcement of each member to this node.
        reports: The last report of each other control node.
    """

    def __init__(self, clock: Clock, name: str) -> None:
        """Starts with an empty table; `name` is the name of this node."""
        self._clock, self._name = clock, name
        self.received: dict[str, ReceivedAnnouncement] = {}
        self.reports: dict[str, NodeReport] = {}

    def add_announcement(self, document: Document) -> None:
        """Stores an announcement unless a newer one of the same process is stored already."""
        last = self.received.get(document["member"])
        if last is not None and _is_older(document, last.document):
            return
        self.received[document["member"]] = ReceivedAnnouncement(document, self._clock.now())

    def remove_old(self, retained: Iterable[str]) -> None:
        """Removes members without a recent announcement, except those in `retained`."""
        oldest = self._clock.now() - _RETENTION_US
        retained_names = set(retained)
        for name in [n for n, last in self.received.items() if last.received_at < oldest]:
            if name not in retained_names:
                del self.received[name]

    def make_report(self, leases: Mapping[str, int]) -> NodeReport:
        """Creates this node's report; `leases` has the end of each proxy's lease by this clock."""
        now = self._clock.now()
        members = {
            name: (last.document, now - last.received_at) for name, last in self.received.items()
        }
        return NodeReport(now, members, {proxy: end - now for proxy, end in leases.items()})

    def merge_observations(self) -> dict[str, MemberObservation]:
        """Returns the newest observation of each member by any control node."""
        merged: dict[str, MemberObservation] = {}
        for node, report in [(self._name, self.make_report({})), *sorted(self.reports.items())]:
            elapsed_us = self._clock.now() - report.requested_at
            for name, (document, age_us) in report.members.items():
                _merge(merged, name, document, age_us + elapsed_us)
                if age_us + elapsed_us < _SEEN_RECENTLY_US:
                    merged[name].seen_by = sorted({*merged[name].seen_by, node})
        return merged


def _is_older(document: Document, last: Document) -> bool:
    """Returns whether both are of the same process and `document` was sent before `last`."""
    same_process: bool = last["boot"] == document["boot"]
    return same_process and last.get("beat", 0) > document.get("beat", 0)


def _merge(
    merged: dict[str, MemberObservation], name: str, document: Document, age_us: int
) -> None:
    """Merges an announcement that one control node received into `merged`."""
    new = MemberObservation.from_announcement(document, age_us)
    previous = merged.get(name)
    if previous is None:
        merged[name] = new
        return
    same_process = previous.boot == new.boot
    if previous.is_superseded_by(new):
        new.seen_by = previous.seen_by
        new.age_us = min(age_us, previous.age_us) if same_process else age_us
        merged[name] = new
    elif same_process:
        previous.age_us = min(previous.age_us, age_us)

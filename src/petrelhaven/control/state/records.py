"""The numbered records that change the control state, as typed values and as JSON documents.

The chain, the record log and the connections carry records as JSON documents without reading them.
Code that submits a record builds it here and passes on `to_document()`; code that applies one reads
it with `from_document`. The keys of the documents are part of the stored data and must not change
(`t` is the kind of a record). Optional fields that are None are left out.

`control/resumable/records` has the records that only resumable sessions use.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, ClassVar, Union

from petrelhaven.control.state.counting_record import CountingRecord
from petrelhaven.control.state.evidence_records import EvidenceRecord, evidence_from_document
from petrelhaven.control.state.record import (
    KIND_KEY,
    Document,
    Position,
    parse_position,
    record_kind,
    stored_row,
    without_none,
)
from petrelhaven.control.state.rows import MemberState

if TYPE_CHECKING:
    from petrelhaven.control.embargo.records import EmbargoRecord

__all__ = [
    "COUNT_LIMIT",
    "ConfigurationRecord",
    "ControlRecord",
    "DepartureRecord",
    "LeadershipRecord",
    "MemberRecord",
    "SupersededConfiguration",
    "ZoneRecord",
    "from_document",
]

COUNT_LIMIT = 1 << 53
"""Counts of announcements are below this limit, which JSON readers with floats hold exactly."""


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """A complete configuration.

    Attributes:
        text: The operator's document, unchanged.
        version: Its version; 0 with resumable sessions, which read it from the text.
        by: Who applied it.
        retire: Whether groups with a primary may be removed; None if not specified.
        embargo: Scope and rules of its embargoes; None without any.
    """

    kind: ClassVar[str] = "manifest"
    text: str
    version: int = 0
    by: str = ""
    retire: bool | None = None
    embargo: Mapping[str, Any] | None = None

    @classmethod
    def from_document(cls, document: Document) -> ConfigurationRecord:
        """Reads a document written by `to_document`."""
        return cls(
            text=document["text"],
            version=document.get("version", 0),
            by=document.get("by", ""),
            retire=document.get("retire"),
            embargo=document.get("embargo"),
        )

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""
        version = {"version": self.version} if self.version else {}
        optional = {"retire": self.retire, "embargo": self.embargo}
        return {
            KIND_KEY: self.kind,
            "text": self.text,
            **version,
            "by": self.by,
            **without_none(optional),
        }


@dataclass(frozen=True, slots=True)
class SupersededConfiguration:
    """A placeholder for a configuration that a later record replaces; it changes nothing."""

    kind: ClassVar[str] = "pass"

    @classmethod
    def from_document(cls, document: Document) -> SupersededConfiguration:
        """Reads a document written by `to_document`."""
        return cls()

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""
        return {KIND_KEY: self.kind}


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """A zone is evacuated (`emptied`) or restored (`open`)."""

    kind: ClassVar[str] = "hall"
    zone: str
    state: str
    by: str = ""

    @classmethod
    def from_document(cls, document: Document) -> ZoneRecord:
        """Reads a document written by `to_document`."""
        return cls(document["hall"], document["state"], document.get("by", ""))

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""
        return {KIND_KEY: self.kind, "hall": self.zone, "state": self.state, "by": self.by}


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A new member, or a member that announced a new state or role.

    Attributes:
        name: Its name, unique among all groups.
        group: The group that it belongs to.
        zone: The zone that it runs in.
        address: Host and port.
        role: primary or replica, as announced by the member.
        state: ready or draining.
        slots: How many requests it accepts at once.
        count: Rises with each announcement of a member.
        row: The stored fields of the record; set by `from_document` only.
    """

    kind: ClassVar[str] = "member"
    name: str
    group: str
    zone: str
    address: str
    role: str
    state: str
    slots: int
    count: int
    row: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)

    @classmethod
    def from_document(cls, document: Document) -> MemberRecord:
        """Reads a document written by `to_document`."""
        return cls(
            name=document["name"],
            group=document["group"],
            zone=document["hall"],
            address=document["addr"],
            role=document["role"],
            state=document["state"],
            slots=document["slots"],
            count=document["count"],
            row=stored_row(document, "name"),
        )

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""
        return {
            KIND_KEY: self.kind,
            "name": self.name,
            "group": self.group,
            "hall": self.zone,
            "addr": self.address,
            "role": self.role,
            "state": self.state,
            "slots": self.slots,
            "count": self.count,
        }


@dataclass(frozen=True, slots=True)
class DepartureRecord:
    """A member is gone: it deregistered, or was deregistered after it ended.

    Attributes:
        name: Its name.
        address: Its host and port; "" if they aren't known.
        count: Its announcements up to this count were sent before it departed; None if only those
            up to the recorded count are known to be.
    """

    kind: ClassVar[str] = "member"
    name: str
    address: str
    count: int | None = None

    @classmethod
    def from_document(cls, document: Document) -> DepartureRecord:
        """Reads a document written by `to_document`."""
        return cls(document["name"], document["addr"], document.get("count"))

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""
        return {
            KIND_KEY: self.kind,
            "name": self.name,
            "state": str(MemberState.GONE),
            "addr": self.address,
            **without_none({"count": self.count}),
        }


@dataclass(frozen=True, slots=True)
class LeadershipRecord:
    """A group has a new primary, or a leader change has started.

    Attributes:
        group: The group.
        number: The number of the group's previous record plus one; it is the fencing token.
        phase: serve, move (failover: no primary is known to serve) or swap (switchover: the old
            primary still serves).
        primary: The new primary, or the old one during a change.
        term: The term under which the primary was promoted.
        cause: The reason, for operators.
        by: The control node that submitted the record.
        stuck: Whether no candidate can be promoted at present.
        position: The end of the new primary's log at its promotion.
        accepted_loss: The operator who accepted a possible loss of commits; "" if none did.
        requested: Candidates whose promotion was requested and isn't known to have failed.
        row: The stored fields of the record; set by `from_document` only.
    """

    kind: ClassVar[str] = "office"
    group: str
    number: int
    phase: str
    primary: str
    term: int = 0
    cause: str = ""
    by: str = ""
    stuck: bool = False
    position: Position | None = None
    accepted_loss: str = ""
    requested: tuple[str, ...] = ()
    row: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)

    @classmethod
    def from_document(cls, document: Document) -> LeadershipRecord:
        """Reads a document written by `to_document`."""
        return cls(
            group=document["group"],
            number=document["n"],
            phase=document["phase"],
            primary=document["primary"],
            term=document.get("term", 0),
            cause=document.get("cause", ""),
            by=document.get("by", ""),
            stuck=document.get("stuck", False),
            position=parse_position(document.get("pos")),
            accepted_loss=document.get("accepted_loss", ""),
            requested=tuple(document.get("requested", ())),
            row=stored_row(document, "group"),
        )

    def to_document(self) -> Document:
        """Returns the record as a JSON document."""
        optional = {
            "pos": list(self.position) if self.position else None,
            "accepted_loss": self.accepted_loss or None,
            "requested": list(self.requested) or None,
        }
        return {
            KIND_KEY: self.kind,
            "group": self.group,
            "n": self.number,
            "phase": self.phase,
            "primary": self.primary,
            "term": self.term,
            "cause": self.cause,
            "by": self.by,
            "stuck": self.stuck,
            **without_none(optional),
        }


def _member_from_document(document: Document) -> MemberRecord | DepartureRecord:
    if document["state"] == MemberState.GONE:
        return DepartureRecord.from_document(document)
    return MemberRecord.from_document(document)


def _embargo_from_document(document: Document) -> EmbargoRecord:
    """Reads an embargo record; imports the embargo modules only when one occurs."""
    from petrelhaven.control.embargo.records import EmbargoRecord

    return EmbargoRecord.from_document(document)


ControlRecord = Union[  # noqa: UP007 (a forward reference to a type that isn't imported)
    ConfigurationRecord,
    SupersededConfiguration,
    ZoneRecord,
    MemberRecord,
    DepartureRecord,
    LeadershipRecord,
    EvidenceRecord,
    CountingRecord,
    "EmbargoRecord",
]
_READERS: Mapping[str, Callable[[Document], ControlRecord]] = {
    ConfigurationRecord.kind: ConfigurationRecord.from_document,
    SupersededConfiguration.kind: SupersededConfiguration.from_document,
    ZoneRecord.kind: ZoneRecord.from_document,
    MemberRecord.kind: _member_from_document,
    LeadershipRecord.kind: LeadershipRecord.from_document,
    CountingRecord.kind: CountingRecord.from_document,
    "evidence": evidence_from_document,
    "embargo": _embargo_from_document,
}


def from_document(document: Document) -> ControlRecord:
    """Reads the record in a JSON document.

    Raises:
        KeyError: The kind of the record is unknown, or a field is missing.
    """
    return _READERS[record_kind(document)](document)

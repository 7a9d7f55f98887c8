"""The numbered records that only the control state of resumable sessions has.

Configurations and zones are shared with `control/state/records`, whose contract holds here too.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, ClassVar

from petrelhaven.control.state.record import (
    KIND_KEY,
    Document,
    record_kind,
    stored_row,
    without_none,
)
from petrelhaven.control.state.records import (
    ConfigurationRecord,
    ZoneRecord,
)

__all__ = [
    "EpochInForceRecord",
    "EpochRecord",
    "LeaseExpiryRecord",
    "ProxyRecord",
    "ResumableRecord",
    "from_document",
]


@dataclass(frozen=True, slots=True)
class ProxyRecord:
    """A proxy came (`up`), drains, or is gone.

    Attributes:
        incarnation: Rises with each start of the proxy.
        boot: Which process of that incarnation it is.
        zone: Where it runs.
        address: Where other proxies and control nodes reach it.
        http: Where clients reach it.
        cause: Why it counts as gone, for operators.
        by: The proxy itself, or the control node that entered the record.
    """

    kind: ClassVar[str] = "edge"
    name: str
    incarnation: int
    state: str
    boot: str | None = None
    zone: str | None = None
    address: str | None = None
    http: str | None = None
    cause: str | None = None
    by: str | None = None

    @classmethod
    def from_document(cls, document: Document) -> ProxyRecord:
        """Reads what `to_document` made."""
        return cls(
            name=document["name"],
            incarnation=document["inc"],
            state=document["state"],
            boot=document.get("boot"),
            zone=document.get("hall"),
            address=document.get("addr"),
            http=document.get("http"),
            cause=document.get("cause"),
            by=document.get("by"),
        )

    def to_document(self) -> Document:
        """The record as plain JSON values."""
        optional = {
            "boot": self.boot,
            "hall": self.zone,
            "addr": self.address,
            "http": self.http,
            "cause": self.cause,
            "by": self.by,
        }
        return {
            KIND_KEY: self.kind,
            "name": self.name,
            "inc": self.incarnation,
            "state": self.state,
            **without_none(optional),
        }


@dataclass(frozen=True, slots=True)
class LeaseExpiryRecord:
    """The lease of a proxy that is gone has certainly expired."""

    kind: ClassVar[str] = "lapse"
    name: str
    incarnation: int

    @classmethod
    def from_document(cls, document: Document) -> LeaseExpiryRecord:
        """Reads what `to_document` made."""
        return cls(document["name"], document["inc"])

    def to_document(self) -> Document:
        """The record as plain JSON values."""
        return {KIND_KEY: self.kind, "name": self.name, "inc": self.incarnation}


@dataclass(frozen=True, slots=True)
class EpochRecord:
    """The plan for a group from now on: its primary, its replicas and the proxies' connections.

    Attributes:
        number: One above that of the group's epoch before.
        phase: `serve`, or `halt` while a primary is looked for.
        primary: The member that takes writes.
        awaited: Replicas whose acknowledgement each commit waits for.
        electable: Replicas that hold every acknowledged commit.
        readers: Replicas that may answer reads.
        open: Whether writes are acknowledged.
        shares: How many connections each proxy may open to each member.
        stores: Which store each member held when it was planned.
        grace_us: How long sessions may go on after the epoch is known, in microseconds.
        term: The term under which the primary was promoted.
        places: Address, zone and process of each member.
        cause: Why, for operators.
        evidence: The observations that led to it, for operators.
        previous: The primary before.
        by: The control node that planned it.
        view: The number of the view in which it was planned.
        row: What is stored of the record; set by `from_document` only.
    """

    kind: ClassVar[str] = "epoch"
    group: str
    number: int
    phase: str | None = None
    primary: str | None = None
    awaited: tuple[str, ...] = ()
    electable: tuple[str, ...] = ()
    readers: tuple[str, ...] = ()
    open: bool = False
    shares: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    stores: Mapping[str, str] = field(default_factory=dict)
    grace_us: int = 0
    term: int = 0
    places: Mapping[str, Any] = field(default_factory=dict)
    cause: str = ""
    evidence: Mapping[str, Any] = field(default_factory=dict)
    previous: str | None = None
    by: str | None = None
    view: int | None = None
    row: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)

    @classmethod
    def from_document(cls, document: Document) -> EpochRecord:
        """Reads what `to_document` made."""
        return cls(
            group=document["group"],
            number=document["n"],
            phase=document.get("phase"),
            primary=document.get("primary"),
            awaited=tuple(document.get("hold", ())),
            electable=tuple(document.get("safe", ())),
            readers=tuple(document.get("gates", ())),
            open=document.get("open", False),
            shares=document.get("shares", {}),
            stores=document.get("stores", {}),
            grace_us=document.get("grace", 0),
            term=document.get("term", 0),
            places=document.get("where", {}),
            cause=document.get("cause", ""),
            evidence=document.get("evidence", {}),
            previous=document.get("was"),
            by=document.get("by"),
            view=document.get("view"),
            row=stored_row(document),
        )

    def to_document(self) -> Document:
        """The record as plain JSON values; `was` is null for the first epoch of a group."""
        return {
            KIND_KEY: self.kind,
            "group": self.group,
            "n": self.number,
            "phase": self.phase,
            "primary": self.primary,
            "hold": list(self.awaited),
            "safe": list(self.electable),
            "gates": list(self.readers),
            "open": self.open,
            "shares": self.shares,
            "stores": self.stores,
            "grace": self.grace_us,
            "term": self.term,
            "where": self.places,
            "cause": self.cause,
            "evidence": self.evidence,
            "was": self.previous,
            **without_none({"by": self.by, "view": self.view}),
        }


@dataclass(frozen=True, slots=True)
class EpochInForceRecord:
    """Every proxy follows epoch `number` of a group or has lost its lease."""

    kind: ClassVar[str] = "settle"
    group: str
    number: int

    @classmethod
    def from_document(cls, document: Document) -> EpochInForceRecord:
        """Reads what `to_document` made."""
        return cls(document["group"], document["n"])

    def to_document(self) -> Document:
        """The record as plain JSON values."""
        return {KIND_KEY: self.kind, "group": self.group, "n": self.number}


ResumableRecord = (
    ConfigurationRecord
    | ZoneRecord
    | ProxyRecord
    | LeaseExpiryRecord
    | EpochRecord
    | EpochInForceRecord
)
_READERS: Mapping[str, Callable[[Document], ResumableRecord]] = {
    ConfigurationRecord.kind: ConfigurationRecord.from_document,
    ZoneRecord.kind: ZoneRecord.from_document,
    ProxyRecord.kind: ProxyRecord.from_document,
    LeaseExpiryRecord.kind: LeaseExpiryRecord.from_document,
    EpochRecord.kind: EpochRecord.from_document,
    EpochInForceRecord.kind: EpochInForceRecord.from_document,
}


def from_document(document: Document) -> ResumableRecord:
    """The record of a JSON document.

    Raises:
        KeyError: The kind of the record is not known, or one of its fields is missing.
    """
    return _READERS[record_kind(document)](document)

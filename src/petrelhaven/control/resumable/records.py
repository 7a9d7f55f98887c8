"""The numbered records that only the control state for resumable sessions has.

`control/state/records` has the records of configurations and zones, and the rules for stored keys,
which apply here too.
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
    """A proxy has registered (`up`), is draining or is gone.

    Attributes:
        name: The name of the proxy.
        incarnation: The proxy's incarnation, which increases with each start.
        state: The state of the proxy.
        boot: The identifier of the proxy's process.
        zone: The zone in which it runs.
        address: The address for other proxies and control nodes.
        http: The address for clients.
        cause: Why it was recorded as gone, for operators.
        by: The proxy itself, or the control node that appended the record.
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
        """Parses a document that `to_document` returned."""
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
        """Returns the record as plain JSON values."""
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
    """The lease of a proxy that is recorded as gone has expired."""

    kind: ClassVar[str] = "lapse"
    name: str
    incarnation: int

    @classmethod
    def from_document(cls, document: Document) -> LeaseExpiryRecord:
        """Parses a document that `to_document` returned."""
        return cls(document["name"], document["inc"])

    def to_document(self) -> Document:
        """Returns the record as plain JSON values."""
        return {KIND_KEY: self.kind, "name": self.name, "inc": self.incarnation}


@dataclass(frozen=True, slots=True)
class EpochRecord:
    """A new epoch of a group: its primary, its replicas and the proxies' connection shares.

    Attributes:
        group: The name of the group.
        number: The number of the epoch, one higher than that of the group's previous epoch.
        phase: `serve`, or `halt` while writes are stopped until a primary is promoted.
        primary: The member that accepts writes; in phase `halt`, the one that did before.
        sync_replicas: Replicas whose acknowledgement each commit waits for.
        electable: Replicas that hold every acknowledged commit.
        readers: Replicas that may answer reads.
        acknowledges_writes: Whether commits are acknowledged to clients.
        shares: How many connections each proxy may open to each member.
        stores: The identifier of each member's store when the epoch was planned.
        grace_us: How long proxies may use the old primary after they receive the epoch, in
            microseconds.
        term: The term under which the primary was promoted.
        locations: Address, zone and process of each member.
        cause: Why the epoch was planned, for operators.
        evidence: The observations from which it was planned, for operators.
        previous_primary: The primary of the previous epoch, or None.
        by: The control node that planned it.
        view: The number of the view in which it was planned.
        row: The stored document of the record; set by `from_document` only.
    """

    kind: ClassVar[str] = "epoch"
    group: str
    number: int
    phase: str | None = None
    primary: str | None = None
    sync_replicas: tuple[str, ...] = ()
    electable: tuple[str, ...] = ()
    readers: tuple[str, ...] = ()
    acknowledges_writes: bool = False
    shares: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    stores: Mapping[str, str] = field(default_factory=dict)
    grace_us: int = 0
    term: int = 0
    locations: Mapping[str, Any] = field(default_factory=dict)
    cause: str = ""
    evidence: Mapping[str, Any] = field(default_factory=dict)
    previous_primary: str | None = None
    by: str | None = None
    view: int | None = None
    row: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)

    @classmethod
    def from_document(cls, document: Document) -> EpochRecord:
        """Parses a document that `to_document` returned."""
        return cls(
            group=document["group"],
            number=document["n"],
            phase=document.get("phase"),
            primary=document.get("primary"),
            sync_replicas=tuple(document.get("hold", ())),
            electable=tuple(document.get("safe", ())),
            readers=tuple(document.get("gates", ())),
            acknowledges_writes=document.get("open", False),
            shares=document.get("shares", {}),
            stores=document.get("stores", {}),
            grace_us=document.get("grace", 0),
            term=document.get("term", 0),
            locations=document.get("where", {}),
            cause=document.get("cause", ""),
            evidence=document.get("evidence", {}),
            previous_primary=document.get("was"),
            by=document.get("by"),
            view=document.get("view"),
            row=stored_row(document),
        )

    def to_document(self) -> Document:
        """Returns the record as plain JSON values; `was` is null for a group's first epoch."""
        return {
            KIND_KEY: self.kind,
            "group": self.group,
            "n": self.number,
            "phase": self.phase,
            "primary": self.primary,
            "hold": list(self.sync_replicas),
            "safe": list(self.electable),
            "gates": list(self.readers),
            "open": self.acknowledges_writes,
            "shares": self.shares,
            "stores": self.stores,
            "grace": self.grace_us,
            "term": self.term,
            "where": self.locations,
            "cause": self.cause,
            "evidence": self.evidence,
            "was": self.previous_primary,
            **without_none({"by": self.by, "view": self.view}),
        }


@dataclass(frozen=True, slots=True)
class EpochInForceRecord:
    """Every proxy has applied epoch `number` of a group or has lost its lease."""

    kind: ClassVar[str] = "settle"
    group: str
    number: int

    @classmethod
    def from_document(cls, document: Document) -> EpochInForceRecord:
        """Parses a document that `to_document` returned."""
        return cls(document["group"], document["n"])

    def to_document(self) -> Document:
        """Returns the record as plain JSON values."""
        return {KIND_KEY: self.kind, "group": self.group, "n": self.number}


ResumableRecord = (
    ConfigurationRecord
    | ZoneRecord
    | ProxyRecord
    | LeaseExpiryRecord
    | EpochRecord
    | EpochInForceRecord
)
_PARSERS: Mapping[str, Callable[[Document], ResumableRecord]] = {
    ConfigurationRecord.kind: ConfigurationRecord.from_document,
    ZoneRecord.kind: ZoneRecord.from_document,
    ProxyRecord.kind: ProxyRecord.from_document,
    LeaseExpiryRecord.kind: LeaseExpiryRecord.from_document,
    EpochRecord.kind: EpochRecord.from_document,
    EpochInForceRecord.kind: EpochInForceRecord.from_document,
}


def from_document(document: Document) -> ResumableRecord:
    """Parses the JSON document of a record.

    Raises:
        KeyError: The kind of the record is unknown, or one of its fields is missing.
    """
    return _PARSERS[record_kind(document)](document)

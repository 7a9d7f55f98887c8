"""Typed bodies of the messages about leases and about what proxies have acknowledged.

The fields on the wire are those of the contracts `chain.force`, `edge.hold`, `edge.lease` and
`edge.push` in `transport/contracts`; only this module translates between them and the names used
in the code.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = [
    "AcknowledgementReport",
    "LeaseGrant",
    "LeaseRequest",
    "NumberedRecord",
    "PushReceipt",
    "StateSubscription",
    "SubscriptionAnswer",
    "push_body",
]

NumberedRecord = tuple[int, dict[str, Any]]


@dataclass(frozen=True, slots=True)
class AcknowledgementReport:
    """What a control node answers to `chain.force`: which proxies follow up to where.

    Attributes:
        acknowledged: The record up to which each proxy follows, as it acknowledged to this node.
        lease_us: How long the lease of each proxy may still run that this node granted.
        unknown_leases_us: How long leases may still run that another node granted before.
        commit: The newest record that this node knows to be committed.
    """

    acknowledged: Mapping[str, int]
    lease_us: Mapping[str, int]
    unknown_leases_us: int
    commit: int

    def to_body(self) -> dict[str, Any]:
        """The fields as they are sent."""
        return {
            "acked": self.acknowledged,
            "live": self.lease_us,
            "floor": self.unknown_leases_us,
            "commit": self.commit,
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> AcknowledgementReport:
        """Reads what `to_body` wrote."""
        return cls(body["acked"], body["live"], body["floor"], body["commit"])


@dataclass(frozen=True, slots=True)
class StateSubscription:
    """What a proxy asks with `edge.hold`: to be sent records over this connection.

    `applied_seq` is the newest record it has applied, -1 before its first snapshot.
    """

    proxy: str
    applied_seq: int

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> StateSubscription:
        """Reads the fields as they are sent."""
        return cls(body["edge"], body["applied"])


@dataclass(frozen=True, slots=True)
class SubscriptionAnswer:
    """What a control node answers to a `StateSubscription`; `note` tells why it was declined."""

    accepted: bool
    note: str = ""

    def to_body(self) -> dict[str, Any]:
        """The fields as they are sent."""
        return {"ok": self.accepted, "note": self.note}


def push_body(
    snapshot: dict[str, Any] | None, records: list[NumberedRecord], commit: int
) -> dict[str, Any]:
    """The fields of `edge.push`: a snapshot, or the records that follow what the proxy has."""
    return {"frame": snapshot, "recs": [list(row) for row in records], "commit": commit}


@dataclass(frozen=True, slots=True)
class PushReceipt:
    """What a proxy answers to `edge.push`.

    Attributes:
        applied_seq: The newest record it has applied.
        acknowledged_seq: The newest record that it follows in all that it does.
    """

    applied_seq: int
    acknowledged_seq: int

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> PushReceipt:
        """Reads the fields as they are sent."""
        return cls(body["applied"], body["acked"])


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """What a proxy with resumable sessions asks with `edge.lease`.

    `incarnation` and `boot` tell which process of that name asks.
    """

    proxy: str
    incarnation: int
    boot: str
    acknowledged_seq: int

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> LeaseRequest:
        """Reads the fields as they are sent."""
        return cls(body["edge"], body["inc"], body["boot"], body["acked"])


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """What a control node answers to a `LeaseRequest`.

    Attributes:
        granted: Whether the lease is granted.
        lease_us: How long it lasts from the moment of the request, in microseconds.
        required_seq: The record that the proxy must have applied before the lease counts.
    """

    granted: bool
    lease_us: int
    required_seq: int

    def to_body(self) -> dict[str, Any]:
        """The fields as they are sent."""
        return {"ok": self.granted, "us": self.lease_us, "need": self.required_seq}

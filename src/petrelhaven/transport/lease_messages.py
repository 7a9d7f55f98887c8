"""Typed bodies of the messages about leases and about records acknowledged by proxies.

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
    """The answer of a control node to `chain.force`: which records the proxies have acknowledged.

    Attributes:
        acknowledged: The newest record that each proxy has acknowledged to this node.
        lease_us: The remaining time of each proxy's lease that this node granted, in microseconds.
        unknown_leases_us: How long leases granted earlier by another node may still be valid, in
            microseconds.
        commit: The newest committed record that this node has.
    """

    acknowledged: Mapping[str, int]
    lease_us: Mapping[str, int]
    unknown_leases_us: int
    commit: int

    def to_body(self) -> dict[str, Any]:
        """Returns the fields of the message body."""
        return {
            "acked": self.acknowledged,
            "live": self.lease_us,
            "floor": self.unknown_leases_us,
            "commit": self.commit,
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> AcknowledgementReport:
        """Parses the fields of a message body."""
        return cls(body["acked"], body["live"], body["floor"], body["commit"])


@dataclass(frozen=True, slots=True)
class StateSubscription:
    """The request `edge.hold` of a proxy for records over this connection.

    `applied_seq` is the newest record that the proxy has applied, -1 before its first snapshot.
    """

    proxy: str
    applied_seq: int

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> StateSubscription:
        """Parses the fields of a message body."""
        return cls(body["edge"], body["applied"])


@dataclass(frozen=True, slots=True)
class SubscriptionAnswer:
    """The answer to a `StateSubscription`; `note` is the reason for a refusal."""

    accepted: bool
    note: str = ""

    def to_body(self) -> dict[str, Any]:
        """Returns the fields of the message body."""
        return {"ok": self.accepted, "note": self.note}


def push_body(
    snapshot: dict[str, Any] | None, records: list[NumberedRecord], commit: int
) -> dict[str, Any]:
    """Returns the fields of `edge.push`: a snapshot, or the records after the proxy's last one."""
    return {"frame": snapshot, "recs": [list(row) for row in records], "commit": commit}


@dataclass(frozen=True, slots=True)
class PushReceipt:
    """The answer of a proxy to `edge.push`.

    Attributes:
        applied_seq: The newest record that the proxy has applied.
        acknowledged_seq: The newest record that is in force in all parts of the proxy.
    """

    applied_seq: int
    acknowledged_seq: int

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> PushReceipt:
        """Parses the fields of a message body."""
        return cls(body["applied"], body["acked"])


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """The request `edge.lease` of a proxy with resumable sessions.

    `incarnation` and `boot` identify the process among those that had the proxy's name.
    """

    proxy: str
    incarnation: int
    boot: str
    acknowledged_seq: int

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> LeaseRequest:
        """Parses the fields of a message body."""
        return cls(body["edge"], body["inc"], body["boot"], body["acked"])


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The answer of a control node to a `LeaseRequest`.

    Attributes:
        granted: Whether the lease is granted.
        lease_us: The duration of the lease from the time of the request, in microseconds.
        required_seq: The record that the proxy must have applied before the lease is valid.
    """

    granted: bool
    lease_us: int
    required_seq: int

    def to_body(self) -> dict[str, Any]:
        """Returns the fields of the message body."""
        return {"ok": self.granted, "us": self.lease_us, "need": self.required_seq}

"""Typed bodies of the messages between a proxy and the control node of its core connection.

The fields on the wire are those of the contracts `tie.pulse` and `edge.push` in
`transport/contracts`; only this module translates between them and the names used in the code.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

__all__ = [
    "ControlNodeAddress",
    "LeaseAnswer",
    "LeaseRenewal",
    "StatePush",
    "StateReceipt",
    "Suspicion",
]


class Suspicion(NamedTuple):
    """A report that a group's primary is failing; `how` is a symptom from `routing/member`."""

    group: str
    member: str
    how: str


class ControlNodeAddress(NamedTuple):
    """The zone and the address of a control node of the view."""

    name: str
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """The request `tie.pulse` of a proxy for a renewal of its lease.

    Attributes:
        proxy: The proxy's name.
        applied_seq: The number of the newest record that the proxy has applied.
        view_number: The newest view that the proxy has received.
        suspicions: The primaries that the proxy has observed to fail.
    """

    proxy: str
    applied_seq: int
    view_number: int
    suspicions: tuple[Suspicion, ...] = ()

    def to_body(self) -> dict[str, Any]:
        """Returns the fields of the message body."""
        return {
            "name": self.proxy,
            "seq": self.applied_seq,
            "cores": self.view_number,
            "doubts": [list(suspicion) for suspicion in self.suspicions],
        }

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> LeaseRenewal:
        """Parses the fields of a message body."""
        return cls(
            proxy=body["name"],
            applied_seq=body["seq"],
            view_number=body["cores"],
            suspicions=tuple(Suspicion(*row) for row in body["doubts"]),
        )


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """The answer of a control node to a `LeaseRenewal`.

    Attributes:
        granted: Whether the node may grant leases, which a majority of control nodes confirms.
        lease_us: The duration of the lease from the time of the request, in microseconds.
        confirmation_age_us: The time since the confirmation by a majority, in microseconds.
        required_seq: The record that the proxy must have applied before the lease is valid.
        view_number: The number of the current view; 0 if there is none, or if `control_nodes`
            lacks some of its nodes.
        proxy_count: The number of proxies that are connected to control nodes.
        control_nodes: The control nodes of the view; empty if the proxy already has this view.
    """

    granted: bool
    lease_us: int
    confirmation_age_us: int
    required_seq: int
    view_number: int
    proxy_count: int
    control_nodes: tuple[ControlNodeAddress, ...] = ()

    def to_body(self) -> dict[str, Any]:
        """Returns the fields of the message body."""
        return {
            "ok": self.granted,
            "us": self.lease_us,
            "age": self.confirmation_age_us,
            "need": self.required_seq,
            "view": self.view_number,
            "edges": self.proxy_count,
            "cores": [list(node) for node in self.control_nodes],
        }

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> LeaseAnswer:
        """Parses the fields of a message body."""
        return cls(
            granted=body["ok"],
            lease_us=body["us"],
            confirmation_age_us=body["age"],
            required_seq=body["need"],
            view_number=body["view"],
            proxy_count=body["edges"],
            control_nodes=tuple(ControlNodeAddress(*row) for row in body["cores"]),
        )


@dataclass(frozen=True, slots=True)
class StatePush:
    """The request `edge.push` of a control node.

    Attributes:
        snapshot: The complete control state as a document, or None.
        records: The records after the snapshot or after the proxy's last one, as (number, record).
    """

    snapshot: dict[str, Any] | None
    records: list[tuple[int, dict[str, Any]]]

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> StatePush:
        """Parses the fields of a message body."""
        return cls(body["frame"], body["recs"])


class StateReceipt(NamedTuple):
    """The answer of a proxy to a `StatePush`: the newest record that it has applied."""

    applied_seq: int

    def to_body(self) -> dict[str, Any]:
        """Returns the fields of the message body."""
        return {"applied": self.applied_seq, "acked": self.applied_seq}

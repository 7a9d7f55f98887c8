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
    """A report that the primary of a group fails; `how` is the sign of it, as `routing/member`."""

    group: str
    member: str
    how: str


class ControlNodeAddress(NamedTuple):
    """Where a control node of the view is."""

    name: str
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """What a proxy asks with `tie.pulse`.

    Attributes:
        proxy: The proxy's name.
        applied_seq: The number of the newest record that it has applied.
        view_number: The newest view that it knows.
        suspicions: Primaries that fail, as it has seen.
    """

    proxy: str
    applied_seq: int
    view_number: int
    suspicions: tuple[Suspicion, ...] = ()

    def to_body(self) -> dict[str, Any]:
        """The fields as they are sent."""
        return {
            "name": self.proxy,
            "seq": self.applied_seq,
            "cores": self.view_number,
            "doubts": [list(suspicion) for suspicion in self.suspicions],
        }

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> LeaseRenewal:
        """Reads what `to_body` wrote."""
        return cls(
            proxy=body["name"],
            applied_seq=body["seq"],
            view_number=body["cores"],
            suspicions=tuple(Suspicion(*row) for row in body["doubts"]),
        )


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """What a control node answers to a `LeaseRenewal`.

    Attributes:
        granted: Whether it may grant leases: a majority of control nodes confirms it.
        lease_us: How long the lease lasts from the moment of the request, in microseconds.
        confirmation_age_us: How long ago a majority confirmed it, in microseconds.
        required_seq: The record that the proxy must have applied before the lease counts.
        view_number: The number of the current view, 0 if there is none.
        proxy_count: How many proxies are connected to control nodes.
        control_nodes: The view's control nodes; empty if the proxy knows this view.
    """

    granted: bool
    lease_us: int
    confirmation_age_us: int
    required_seq: int
    view_number: int
    proxy_count: int
    control_nodes: tuple[ControlNodeAddress, ...] = ()

    def to_body(self) -> dict[str, Any]:
        """The fields as they are sent."""
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
        """Reads what `to_body` wrote."""
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
    """What a control node sends with `edge.push`.

    Attributes:
        snapshot: The whole control state as a document, or None.
        records: Numbered records that follow it, each as (number, record).
    """

    snapshot: dict[str, Any] | None
    records: list[tuple[int, dict[str, Any]]]

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> StatePush:
        """Reads the fields as they are sent."""
        return cls(body["frame"], body["recs"])


class StateReceipt(NamedTuple):
    """What a proxy answers to a `StatePush`: what it has applied and may acknowledge."""

    applied_seq: int

    def to_body(self) -> dict[str, Any]:
        """The fields as they are sent."""
        return {"applied": self.applied_seq, "acked": self.applied_seq}

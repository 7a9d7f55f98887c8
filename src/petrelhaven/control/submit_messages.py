"""Request and response of `chain.enter`, by which a control node submits a record to the head."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from petrelhaven.control.consensus.peer_clocks import Expiry

__all__ = ["SubmitAnswer", "SubmitRequest"]


@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """A request to append a record to the chain.

    Attributes:
        record: The record's document.
        force: Whether to answer only once the record is in force at every proxy.
        expiry: When the request expires, by the head's clock; None for the head's own requests.
    """

    record: dict[str, Any]
    force: bool
    expiry: Expiry | None = None

    def to_body(self) -> dict[str, Any]:
        """Returns the body of the message."""
        expiry = None if self.expiry is None else self.expiry.to_document()
        return {"rec": self.record, "force": self.force, "bound": expiry}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> SubmitRequest:
        """Reads the body of a message."""
        return cls(body["rec"], body["force"], Expiry.from_document(body["bound"]))


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """The result of a submitted record.

    Attributes:
        seq: The number of the record.
        forced: Whether the head waited until the record was in force.
        in_force_us: How long that took, in microseconds.
    """

    seq: int
    forced: bool
    in_force_us: int = 0

    def to_body(self) -> dict[str, Any]:
        """Returns the body of the message."""
        return {"seq": self.seq, "forced": self.forced, "doc": {"in_force_us": self.in_force_us}}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> SubmitAnswer:
        """Reads the body of a message."""
        return cls(body["seq"], body["forced"], body["doc"]["in_force_us"])

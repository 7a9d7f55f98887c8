"""Bodies of the call that enters a record at the head of the chain, `chain.enter`."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from petrelhaven.control.consensus.peer_clocks import Expiry

__all__ = ["SubmitAnswer", "SubmitRequest"]


@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """An order to enter a record.

    Attributes:
        record: the record's document.
        force: whether the answer waits until the record is in force at every proxy.
        expiry: when the order ends, by the head's clock; None where the head itself took it.
    """

    record: dict[str, Any]
    force: bool
    expiry: Expiry | None = None

    def to_body(self) -> dict[str, Any]:
        """The body of the message."""
        bound = None if self.expiry is None else self.expiry.to_document()
        return {"rec": self.record, "force": self.force, "bound": bound}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> SubmitRequest:
        """Reads a message's body."""
        return cls(body["rec"], body["force"], Expiry.from_document(body["bound"]))


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """What became of an order.

    Attributes:
        seq: the number of the record.
        forced: whether the answer waited until it was in force.
        in_force_us: how long that took, in microseconds.
    """

    seq: int
    forced: bool
    in_force_us: int = 0

    def to_body(self) -> dict[str, Any]:
        """The body of the message."""
        return {"seq": self.seq, "forced": self.forced, "doc": {"in_force_us": self.in_force_us}}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> SubmitAnswer:
        """Reads a message's body."""
        return cls(body["seq"], body["forced"], body["doc"]["in_force_us"])

"""Messages between the nodes of one chain: records, and confirmations of the view."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from petrelhaven.control.consensus.view import View

__all__ = ["AppendAnswer", "AppendRequest", "ConfirmAnswer", "ConfirmRequest"]

_NO_POSITION = -1


@dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """Asks whether the receiver still accepts view `view_number`.

    Attributes:
        name: The node that asks.
        view_number: The view that it has adopted.
        connected_proxies: Number of proxies that are connected to it.
    """

    name: str
    view_number: int
    connected_proxies: int

    def to_body(self) -> dict[str, Any]:
        """Returns the body of a `view.confirm` call."""
        return {"name": self.name, "n": self.view_number, "tied": self.connected_proxies}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> ConfirmRequest:
        """Parses the body of a `view.confirm` call."""
        return cls(body["name"], body["n"], body["tied"])


@dataclass(frozen=True, slots=True)
class ConfirmAnswer:
    """Answers a `ConfirmRequest`.

    Attributes:
        ok: Whether the view is confirmed.
        newer: A newer decided view, if the answering node has one.
        boot: Clock time at which the process of the answering node started.
        clock_us: Current clock time of the answering node.
    """

    ok: bool
    newer: View | None
    boot: int
    clock_us: int

    def to_body(self) -> dict[str, Any]:
        """Returns the body of the answer to a `view.confirm` call."""
        return {
            "ok": self.ok,
            "view": None if self.newer is None else self.newer.to_document(),
            "boot": self.boot,
            "clock": self.clock_us,
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> ConfirmAnswer:
        """Parses the body of the answer to a `view.confirm` call."""
        newer = View.from_optional(body["view"])
        return cls(body["ok"], newer, body["boot"], body["clock"])


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Sends records or a full snapshot to the successor in view `view_number`.

    Attributes:
        view_number: The view that both nodes have adopted.
        previous: Number of the record before the first of `records`, or of the newest record in
            `snapshot`. -1 only asks which record the successor has stored last.
        previous_view: The view in which record `previous` was appended.
        records: Rows of record number, view number and record.
        snapshot: The control state that replaces that of the successor.
        complete: Whether the successor has all records of the sender after this request.
    """

    view_number: int
    previous: int = _NO_POSITION
    previous_view: int = 0
    records: Sequence[Any] = ()
    snapshot: dict[str, Any] | None = None
    complete: bool = False

    @property
    def only_asks(self) -> bool:
        """Whether this request only asks which record the successor has stored last."""
        return self.previous < 0

    def to_body(self) -> dict[str, Any]:
        """Returns the body of a `chain.append` call."""
        return {
            "view": self.view_number,
            "prev": self.previous,
            "mark": self.previous_view,
            "recs": list(self.records),
            "frame": self.snapshot,
            "done": self.complete,
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> AppendRequest:
        """Parses the body of a `chain.append` call."""
        return cls(
            body["view"], body["prev"], body["mark"], body["recs"], body["frame"], body["done"]
        )


@dataclass(frozen=True, slots=True)
class AppendAnswer:
    """Answers an `AppendRequest`.

    Attributes:
        seq: Number of the newest record that the successor has stored.
        appended_view: The view in which that record was appended.
        committed_seq: Number of the newest record that the successor knows to be committed.
    """

    seq: int
    appended_view: int
    committed_seq: int

    def to_body(self) -> dict[str, Any]:
        """Returns the body of the answer to a `chain.append` call."""
        return {"held": self.seq, "mark": self.appended_view, "commit": self.committed_seq}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> AppendAnswer:
        """Parses the body of the answer to a `chain.append` call."""
        return cls(body["held"], body["mark"], body["commit"])

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

    `connected_proxies` is how many proxies are connected to the sender.
    """

    name: str
    view_number: int
    connected_proxies: int

    def to_body(self) -> dict[str, Any]:
        """The body of a `view.confirm`."""
        return {"name": self.name, "n": self.view_number, "tied": self.connected_proxies}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> ConfirmRequest:
        """The request of a `view.confirm`."""
        return cls(body["name"], body["n"], body["tied"])


@dataclass(frozen=True, slots=True)
class ConfirmAnswer:
    """Whether the view is confirmed, and a newer decided view where the answerer knows one.

    `started_at_us` and `clock_us` are the answerer's monotonic clock at its start and now.
    """

    ok: bool
    newer: View | None
    boot: int
    clock_us: int

    def to_body(self) -> dict[str, Any]:
        """The answer to a `view.confirm`."""
        return {
            "ok": self.ok,
            "view": None if self.newer is None else self.newer.to_document(),
            "boot": self.boot,
            "clock": self.clock_us,
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> ConfirmAnswer:
        """The answer of a `view.confirm`."""
        newer = View.from_optional(body["view"])
        return cls(body["ok"], newer, body["boot"], body["clock"])


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Records or a whole snapshot for the successor in view `view_number`.

    Attributes:
        view_number: The view in which both nodes stand.
        previous: Number of the record before the first of `records`, or the last in `snapshot`; -1
            only asks what the successor holds.
        previous_view: The view in which record `previous` was entered.
        records: Rows of number, view and record.
        snapshot: The control state that replaces that of the successor.
        complete: Whether the successor holds everything of the sender after this.
    """

    view_number: int
    previous: int = _NO_POSITION
    previous_view: int = 0
    records: Sequence[Any] = ()
    snapshot: dict[str, Any] | None = None
    complete: bool = False

    @property
    def only_asks(self) -> bool:
        """Whether this brings nothing and only asks what the successor holds."""
        return self.previous < 0

    def to_body(self) -> dict[str, Any]:
        """The body of a `chain.append`."""
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
        """The request of a `chain.append`."""
        return cls(
            body["view"], body["prev"], body["mark"], body["recs"], body["frame"], body["done"]
        )


@dataclass(frozen=True, slots=True)
class AppendAnswer:
    """The newest record that the successor holds, the view it was entered in, and its commit."""

    seq: int
    entered_view: int
    commit: int

    def to_body(self) -> dict[str, Any]:
        """The answer to a `chain.append`."""
        return {"held": self.seq, "mark": self.entered_view, "commit": self.commit}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> AppendAnswer:
        """The answer of a `chain.append`."""
        return cls(body["held"], body["mark"], body["commit"])

"""The report that a control node sends to the others, which use it to decide on views."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from petrelhaven.control.consensus.view import MemberDisks, View

__all__ = ["NodeReport"]


@dataclass(frozen=True, slots=True)
class NodeReport:
    """The report of one control node.

    Attributes:
        name: Name of the node.
        disk: Identity of its disk.
        fresh: Whether the node has neither voted nor stored any record.
        view: The newest view that it has adopted.
        last_complete_view: Number of the last view in which the node was complete, that is, had all
            records committed before that view.
        seq: Number of the newest record that it has stored.
        committed_seq: Number of the newest record that it knows to be committed.
        up_us: Uptime of its process in microseconds.
        granted_us: For each node, microseconds since the reporting node last confirmed a view to
            it.
    """

    name: str
    disk: str
    fresh: bool
    view: View | None
    last_complete_view: int
    seq: int
    committed_seq: int
    up_us: int
    granted_us: Mapping[str, int]

    def is_member_at_view(self, number: int, members: MemberDisks) -> bool:
        """Whether the node and its disk are in `members` and it adopted view `number` or later."""
        is_member = members.get(self.name) == self.disk
        return is_member and self.view is not None and self.view.number >= number

    def to_body(self) -> dict[str, Any]:
        """Returns the body of the answer to a `view.ask` call."""
        return {
            "name": self.name,
            "disk": self.disk,
            "fresh": self.fresh,
            "view": None if self.view is None else self.view.to_document(),
            "done": self.last_complete_view,
            "held": self.seq,
            "commit": self.committed_seq,
            "up_us": self.up_us,
            "granted_us": self.granted_us,
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> NodeReport:
        """Parses the body of the answer to a `view.ask` call."""
        return cls(
            body["name"],
            body["disk"],
            body["fresh"],
            View.from_optional(body["view"]),
            body["done"],
            body["held"],
            body["commit"],
            body["up_us"],
            body["granted_us"],
        )

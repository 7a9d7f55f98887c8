"""What a control node reports of itself to the others, which decide on views by it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from petrelhaven.control.consensus.view import MemberDisks, View

__all__ = ["NodeReport"]


@dataclass(frozen=True, slots=True)
class NodeReport:
    """One control node's report.

    Attributes:
        name: Its name.
        disk: The identity of its disk.
        fresh: Whether it has neither voted nor held anything.
        view: The view that it has adopted.
        complete_in: The number of the last view of which it held everything.
        seq: The newest record that it holds.
        commit: The newest record that it knows to be committed.
        up_us: Since when its process runs, in microseconds.
        granted_us: For each node, how long ago this one last confirmed a view to it, in
            microseconds.
    """

    name: str
    disk: str
    fresh: bool
    view: View | None
    last_complete_view: int
    seq: int
    commit: int
    up_us: int
    granted_us: Mapping[str, int]

    def is_member_at_view(self, number: int, ids: MemberDisks) -> bool:
        """Whether this is a member of `members`, by its disk, in view `number` or a newer one."""
        is_member = ids.get(self.name) == self.disk
        return is_member and self.view is not None and self.view.number >= number

    def to_body(self) -> dict[str, Any]:
        """The answer to a `view.ask`."""
        return {
            "name": self.name,
            "disk": self.disk,
            "fresh": self.fresh,
            "view": None if self.view is None else self.view.to_document(),
            "done": self.last_complete_view,
            "held": self.seq,
            "commit": self.commit,
            "up_us": self.up_us,
            "granted_us": self.granted_us,
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> NodeReport:
        """The answer of a `view.ask`."""
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

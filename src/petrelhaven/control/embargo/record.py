"""The record of one embargo that an operator places, moves or lifts (`control/embargo/rules`)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from petrelhaven.control.state.record import KIND, Document, present

__all__ = ["EmbargoRecord"]


@dataclass(frozen=True, slots=True)
class EmbargoRecord:
    """One embargo is placed (`add`), gets another release time (`move`) or is lifted (`lift`).

    Attributes:
        action: add, move or lift.
        name: Its name among the embargoes that operators place.
        number: Which change of this embargo it must be; 0 for any.
        by: Who asked for it.
        group: The group it belongs to (`add` only, like `thing`, `prefix` and `early`).
        thing: What is embargoed; "" if `prefix` is set.
        prefix: What the names of all embargoed things begin with; "" if `thing` is set.
        until: Its release, in microseconds of UTC (`add` and `move` only, like the next two).
        written: The release as the operator wrote it.
        time_zone: The time zone in which that is meant.
        early: Clients that may see it before its release.
    """

    kind: ClassVar[str] = "embargo"
    action: str
    name: str
    number: int
    by: str
    group: str | None = None
    thing: str | None = None
    prefix: str | None = None
    until: int | None = None
    written: str | None = None
    time_zone: str | None = None
    early: tuple[str, ...] | None = None

    @classmethod
    def from_document(cls, document: Document) -> EmbargoRecord:
        """Reads what `to_document` made."""
        early = document.get("early")
        return cls(
            action=document["do"],
            name=document["name"],
            number=document["n"],
            by=document["by"],
            group=document.get("group"),
            thing=document.get("thing"),
            prefix=document.get("prefix"),
            until=document.get("until"),
            written=document.get("said"),
            time_zone=document.get("zone"),
            early=None if early is None else tuple(early),
        )

    def to_document(self) -> Document:
        """The record as plain JSON values."""
        optional = {
            "group": self.group,
            "thing": self.thing,
            "prefix": self.prefix,
            "until": self.until,
            "said": self.written,
            "zone": self.time_zone,
            "early": None if self.early is None else list(self.early),
        }
        return {
            KIND: self.kind,
            "do": self.action,
            "name": self.name,
            **present(optional),
            "n": self.number,
            "by": self.by,
        }

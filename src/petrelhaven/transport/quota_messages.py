"""Typed bodies of the messages about tenants' limits.

The fields on the wire are those of the contracts `quota.report`, `quota.count`, `quota.copy` and
`quota.fetch` in `transport/contracts`; only this module translates between them and the names used
in the code.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from petrelhaven.limits.reports import AccountReport, Grant
from petrelhaven.limits.standby import CounterCopy

__all__ = [
    "CopyList",
    "CountRequest",
    "GrantList",
    "ReportList",
    "copies_from_rows",
    "copies_to_rows",
]


@dataclass(frozen=True, slots=True)
class ReportList:
    """What a proxy asks its control node with `quota.report`."""

    proxy: str
    reports: Sequence[AccountReport]

    def to_body(self) -> dict[str, Any]:
        """The fields as they are sent."""
        return {"name": self.proxy, "rows": [list(report) for report in self.reports]}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> ReportList:
        """Reads what `to_body` wrote."""
        return cls(body["name"], [AccountReport(*row) for row in body["rows"]])


@dataclass(frozen=True, slots=True)
class GrantList:
    """The answer to a `ReportList`: a grant for each report that was counted."""

    grants: Sequence[Grant]

    def to_body(self) -> dict[str, Any]:
        """The fields as they are sent."""
        return {"rows": [list(grant) for grant in self.grants]}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> GrantList:
        """Reads what `to_body` wrote."""
        return cls([Grant(*row) for row in body["rows"]])


@dataclass(frozen=True, slots=True)
class CountRequest:
    """What a control node asks a counting node with `quota.count`.

    Attributes:
        view_number: The view in which that node counts the tenants.
        reports: Reports with the names of the proxies that sent them.
    """

    view_number: int
    reports: Sequence[tuple[str, AccountReport]]

    def to_body(self) -> dict[str, Any]:
        """The fields as they are sent."""
        rows = [[proxy, *report] for proxy, report in self.reports]
        return {"view": self.view_number, "rows": rows}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> CountRequest:
        """Reads what `to_body` wrote."""
        return cls(body["view"], [(row[0], AccountReport(*row[1:])) for row in body["rows"]])


@dataclass(frozen=True, slots=True)
class CopyList:
    """What a counting node sends its successor with `quota.copy`.

    Attributes:
        view_number: The view in which it counts the tenants.
        life: Which process sends it.
        number: Its number among that process's copies.
        expiry: When the copies may serve no longer, by the clock of the successor.
        copies: The copies.
    """

    view_number: int
    life: int
    number: int
    expiry: Sequence[int]
    copies: Sequence[CounterCopy]

    def to_body(self) -> dict[str, Any]:
        """The fields as they are sent."""
        return {
            "view": self.view_number,
            "life": self.life,
            "number": self.number,
            "bound": list(self.expiry),
            "rows": copies_to_rows(self.copies),
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> CopyList:
        """Reads what `to_body` wrote."""
        return cls(
            body["view"],
            body["life"],
            body["number"],
            body["bound"],
            copies_from_rows(body["rows"]),
        )


def copies_to_rows(copies: Sequence[CounterCopy]) -> list[list[Any]]:
    """Copies as they are sent, also in the answer to a `quota.fetch`."""
    return [list(copy) for copy in copies]


def copies_from_rows(rows: Sequence[Sequence[Any]]) -> list[CounterCopy]:
    """Reads what `copies_to_rows` wrote."""
    return [CounterCopy(*row) for row in rows]

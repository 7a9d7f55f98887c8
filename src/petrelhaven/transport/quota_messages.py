"""Typed bodies of the messages about quotas of tenants.

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
    """The request `quota.report` of a proxy to its control node."""

    proxy: str
    reports: Sequence[AccountReport]

    def to_body(self) -> dict[str, Any]:
        """Returns the fields of the message body."""
        return {"name": self.proxy, "rows": [list(report) for report in self.reports]}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> ReportList:
        """Parses the fields of a message body."""
        return cls(body["name"], [AccountReport(*row) for row in body["rows"]])


@dataclass(frozen=True, slots=True)
class GrantList:
    """The answer to a `ReportList`: a grant for each counted report."""

    grants: Sequence[Grant]

    def to_body(self) -> dict[str, Any]:
        """Returns the fields of the message body."""
        return {"rows": [list(grant) for grant in self.grants]}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> GrantList:
        """Parses the fields of a message body."""
        return cls([Grant(*row) for row in body["rows"]])


@dataclass(frozen=True, slots=True)
class CountRequest:
    """The request `quota.count` of a control node to a counting node.

    Attributes:
        view_number: The view in which the counting node counts the tenants' operations.
        reports: The reports, each with the name of the proxy that sent it.
    """

    view_number: int
    reports: Sequence[tuple[str, AccountReport]]

    def to_body(self) -> dict[str, Any]:
        """Returns the fields of the message body."""
        rows = [[proxy, *report] for proxy, report in self.reports]
        return {"view": self.view_number, "rows": rows}

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> CountRequest:
        """Parses the fields of a message body."""
        return cls(body["view"], [(row[0], AccountReport(*row[1:])) for row in body["rows"]])


@dataclass(frozen=True, slots=True)
class CopyList:
    """The request `quota.copy` of a counting node to its successor.

    Attributes:
        view_number: The view in which the counting node counts the tenants' operations.
        life: The number that identifies the sending process.
        number: The sequence number of this message among those of the process.
        expiry: When the copies expire, by the clock of the successor.
        copies: The copies of the counters.
    """

    view_number: int
    life: int
    number: int
    expiry: Sequence[int]
    copies: Sequence[CounterCopy]

    def to_body(self) -> dict[str, Any]:
        """Returns the fields of the message body."""
        return {
            "view": self.view_number,
            "life": self.life,
            "number": self.number,
            "bound": list(self.expiry),
            "rows": copies_to_rows(self.copies),
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> CopyList:
        """Parses the fields of a message body."""
        return cls(
            body["view"],
            body["life"],
            body["number"],
            body["bound"],
            copies_from_rows(body["rows"]),
        )


def copies_to_rows(copies: Sequence[CounterCopy]) -> list[list[Any]]:
    """Returns copies as rows of `quota.copy` or of the answer to `quota.fetch`."""
    return [list(copy) for copy in copies]


def copies_from_rows(rows: Sequence[Sequence[Any]]) -> list[CounterCopy]:
    """Parses the rows that `copies_to_rows` returns."""
    return [CounterCopy(*row) for row in rows]

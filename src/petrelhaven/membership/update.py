"""Updates about peers: one row a peer, as it travels on every probe."""

from dataclasses import dataclass
from typing import Any

from petrelhaven.runtime.errors import Malformed

__all__ = ["ALIVE", "GONE", "SUSPECT", "PeerUpdate"]

ALIVE, SUSPECT, GONE = "alive", "suspect", "gone"

_SEVERITY = {ALIVE: 0, SUSPECT: 1, GONE: 2}
_TEXT_FIELDS = 4
_FIELDS = 6


@dataclass(frozen=True, slots=True)
class PeerUpdate:
    """What a node reports of a peer.

    Attributes:
        name: the peer's name.
        role: what kind of node it is.
        zone: the zone that it stands in.
        address: host and port of its link.
        incarnation: which of its runs the report is of; the peer raises it to refute a report.
        state: ALIVE, SUSPECT or GONE.
    """

    name: str
    role: str
    zone: str
    address: str
    incarnation: int
    state: str

    def supersedes(self, state: str, incarnation: int) -> bool:
        """Whether this is newer: a higher incarnation wins, then the more severe state."""
        if self.incarnation != incarnation:
            return self.incarnation > incarnation
        return _SEVERITY[self.state] > _SEVERITY[state]

    def to_wire(self) -> list[str | int]:
        """The row that is sent: its fields in their order."""
        return [self.name, self.role, self.zone, self.address, self.incarnation, self.state]

    @classmethod
    def parse_rows(cls, rows: Any) -> "list[PeerUpdate]":  # noqa: ANN401 (unchecked, from the wire)
        """The updates in rows as they came in.

        Raises:
            Malformed: a row is not a list of name, role, zone, address, incarnation and state.
        """
        if not isinstance(rows, list):
            raise Malformed("news must be a list")
        if not all(_is_row(row) for row in rows):
            raise Malformed("news row must be name, role, hall, addr, inc, state")
        return [cls(*row) for row in rows]


def _is_row(row: object) -> bool:
    if not isinstance(row, list) or len(row) != _FIELDS:
        return False
    if not all(isinstance(field, str) for field in row[:_TEXT_FIELDS]):
        return False
    incarnation, state = row[_TEXT_FIELDS:]
    if type(incarnation) is not int or incarnation < 0:
        return False
    return isinstance(state, str) and state in _SEVERITY

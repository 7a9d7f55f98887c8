"""Updates about peers, of which probes carry one row for each peer."""

from dataclasses import dataclass
from typing import Any

from petrelhaven.runtime.errors import Malformed

__all__ = ["ALIVE", "GONE", "SUSPECT", "PeerUpdate"]

ALIVE, SUSPECT, GONE = "alive", "suspect", "gone"

_SEVERITY = {ALIVE: 0, SUSPECT: 1, GONE: 2}
_TEXT_FIELD_COUNT = 4
_FIELD_COUNT = 6


@dataclass(frozen=True, slots=True)
class PeerUpdate:
    """A node's report about a peer.

    Attributes:
        name: the peer's name.
        role: the kind of node: `core` or `edge`.
        zone: the zone that it is in.
        address: the host and port of its link.
        incarnation: the peer's incarnation; the peer increments it to refute a report.
        state: ALIVE, SUSPECT or GONE.
    """

    name: str
    role: str
    zone: str
    address: str
    incarnation: int
    state: str

    def supersedes(self, state: str, incarnation: int) -> bool:
        """Whether this update replaces a known `state` at `incarnation`.

        The higher incarnation wins; at the same incarnation, the more severe state.
        """
        if self.incarnation != incarnation:
            return self.incarnation > incarnation
        return _SEVERITY[self.state] > _SEVERITY[state]

    def to_wire(self) -> list[str | int]:
        """Returns the row as it is sent: the fields in the order of the class."""
        return [self.name, self.role, self.zone, self.address, self.incarnation, self.state]

    @classmethod
    def parse_rows(cls, rows: Any) -> "list[PeerUpdate]":  # noqa: ANN401 (received, not validated)
        """Parses received rows.

        Raises:
            Malformed: `rows` is not a list, or a row is not a list of name, role, zone, address,
                incarnation and state.
        """
        if not isinstance(rows, list):
            raise Malformed("news must be a list")
        if not all(_is_row(row) for row in rows):
            raise Malformed("news row must be name, role, hall, addr, inc, state")
        return [cls(*row) for row in rows]


def _is_row(row: object) -> bool:
    """Whether a received row has the fields of an update, with their types."""
    if not isinstance(row, list) or len(row) != _FIELD_COUNT:
        return False
    if not all(isinstance(field, str) for field in row[:_TEXT_FIELD_COUNT]):
        return False
    incarnation, state = row[_TEXT_FIELD_COUNT:]
    if type(incarnation) is not int or incarnation < 0:
        return False
    return isinstance(state, str) and state in _SEVERITY

"""News about peers: one row a peer, as it travels on every probe."""

from dataclasses import dataclass
from typing import Any

from petrelhaven.runtime.errors import Malformed

__all__ = ["ALIVE", "GONE", "SUSPECT", "PeerNews"]

ALIVE, SUSPECT, GONE = "alive", "suspect", "gone"

_GRAVITY = {ALIVE: 0, SUSPECT: 1, GONE: 2}
_TEXT_FIELDS = 4
_FIELDS = 6


@dataclass(frozen=True, slots=True)
class PeerNews:
    """What a node says of a peer: who and where it is, at which incarnation, in which state."""

    name: str
    role: str
    zone: str
    address: str
    incarnation: int
    state: str

    def supersedes(self, state: str, incarnation: int) -> bool:
        """Whether this is newer: a higher incarnation wins, then the graver state."""
        if self.incarnation != incarnation:
            return self.incarnation > incarnation
        return _GRAVITY[self.state] > _GRAVITY[state]

    def to_wire(self) -> list[str | int]:
        """The row that is sent."""
        return [self.name, self.role, self.zone, self.address, self.incarnation, self.state]

    @classmethod
    def read_all(cls, rows: Any) -> "list[PeerNews]":  # noqa: ANN401 (unchecked, from the wire)
        """The news in rows as they came in.

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
    return isinstance(state, str) and state in _GRAVITY

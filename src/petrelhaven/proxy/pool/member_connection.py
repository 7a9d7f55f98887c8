"""A connection to a member that remembers the values and prepared statements set up on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.position import Position
    from petrelhaven.proxy.session.statement import Reply, Statement

__all__ = [
    "FITS",
    "LACKS_PREPARED",
    "LACKS_VALUES",
    "OTHER_VALUES",
    "MemberConnection",
    "SessionValues",
    "SetUpStatement",
]

FITS = 0
"""The connection has the session's values and prepared statements."""
LACKS_PREPARED = 1
"""It has the session's values, and must prepare a statement."""
LACKS_VALUES = 2
"""It has some of the session's values and no other names; the rest must be set."""
OTHER_VALUES = 3
"""It has values that the session has not, and must be reset."""

_PREPARED_MOST = 64
_OWN_NUMBER = "-"


class SessionValues(Protocol):
    """What a session needs on a connection.

    Attributes:
        tenant: The tenant for whom statements run; empty where there are no tenants.
        values: Its values by name.
        prepared: The texts of its prepared statements by name.
        statement_numbers: The number of the client's statement that set each value, and of each
            PREPARE under ("", name).
    """

    tenant: str
    values: dict[str, str]
    prepared: dict[str, str]
    statement_numbers: dict[str | tuple[str, str], str]


class SetUpStatement(NamedTuple):
    """A statement that makes a connection fit: sent under a client's number, or "-" for none."""

    verb: str
    args: tuple[Any, ...]
    number: str


class MemberConnection:
    """Base of a connection in any members' protocol; replies come in the order asked.

    Attributes:
        due: How many replies are still to come, also those that nobody waits for any more. Only
            a connection with none due may go to another session.
        tenant: The tenant for whom it was opened; it serves no other.
        values: The values set on it, by name.
        shapes: The name under which each text is prepared on it.
        owner: The session that it was set up for last.
        lost: Whether it is closed.
        needs_reset: Whether its values are not known.
        on_lost: Called once with the connection when it is closed.
    """

    due = 0

    def __init__(self) -> None:
        """A connection on which nothing is set up."""
        self.tenant = ""
        self.values: dict[str, str] = {}
        self.shapes: dict[str, str] = {}
        self.owner: SessionValues | None = None
        self.lost = self.needs_reset = False
        self.on_lost: Callable[[Any], None] | None = None

    def ask(
        self, statement: Statement, after: Position | None = None, alias: str | None = None
    ) -> asyncio.Future[Reply]:
        """Sends a client's statement.

        Args:
            statement: The statement.
            after: The position that a read must find, or None.
            alias: The name on this connection of the prepared statement that it executes.

        Returns:
            A future of the reply; it fails with `Unreachable` if the connection is lost.
        """
        raise NotImplementedError

    def plain(
        self, verb: str, args: Sequence[Any] = (), number: str = _OWN_NUMBER
    ) -> asyncio.Future[Reply]:
        """Sends a statement again under its client's number, or one of the proxy's own."""
        raise NotImplementedError

    def send_system_verb(self, verb: str, *args: int) -> asyncio.Future[dict[str, Any]]:
        """Sends a statement of the proxy's own that is answered by the member's status row."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the connection; whatever waits on it fails with `Unreachable`."""
        raise NotImplementedError

    def set_up_cost(self, session: SessionValues) -> int:
        """How far it is from fitting `session`: FITS, LACKS_PREPARED, and so on."""
        if self.needs_reset:
            return OTHER_VALUES
        values = session.values
        if self.values == values:
            fits = all(shape in self.shapes for shape in session.prepared.values())
            return FITS if fits else LACKS_PREPARED
        return LACKS_VALUES if self.values.keys() <= values.keys() else OTHER_VALUES

    def set_up(
        self, session: SessionValues, statement: Statement | None = None
    ) -> tuple[list[SetUpStatement], str | None]:
        """Notes that `session` is set up here.

        Returns:
            What must be sent for that before `statement`, and the name that the prepared
            statement has here which it executes.
        """
        needed: list[SetUpStatement] = []
        if (
            self.needs_reset
            or not self.values.keys() <= session.values.keys()
            or len(self.shapes) > _PREPARED_MOST
        ):
            needed.append(SetUpStatement("reset", (), _OWN_NUMBER))
            self.values, self.shapes, self.needs_reset = {}, {}, False
        for name, value in session.values.items():
            if self.values.get(name) != value:
                number = session.statement_numbers[name]
                needed.append(SetUpStatement("set", (name, value), number))
        alias = None
        if statement is not None and statement.verb == "execute":
            alias = self._prepare(session, statement.name, needed)
        self.values = dict(session.values)
        self.owner = session
        return needed, alias

    def _prepare(self, session: SessionValues, name: str, needed: list[SetUpStatement]) -> str:
        """The name here of the session's prepared statement; adds its PREPARE if it has none."""
        shape = session.prepared[name]
        alias = self.shapes.get(shape)
        if alias is None:
            alias = f"p{len(self.shapes) + 1}"
            self.shapes[shape] = alias
            number = session.statement_numbers["", name]
            needed.append(SetUpStatement("prepare", (alias, shape), number))
        return alias

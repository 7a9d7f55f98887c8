"""A connection to a member, with the session state (values, prepared statements) set up on it."""

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
"""The connection has the session's values; a statement must be prepared."""
LACKS_VALUES = 2
"""The connection has some of the session's values and no others; the rest must be set."""
OTHER_VALUES = 3
"""The connection has values that the session doesn't have, and must be reset."""

_MAX_PREPARED_STATEMENTS = 64
_NO_CLIENT_NUMBER = "-"


class SessionValues(Protocol):
    """The part of a session's state that is set up on a connection.

    Attributes:
        tenant: The tenant whose statements run; empty if there are no tenants.
        values: The session's values by name.
        prepared: The texts of its prepared statements by name.
        statement_numbers: The number of the client's statement that set each value, and of each
            PREPARE under ("", name).
    """

    tenant: str
    values: dict[str, str]
    prepared: dict[str, str]
    statement_numbers: dict[str | tuple[str, str], str]


class SetUpStatement(NamedTuple):
    """A statement that sets up a connection, with the client's statement number ("-" for none)."""

    verb: str
    args: tuple[Any, ...]
    number: str


class MemberConnection:
    """Base class of connections to members; replies arrive in the order of the requests.

    Attributes:
        pending_replies: The number of replies that have not arrived, including those that nobody
            waits for any more. Only a connection without pending replies may serve another session.
        tenant: The tenant it was opened for; it serves no other.
        values: The values that are set on it, by name.
        prepared_names: The names of the statements prepared on it, by their text.
        last_session: The session that it was last set up for.
        lost: Whether it is closed.
        needs_reset: Whether its values are unknown.
        on_lost: Called once with the connection when it is closed.
    """

    pending_replies = 0

    def __init__(self) -> None:
        """Creates a connection without session state."""
        self.tenant = ""
        self.values: dict[str, str] = {}
        self.prepared_names: dict[str, str] = {}
        self.last_session: SessionValues | None = None
        self.lost = self.needs_reset = False
        self.on_lost: Callable[[Any], None] | None = None

    def send_statement(
        self, statement: Statement, after: Position | None = None, alias: str | None = None
    ) -> asyncio.Future[Reply]:
        """Sends a client's statement.

        Args:
            statement: The statement.
            after: The log position that a read must see, or None.
            alias: The name, on this connection, of the prepared statement to execute.

        Returns:
            A future of the reply; it fails with `Unreachable` if the connection is lost.
        """
        raise NotImplementedError

    def send_session_statement(
        self, verb: str, args: Sequence[Any] = (), number: str = _NO_CLIENT_NUMBER
    ) -> asyncio.Future[Reply]:
        """Sends a session statement (such as SET) with its client's number, or "-" for none."""
        raise NotImplementedError

    def send_command(self, verb: str, *args: int) -> asyncio.Future[dict[str, Any]]:
        """Sends a command of the proxy; the reply is the member's status row."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the connection; its pending replies fail with `Unreachable`."""
        raise NotImplementedError

    def set_up_cost(self, session: SessionValues) -> int:
        """Returns how much set-up `session` needs here: FITS, LACKS_PREPARED and so on."""
        if self.needs_reset:
            return OTHER_VALUES
        values = session.values
        if self.values == values:
            fits = all(
                prepared_text in self.prepared_names for prepared_text in session.prepared.values()
            )
            return FITS if fits else LACKS_PREPARED
        return LACKS_VALUES if self.values.keys() <= values.keys() else OTHER_VALUES

    def set_up(
        self, session: SessionValues, statement: Statement | None = None
    ) -> tuple[list[SetUpStatement], str | None]:
        """Records that the connection is set up for `session`.

        Returns:
            The statements that the caller must send before `statement`, and the name, on this
            connection, of the prepared statement that `statement` executes (or None).
        """
        needed: list[SetUpStatement] = []
        if (
            self.needs_reset
            or not self.values.keys() <= session.values.keys()
            or len(self.prepared_names) > _MAX_PREPARED_STATEMENTS
        ):
            needed.append(SetUpStatement("reset", (), _NO_CLIENT_NUMBER))
            self.values, self.prepared_names, self.needs_reset = {}, {}, False
        for name, value in session.values.items():
            if self.values.get(name) != value:
                number = session.statement_numbers[name]
                needed.append(SetUpStatement("set", (name, value), number))
        alias = None
        if statement is not None and statement.verb == "execute":
            alias = self._prepare(session, statement.name, needed)
        self.values = dict(session.values)
        self.last_session = session
        return needed, alias

    def _prepare(self, session: SessionValues, name: str, needed: list[SetUpStatement]) -> str:
        """Returns a statement's prepared name here; adds a PREPARE to `needed` if it has none."""
        prepared_text = session.prepared[name]
        alias = self.prepared_names.get(prepared_text)
        if alias is None:
            alias = f"p{len(self.prepared_names) + 1}"
            self.prepared_names[prepared_text] = alias
            number = session.statement_numbers["", name]
            needed.append(SetUpStatement("prepare", (alias, prepared_text), number))
        return alias

"""The state of a client's session: its values, prepared statements and open transaction."""

from __future__ import annotations

from typing import TYPE_CHECKING

from transitions import Machine

if TYPE_CHECKING:
    from petrelhaven.proxy.pool.member_connection import MemberConnection
    from petrelhaven.proxy.routing.group import MemberGroup
    from petrelhaven.proxy.routing.member import Member
    from petrelhaven.proxy.routing.route import Route

__all__ = ["ENDED", "FAILED", "IDLE", "IN_TRANSACTION", "ClientSession", "Transaction"]

IDLE = "idle"
"""No transaction is open."""
IN_TRANSACTION = "in_transaction"
"""A transaction is open."""
FAILED = "failed"
"""The open transaction has failed; only ROLLBACK or COMMIT ends it."""
ENDED = "ended"
"""The client's connection has ended."""


class Transaction:
    """An open transaction; its first statement assigns it a connection to a member.

    Attributes:
        number: The number of the client's BEGIN.
        read_only: Whether the client began it as read-only.
        arrival: The logical timestamp of its BEGIN.
        started_us: The time of its BEGIN, in microseconds.
        route: The route of its session when it began.
        group: The group in which it runs; assigned with its first statement.
        member: The member on which it runs; assigned together with `connection`.
        connection: Its connection; None before its first statement and after its end.
        has_written: Whether a write in it succeeded.
        has_set_values: Whether it contained a SET.
        timed_out: Whether it was ended at its member because it was idle for too long.
    """

    __slots__ = (
        "number",
        "read_only",
        "arrival",
        "started_us",
        "route",
        "group",
        "member",
        "connection",
        "has_written",
        "has_set_values",
        "timed_out",
    )

    group: MemberGroup
    member: Member
    connection: MemberConnection | None

    def __init__(
        self, number: str, read_only: bool, arrival: int, started_us: int, route: Route | None
    ) -> None:
        """Creates a transaction without a connection."""
        self.number = number
        self.read_only = read_only
        self.arrival = arrival
        self.started_us = started_us
        self.route = route
        self.connection = None
        self.has_written = self.has_set_values = self.timed_out = False


class ClientSession:
    """A client's session.

    Attributes:
        host: The database name that the client connected to.
        client: The client's name, if it is known; with API keys, the name of the key's tenant.
        key_digest: The digest of the API key that the client sent.
        tenant: The tenant that its statements currently run for; empty if there are no tenants.
        values: The values that SET assigned, by name.
        prepared: The texts of its prepared statements, by name.
        statement_numbers: The number of the client's statement that set each value, and of each
            PREPARE under ("", name).
        transaction: The open transaction, or None.
        busy: Whether a statement is running.
        idle_since: When its last statement ended, in microseconds of the proxy's clock.
        strong_read_group: The group that counts it as a session with strong reads, or None.
        state: `IDLE`, `IN_TRANSACTION`, `FAILED` or `ENDED`.
    """

    __slots__ = (
        "host",
        "client",
        "key_digest",
        "tenant",
        "values",
        "prepared",
        "statement_numbers",
        "transaction",
        "busy",
        "idle_since",
        "strong_read_group",
        "state",
        "__dict__",
    )
    state: str
    _machine = Machine(
        model=None,
        states=[IDLE, IN_TRANSACTION, FAILED, ENDED],
        initial=IDLE,
        auto_transitions=False,
        transitions=[
            {"trigger": "begin", "source": IDLE, "dest": IN_TRANSACTION},
            {"trigger": "end_transaction", "source": [IN_TRANSACTION, FAILED], "dest": IDLE},
            {"trigger": "fail_transaction", "source": [IN_TRANSACTION, FAILED], "dest": FAILED},
            {"trigger": "end_transaction", "source": ENDED, "dest": "="},
            {"trigger": "fail_transaction", "source": ENDED, "dest": "="},
            {"trigger": "end", "source": [IDLE, IN_TRANSACTION, FAILED], "dest": ENDED},
        ],
    )
    WIRE_STATES = {IDLE: "I", IN_TRANSACTION: "T", FAILED: "E", ENDED: "I"}
    """The states as they are sent to the client."""

    if TYPE_CHECKING:  # methods that the state machine adds

        def begin(self) -> bool:
            """Opens a transaction."""

        def end_transaction(self) -> bool:
            """Ends the transaction."""

        def fail_transaction(self) -> bool:
            """Marks the transaction as failed."""

        def end(self) -> bool:
            """Ends the session with its client's connection."""

    def __init__(self, host: str, client: str = "", key_digest: str = "", tenant: str = "") -> None:
        """Opens a session for a client that connected to the database name `host`."""
        self.host = host
        self.client = client
        self.key_digest = key_digest
        self.tenant = tenant
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.statement_numbers: dict[str | tuple[str, str], str] = {}
        self.transaction: Transaction | None = None
        self.busy = False
        self.idle_since = 0
        self.strong_read_group: MemberGroup | None = None
        self._machine.add_model(self)

    @property
    def wire_state(self) -> str:
        """The state as it is sent to the client."""
        return self.WIRE_STATES[self.state]

    def close(self) -> None:
        """Ends the session and detaches it from the state machine."""
        self.end()
        self._machine.remove_model(self)

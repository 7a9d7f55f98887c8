"""A session that lives with its client's connection: values, prepared names, a transaction."""

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
"""The open transaction has failed; only ROLLBACK and COMMIT end it."""
ENDED = "ended"
"""The client's connection has ended."""


class Transaction:
    """An open transaction; it gets its member connection with its first statement.

    Attributes:
        number: The number of the client's BEGIN.
        reads: Whether it only reads.
        arrival: The order point at which it arrived.
        started_us: The moment of that, in microseconds.
        route: The route of its session when it began.
        group: The group in which it runs; set with its first statement.
        member: The member at which it runs; set together with `connection`.
        connection: Its connection; None before its first statement and after its end.
        wrote: Whether a write in it succeeded.
        has_set: Whether a SET came inside it.
        timed_out: Whether it was idle too long and was ended at its member.
    """

    __slots__ = (
        "number",
        "reads",
        "arrival",
        "started_us",
        "route",
        "group",
        "member",
        "connection",
        "wrote",
        "has_set",
        "timed_out",
    )

    group: MemberGroup
    member: Member
    connection: MemberConnection | None

    def __init__(
        self, number: str, reads: bool, arrival: int, started_us: int, route: Route | None
    ) -> None:
        """Opens a transaction that has no connection yet."""
        self.number = number
        self.reads = reads
        self.arrival = arrival
        self.started_us = started_us
        self.route = route
        self.connection = None
        self.wrote = self.has_set = self.timed_out = False


class ClientSession:
    """One session.

    Attributes:
        host: The database name that the client connected to.
        client: Who it is for, if that is known: a tenant's name where clients show keys.
        key_digest: The digest of the key that its client showed.
        tenant: The tenant for whom its statements run now; empty where there is none.
        values: What SET has set, by name.
        prepared: The texts of its prepared statements, by name.
        statement_numbers: The number of the client's statement that set each value, and of each
            PREPARE under ("", name).
        transaction: The open transaction, or None.
        busy: Whether a statement is being served.
        idle_since: When its last statement ended, in microseconds of the proxy's clock.
        counted_in: The group that counts it as a session of strong reads, or None.
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
    """The states as the wire shows them."""

    if TYPE_CHECKING:  # what the machine adds to each session

        def begin(self) -> bool:
            """A transaction is opened."""

        def end_transaction(self) -> bool:
            """The transaction has ended."""

        def fail_transaction(self) -> bool:
            """A statement in the transaction has failed."""

        def end(self) -> bool:
            """The client's connection has ended."""

    def __init__(self, host: str, client: str = "", key_digest: str = "", tenant: str = "") -> None:
        """Opens a session of `host`; `client` names who it is for, if anybody."""
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
        """The state as the wire shows it."""
        return self.WIRE_STATES[self.state]

    def close(self) -> None:
        """Ends the session and detaches it from its machine."""
        self.end()
        self._machine.remove_model(self)

"""A session that lives with its client's connection: values, prepared names, a transaction."""

from __future__ import annotations

from typing import TYPE_CHECKING

from transitions import Machine

if TYPE_CHECKING:
    from petrelhaven.proxy.pool.member_connection import MemberConnection
    from petrelhaven.proxy.routing.group import MemberGroup
    from petrelhaven.proxy.routing.member import Member
    from petrelhaven.proxy.routing.route import Route

__all__ = ["ClientSession", "Transaction"]


class Transaction:
    """An open transaction; it gets its member connection with its first statement.

    `number` is the number of the client's BEGIN, `arrival` its order point, `started_us` its
    moment. `has_set` tells that a SET came inside it, `timed_out` that it rested too long and
    was ended at its member.
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

    def __init__(
        self, number: str, reads: bool, arrival: int, started_us: int, route: Route | None
    ) -> None:
        """Opens a transaction that has no connection yet."""
        self.number = number
        self.reads = reads
        self.arrival = arrival
        self.started_us = started_us
        self.route = route
        self.group: MemberGroup | None = None
        self.member: Member | None = None
        self.connection: MemberConnection | None = None
        self.wrote = self.has_set = self.timed_out = False


class ClientSession:
    """One session. States: idle (I), trading (T, a transaction is open), failed (E), ended.

    `nums` has the number of the client's statement that set each value, and of each PREPARE under
    ("", name). `idle_since` is the clock's time at its last statement's end, `counted_in` the group
    that counts it as a session of strong reads.
    """

    __slots__ = (
        "host",
        "client",
        "values",
        "prepared",
        "nums",
        "transaction",
        "busy",
        "idle_since",
        "counted_in",
        "state",
        "__dict__",
    )
    _machine = Machine(
        model=None,
        states=["idle", "trading", "failed", "ended"],
        initial="idle",
        auto_transitions=False,
        transitions=[
            {"trigger": "begin", "source": "idle", "dest": "trading"},
            {"trigger": "settle", "source": ["trading", "failed"], "dest": "idle"},
            {"trigger": "fail", "source": ["trading", "failed"], "dest": "failed"},
            {"trigger": "settle", "source": "ended", "dest": "="},
            {"trigger": "fail", "source": "ended", "dest": "="},
            {"trigger": "end", "source": ["idle", "trading", "failed"], "dest": "ended"},
        ],
    )
    MARK = {"idle": "I", "trading": "T", "failed": "E", "ended": "I"}

    def __init__(self, host: str, client: str = "") -> None:
        """Opens a session of `host`; `visitor` names who it is for, if anybody."""
        self.host = host
        self.client = client
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.nums: dict[str | tuple[str, str], str] = {}
        self.transaction: Transaction | None = None
        self.busy = False
        self.idle_since = 0
        self.counted_in: MemberGroup | None = None
        self._machine.add_model(self)

    @property
    def mark(self) -> str:
        """The state as the wire tells it."""
        return self.MARK[self.state]

    def close(self) -> None:
        """Ends the session and detaches it from its machine."""
        self.end()
        self._machine.remove_model(self)

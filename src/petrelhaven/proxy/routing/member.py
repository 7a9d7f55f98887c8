"""A proxy's view of one member of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from petrelhaven.proxy.reads.log_progress import LogProgress

if TYPE_CHECKING:
    import asyncio

    from petrelhaven.proxy.pool.connection_pool import ConnectionPool
    from petrelhaven.proxy.pool.member_connection import MemberConnection
    from petrelhaven.proxy.reads.position import Position

__all__ = ["CONNECTION_RESET", "NOT_PRIMARY", "NO_ANSWER", "REFUSED", "Member"]

NO_ANSWER = "mute"
"""Kind of failure: no answer arrived in time."""
CONNECTION_RESET = "reset"
"""Kind of failure: the connection was lost."""
REFUSED = "refused"
"""Kind of failure: no process accepts connections at the address."""
NOT_PRIMARY = "replica"
"""Kind of failure: the supposed primary answered as a replica."""


class Member:
    """A member with its connections, failures and reported log position.

    Times are in microseconds of the proxy's clock.

    Attributes:
        name: The name of the member.
        address: The address where it accepts connections.
        zone: The zone it is in.
        state: Its state in the control state, such as ready or draining.
        capacity: How many statements it runs concurrently.
        distance: The distance of its zone: 0 own zone, 1 own region, 2 another region.
        pool: The connections to it.
        log_progress: The reported position of its log.
        status_connection: The connection for STATUS requests, or None.
        status_opening: The task that opens that connection, or None.
        avoided_until: Until when it is avoided because of a failure.
        failures: The number of failures since its last answer.
        in_flight: How many statements of this proxy it is running.
        last_answer_at: The time of its last answer, 0 if there was none.
        unanswered_since: When the first request since its last answer was sent, 0 if none was.
        refuses_connections: Whether no process accepts connections at its address.
        closed_to_new_at: From when on it accepts no new statements, or None.
        lagging_replies: The number of consecutive LAGGING replies.
        lagging_until: Until when reads of a later position wait together with the read that was
            answered LAGGING.
        deprioritized_until: Until when reads prefer other members.
    """

    __slots__ = (
        "name",
        "address",
        "zone",
        "state",
        "capacity",
        "distance",
        "pool",
        "log_progress",
        "status_connection",
        "status_opening",
        "avoided_until",
        "failures",
        "in_flight",
        "last_answer_at",
        "unanswered_since",
        "refuses_connections",
        "closed_to_new_at",
        "lagging_replies",
        "lagging_until",
        "deprioritized_until",
    )

    def __init__(
        self,
        name: str,
        row: dict[str, Any],
        distance: int,
        pool: ConnectionPool,
        log_progress: LogProgress,
    ) -> None:
        """Creates a member from its `row` of the control state."""
        self.name = name
        self.address: str = row["addr"]
        self.zone: str = row["hall"]
        self.state: str = row["state"]
        self.capacity: int = row["slots"]
        self.distance = distance
        self.pool = pool
        self.log_progress = log_progress
        self.status_connection: MemberConnection | None = None
        self.status_opening: asyncio.Task[MemberConnection] | None = None
        self.avoided_until = self.failures = self.in_flight = self.last_answer_at = 0
        self.unanswered_since = 0
        self.refuses_connections = False
        self.closed_to_new_at: int | None = None
        self.lagging_replies = self.lagging_until = self.deprioritized_until = 0

    def note_asked(self, now: int) -> None:
        """Records that a request is sent at `now`."""
        if not self.unanswered_since:
            self.unanswered_since = now

    def note_answer(self, now: int) -> None:
        """Records an answer at `now`, and clears the failures."""
        self.last_answer_at = now
        self.failures = self.avoided_until = self.unanswered_since = 0
        self.refuses_connections = False

    def note_log(self, position: Position) -> None:
        """Records a position of its log if it is later than the recorded one."""
        if position > self.log_progress.position:
            self.log_progress.note_position(position, 0)

    def close(self) -> None:
        """Closes its connections; busy ones are closed when their statement has ended."""
        self.pool.close()
        if self.status_connection is not None:
            self.status_connection.close()

"""One member of a group as a proxy sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from petrelhaven.proxy.reads.log_progress import LogProgress

if TYPE_CHECKING:
    from petrelhaven.proxy.pool.connection_pool import ConnectionPool
    from petrelhaven.proxy.pool.member_connection import MemberConnection
    from petrelhaven.proxy.reads.position import Position

__all__ = ["CONNECTION_RESET", "NOT_PRIMARY", "NO_ANSWER", "REFUSED", "Member"]

NO_ANSWER = "mute"
"""Sign of a failure: nothing came in time."""
CONNECTION_RESET = "reset"
"""Sign of a failure: the connection was lost."""
REFUSED = "refused"
"""Sign of a failure: no process takes connections at the address."""
NOT_PRIMARY = "replica"
"""Sign of a failure: the primary answers as a replica."""


class Member:
    """A member's connections, its failures, and what is known of its log.

    Times are microseconds of the proxy's clock.

    Attributes:
        name: Its name.
        address: Where it takes connections.
        zone: The zone it is in.
        state: Its state in the control state, such as ready or draining.
        capacity: How many statements it runs at once.
        distance: How far its zone is, 0 the proxy's own.
        pool: Its connections.
        log_progress: What is known of its log.
        status_connection: The connection on which STATUS is asked, or None.
        down_until: Until when it is avoided after a failure.
        failures: How many failures there were since its last answer.
        in_flight: How many statements it is running for this proxy.
        last_heard: When it answered last, 0 if never.
        asked_at: When the first thing that it was asked since then was sent, 0 if nothing was.
        refuses: Whether no process takes connections at its address.
        stop_at: From when it takes no new statements; None while it stays.
        lagging_replies: How many LAGGING replies came in a row.
        lagging_until: Until when reads that need its log join the wait of one that was answered
            LAGGING.
        slow_until: Until when reads prefer other members.
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
        """Takes a member's `row` of the control state."""
        self.name = name
        self.address: str = row["addr"]
        self.zone: str = row["hall"]
        self.state: str = row["state"]
        self.capacity: int = row["slots"]
        self.distance = distance
        self.pool = pool
        self.log_progress = log_progress
        self.status_connection: MemberConnection | None = None
        self.avoided_until = self.failures = self.in_flight = self.last_answer_at = 0
        self.unanswered_since = 0
        self.refuses_connections = False
        self.closed_to_new_at: int | None = None
        self.lagging_replies = self.lagging_until = self.deprioritized_until = 0

    def note_asked(self, now: int) -> None:
        """It is sent something now."""
        if not self.unanswered_since:
            self.unanswered_since = now

    def note_answer(self, now: int) -> None:
        """It has answered just now."""
        self.last_answer_at = now
        self.failures = self.avoided_until = self.unanswered_since = 0
        self.refuses_connections = False

    def note_log(self, position: Position) -> None:
        """Takes a position of its log, if that is newer."""
        if position > self.log_progress.position:
            self.log_progress.note_position(position, 0)

    def close(self) -> None:
        """Closes its connections: the busy ones when their statement has ended."""
        self.pool.close()
        if self.status_connection is not None:
            self.status_connection.close()

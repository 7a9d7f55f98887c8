"""One member of a group as a proxy sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from petrelhaven.proxy.reads.log_progress import LogProgress

if TYPE_CHECKING:
    from petrelhaven.proxy.pool.connection_pool import ConnectionPool
    from petrelhaven.proxy.pool.member_connection import MemberConnection
    from petrelhaven.proxy.reads.position import Position

__all__ = ["Member"]


class Member:
    """A member's connections, how it does, and what is known of its log.

    Times are clock microseconds. `distance` ranks its zone (0: this proxy's own). It is left alone
    until `down_until`; `failures` counts faults since its last answer, at `last_heard`; the first
    thing it was asked since then left at `asked_at` (0: nothing was). `refuses` tells that its
    process is not there. New
    statements may go to it before `stop_at`, if that is set. `lagging_replies` counts LAGGING
    replies in a row; until `lagging_until` whoever needs its log joins that wait, and until
    `slow_until` others are preferred. `status_connection` is the one that STATUS is asked on.
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
        "down_until",
        "failures",
        "in_flight",
        "last_heard",
        "asked_at",
        "refuses",
        "stop_at",
        "lagging_replies",
        "lagging_until",
        "slow_until",
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
        self.down_until = self.failures = self.in_flight = self.last_heard = 0
        self.asked_at = 0
        self.refuses = False
        self.stop_at: int | None = None
        self.lagging_replies = self.lagging_until = self.slow_until = 0

    def note_asked(self, now: int) -> None:
        """Something is sent to it now."""
        if not self.asked_at:
            self.asked_at = now

    def note_answer(self, now: int) -> None:
        """It has answered just now."""
        self.last_heard = now
        self.failures = self.down_until = self.asked_at = 0
        self.refuses = False

    def note_log(self, position: Position) -> None:
        """Takes a position of its log, if that is newer."""
        if position > self.log_progress.log:
            self.log_progress.note(position, 0)

    def close(self) -> None:
        """Closes its connections: the busy ones when their statement has ended."""
        self.pool.close()
        if self.status_connection is not None:
            self.status_connection.close()

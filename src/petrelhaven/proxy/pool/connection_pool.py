"""The pool of connections from one proxy to one member.

A connection belongs to one tenant, because the proxy names the tenant to the member when it opens
the connection. A session gets the idle connection of its tenant that needs the least set-up:
preferably one that it used before, then one with its values and prepared statements, then any
other, then a new one. When the pool is full, it closes the least recently used idle connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from petrelhaven.proxy.pool.fair_queue import FairQueue
from petrelhaven.proxy.pool.member_connection import FITS, LACKS_VALUES, OTHER_VALUES
from petrelhaven.runtime.errors import Busy, Fault, NotSent

if TYPE_CHECKING:
    from petrelhaven.proxy.pool.member_connection import MemberConnection, SessionValues
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks

__all__ = ["ConnectionPool"]

_MEMBER_FULL_US = 2_000_000
_MAX_WAITERS_PER_CONNECTION = 4
_NOT_FOUND_COST = 9
_CLOSED_REASON = "member left the plan"


class ConnectionPool:
    """A pool of connections to one member, with a queue of sessions that wait for a connection.

    Attributes:
        max_size: The maximum number of open connections.
        idle: The connections that are not in use; the most recently used one is last.
        busy: The connections that are in use.
        closed: Whether the member has left its group.
    """

    def __init__(
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        opener: Callable[[str], Awaitable[MemberConnection]],
        max_size: int,
        useful_size: Callable[[], int],
    ) -> None:
        """Creates an empty pool.

        Args:
            clock: Monotonic time.
            tasks: Runs the tasks that open connections.
            opener: Opens a connection for a tenant, or raises a `Fault`.
            max_size: The maximum number of open connections.
            useful_size: Returns the number of connections from which on the pool sets up an idle
                connection for another session instead of opening a new one.
        """
        self.clock, self.tasks, self._opener = clock, tasks, opener
        self.max_size, self._useful_size = max_size, useful_size
        self._full_at_size: int | None = None
        self.idle: list[MemberConnection] = []
        self.busy: set[MemberConnection] = set()
        self._opening = 0
        self._waiters: FairQueue[asyncio.Future[MemberConnection]] = FairQueue()
        self.closed = False

    @property
    def total(self) -> int:
        """The number of connections that are open or being opened."""
        return len(self.idle) + len(self.busy) + self._opening

    @property
    def limit(self) -> int:
        """The current maximum of open connections; lower for a while after the member was full."""
        if self._full_at_size is None:
            return self.max_size
        return max(1, min(self.max_size, self._full_at_size))

    def usage_summary(self) -> str:
        """Returns the numbers of idle, busy, opening and waiting, as one field of a log line."""
        return f"{len(self.idle)}/{len(self.busy)}/{self._opening}/{len(self._waiters)}"

    def acquire(self, session: SessionValues) -> asyncio.Future[MemberConnection]:
        """Returns a future of a connection for `session`.

        The future fails with NotSent if the member has left its group, with Busy if too many
        sessions wait already, and with the opener's error if a connection could not be opened.
        """
        waiter: asyncio.Future[MemberConnection] = asyncio.get_running_loop().create_future()
        if self.closed:
            waiter.set_exception(NotSent(_CLOSED_REASON))
            return waiter
        connection, cost = self._find_cheapest_idle(session)
        limit = self.limit
        full = self.total >= min(limit, self._useful_size())
        if cost == OTHER_VALUES and full:
            self.idle.pop(0).close()
            if self.total < limit or connection not in self.idle:
                connection = None
        if connection is not None and (cost < LACKS_VALUES or full):
            self.idle.remove(connection)
            self._hand_out(connection, waiter)
            return waiter
        if full and cost != OTHER_VALUES and self.idle:
            self.idle.pop(0).close()
        if self.total < limit:
            self._start_opening(session.tenant, waiter)
        elif self._count_waiters(session.tenant) >= _MAX_WAITERS_PER_CONNECTION * self.max_size:
            waiter.set_exception(Busy("too many wait for a connection"))
        else:
            self._waiters.append(session.tenant, waiter)
        return waiter

    def _count_waiters(self, tenant: str) -> int:
        """Returns how many sessions of a tenant wait, without those that gave up."""
        return sum(not waiter.done() for waiter in self._waiters.items_of(tenant))

    def _find_cheapest_idle(self, session: SessionValues) -> tuple[MemberConnection | None, int]:
        """Returns the tenant's idle connection that needs the least set-up, and its cost."""
        best, best_cost = None, _NOT_FOUND_COST
        for connection in reversed(self.idle):
            if connection.tenant != session.tenant:
                continue
            cost = FITS if connection.last_session is session else connection.set_up_cost(session)
            if cost < best_cost:
                best, best_cost = connection, cost
                if cost == FITS:
                    break
        return best, best_cost

    def _hand_out(
        self, connection: MemberConnection, waiter: asyncio.Future[MemberConnection]
    ) -> None:
        self.busy.add(connection)
        waiter.set_result(connection)

    def _start_opening(self, tenant: str, waiter: asyncio.Future[MemberConnection]) -> None:
        self._opening += 1
        self.tasks.spawn(self._open_one(tenant, waiter))

    async def _open_one(self, tenant: str, waiter: asyncio.Future[MemberConnection]) -> None:
        """Opens a connection for `tenant` and passes it to `waiter`."""
        try:
            connection = await self._opener(tenant)
        except Fault as fault:
            self._opening -= 1
            self._handle_open_failure(tenant, waiter, fault)
            return
        except BaseException:
            self._opening -= 1
            raise
        self._opening -= 1
        connection.tenant = tenant
        connection.on_lost = self._remove_connection
        if self.closed:
            connection.close()
            if not waiter.done():
                waiter.set_exception(NotSent(_CLOSED_REASON))
        elif waiter.done():
            self.idle.append(connection)
            self._serve_waiters()
        else:
            self._hand_out(connection, waiter)

    def _handle_open_failure(
        self, tenant: str, waiter: asyncio.Future[MemberConnection], fault: Fault
    ) -> None:
        """Fails `waiter`, or queues it again if the member is full and has other connections."""
        if isinstance(fault, Busy):
            if self._full_at_size is None:
                self.clock.call_later(_MEMBER_FULL_US, self._clear_full)
            self._full_at_size = self.total
            if self.total and not waiter.done():
                self._waiters.prepend(tenant, waiter)
                self._serve_waiters()
                return
        if not waiter.done():
            waiter.set_exception(fault)
        self._serve_waiters()

    def _clear_full(self) -> None:
        self._full_at_size = None
        self._serve_waiters()

    def _remove_connection(self, connection: MemberConnection) -> None:
        """Removes a connection that was lost or closed."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.busy.discard(connection)
        self._serve_waiters()

    def _serve_waiters(self) -> None:
        """Serves waiting sessions, tenants in turn, while connections are idle or may be opened."""
        while self._waiters:
            tenant, waiter = self._waiters.peek()
            if waiter.done():
                self._waiters.pop()
                continue
            connection = self._find_idle(tenant)
            if connection is None and self.total >= self.limit:
                if not self.idle:
                    return
                self.idle.pop(0).close()  # on_lost serves the queue again if that made room
                continue
            self._waiters.pop()
            if connection is None:
                self._start_opening(tenant, waiter)
            else:
                self.idle.remove(connection)
                self._hand_out(connection, waiter)

    def _find_idle(self, tenant: str) -> MemberConnection | None:
        """Returns the tenant's most recently used idle connection."""
        return next((idle for idle in reversed(self.idle) if idle.tenant == tenant), None)

    def release(self, connection: MemberConnection) -> None:
        """Returns a connection to the pool.

        A connection with pending replies is closed, because its state is unknown.
        """
        self.busy.discard(connection)
        unusable = connection.lost or connection.pending_replies
        if unusable or self.closed or self.total >= self.max_size:
            connection.close()
        else:
            self.idle.append(connection)
        self._serve_waiters()

    def discard(self, connection: MemberConnection) -> None:
        """Closes a connection whose state is unknown."""
        self.busy.discard(connection)
        connection.close()
        self._serve_waiters()

    def cancel(self, waiter: asyncio.Future[MemberConnection]) -> None:
        """Cancels a future of `acquire`, or releases the connection that it already has."""
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            self.release(waiter.result())
        else:
            waiter.cancel()

    def close(self) -> None:
        """Closes idle connections now and busy ones on release, and fails the waiting sessions."""
        self.closed = True
        for connection in self.idle:
            connection.close()
        self.idle.clear()
        for waiter in self._waiters.clear():
            if not waiter.done():
                waiter.set_exception(NotSent(_CLOSED_REASON))

"""The connections of one proxy to one member.

A connection belongs to one tenant, since a member is told the tenant when it is opened. A session
gets the connection of its tenant that needs the least set-up: one that it had before, else one with
its values and prepared statements, else any other, else a new one. Where no more may be opened, the
idle connection that was used longest ago makes room.
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

_FULL_US = 2_000_000
_WAITERS_PER_CONNECTION = 4
_NOT_FOUND = 9
_CLOSED = "member left the plan"


class ConnectionPool:
    """Hands out connections, and opens new ones as long as that is worth it.

    Attributes:
        max_size: How many connections may be open at once.
        idle: Connections that nobody uses, the last used one last.
        busy: Connections that are handed out.
        closed: Whether the member has left its group.
    """

    def __init__(
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        opener: Callable[[str], Awaitable[MemberConnection]],
        max_size: int,
        worth_opening: Callable[[], int],
    ) -> None:
        """An empty pool.

        Args:
            clock: Monotonic time.
            tasks: Where connections are opened.
            opener: Opens one connection for a tenant, or raises a `Fault`.
            max_size: How many connections may be open at once.
            worth_opening: How many connections are worth having: beyond that, an idle one is set
                up for another session rather than a new one opened.
        """
        self.clock, self.tasks, self._open = clock, tasks, opener
        self.max_size, self._worth_opening = max_size, worth_opening
        self._full_at: int | None = None
        self.idle: list[MemberConnection] = []
        self.busy: set[MemberConnection] = set()
        self._opening = 0
        self._waiting: FairQueue[asyncio.Future[MemberConnection]] = FairQueue()
        self.closed = False

    @property
    def total(self) -> int:
        """How many connections are open or being opened."""
        return len(self.idle) + len(self.busy) + self._opening

    @property
    def limit(self) -> int:
        """How many connections may be open now: fewer for a while after the member was full."""
        if self._full_at is None:
            return self.max_size
        return max(1, min(self.max_size, self._full_at))

    def usage_summary(self) -> str:
        """Idle, busy, opening and waiting, as one field for a log."""
        return f"{len(self.idle)}/{len(self.busy)}/{self._opening}/{len(self._waiting)}"

    def acquire(self, session: SessionValues) -> asyncio.Future[MemberConnection]:
        """A future of a connection for `session`.

        It fails with NotSent once the member has left, with Busy if too many wait already, and
        with what the opener raised if a new connection could not be opened.
        """
        waiter: asyncio.Future[MemberConnection] = asyncio.get_running_loop().create_future()
        if self.closed:
            waiter.set_exception(NotSent(_CLOSED))
            return waiter
        connection, cost = self._cheapest(session)
        limit = self.limit
        full = self.total >= min(limit, self._worth_opening())
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
            self._open_for(session.tenant, waiter)
        elif self._waiting_count(session.tenant) >= _WAITERS_PER_CONNECTION * self.max_size:
            waiter.set_exception(Busy("too many wait for a connection"))
        else:
            self._waiting.append(session.tenant, waiter)
        return waiter

    def _waiting_count(self, tenant: str) -> int:
        """How many of a tenant's sessions wait; those that gave up do not count."""
        return sum(not waiter.done() for waiter in self._waiting.items_of(tenant))

    def _cheapest(self, session: SessionValues) -> tuple[MemberConnection | None, int]:
        """The tenant's idle connection that needs the least set-up, and its cost."""
        best, best_cost = None, _NOT_FOUND
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

    def _open_for(self, tenant: str, waiter: asyncio.Future[MemberConnection]) -> None:
        self._opening += 1
        self.tasks.spawn(self._open_one(tenant, waiter))

    async def _open_one(self, tenant: str, waiter: asyncio.Future[MemberConnection]) -> None:
        """Opens a connection of `tenant` for `waiter`."""
        try:
            connection = await self._open(tenant)
        except Fault as fault:
            self._opening -= 1
            self._open_failed(tenant, waiter, fault)
            return
        except BaseException:
            self._opening -= 1
            raise
        self._opening -= 1
        connection.tenant = tenant
        connection.on_lost = self._forget
        if self.closed:
            connection.close()
            if not waiter.done():
                waiter.set_exception(NotSent(_CLOSED))
        elif waiter.done():
            self.idle.append(connection)
            self._serve_waiting()
        else:
            self._hand_out(connection, waiter)

    def _open_failed(
        self, tenant: str, waiter: asyncio.Future[MemberConnection], fault: Fault
    ) -> None:
        """Fails `waiter`, unless the member is full and another connection may come back."""
        if isinstance(fault, Busy):
            if self._full_at is None:
                self.clock.later(_FULL_US, self._forget_full)
            self._full_at = self.total
            if self.total and not waiter.done():
                self._waiting.prepend(tenant, waiter)
                self._serve_waiting()
                return
        if not waiter.done():
            waiter.set_exception(fault)
        self._serve_waiting()

    def _forget_full(self) -> None:
        self._full_at = None
        self._serve_waiting()

    def _forget(self, connection: MemberConnection) -> None:
        """A connection was lost or closed."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.busy.discard(connection)
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        """Serves who waits, tenants in turn, as far as connections are idle or may be opened."""
        while self._waiting:
            tenant, waiter = self._waiting.peek()
            if waiter.done():
                self._waiting.pop()
                continue
            connection = self._idle_of(tenant)
            if connection is None and self.total >= self.limit:
                if not self.idle:
                    return
                self.idle.pop(0).close()  # which serves whoever waits, if that made room
                continue
            self._waiting.pop()
            if connection is None:
                self._open_for(tenant, waiter)
            else:
                self.idle.remove(connection)
                self._hand_out(connection, waiter)

    def _idle_of(self, tenant: str) -> MemberConnection | None:
        """The tenant's idle connection that was used last."""
        return next((idle for idle in reversed(self.idle) if idle.tenant == tenant), None)

    def release(self, connection: MemberConnection) -> None:
        """Takes a connection back.

        One that still waits for replies is closed, for nobody knows its state.
        """
        self.busy.discard(connection)
        unusable = connection.lost or connection.pending_replies
        if unusable or self.closed or self.total >= self.max_size:
            connection.close()
        else:
            self.idle.append(connection)
        self._serve_waiting()

    def discard(self, connection: MemberConnection) -> None:
        """Closes a connection whose state is not known."""
        self.busy.discard(connection)
        connection.close()
        self._serve_waiting()

    def cancel(self, waiter: asyncio.Future[MemberConnection]) -> None:
        """Takes back whatever a future of `acquire` has brought or will bring."""
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            self.release(waiter.result())
        else:
            waiter.cancel()

    def close(self) -> None:
        """Closes idle connections at once, busy ones when they come back; fails who waits."""
        self.closed = True
        for connection in self.idle:
            connection.close()
        self.idle.clear()
        for waiter in self._waiting.clear():
            if not waiter.done():
                waiter.set_exception(NotSent(_CLOSED))

"""A proxy's view of one database group: its leadership, members and read clock."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from typing import TYPE_CHECKING, Any

from petrelhaven.control.failover.evidence import NO_POSITION
from petrelhaven.control.state.rows import LeadershipPhase
from petrelhaven.proxy.pool.connection_pool import ConnectionPool
from petrelhaven.proxy.reads.log_progress import LogProgress
from petrelhaven.proxy.reads.read_clock import ReadClock
from petrelhaven.proxy.routing.member import NO_ANSWER, NOT_PRIMARY, REFUSED, Member
from petrelhaven.proxy.routing.member_proofs import MemberProofs
from petrelhaven.runtime.errors import DeadlineExceeded, Fault, MemberReplaced, NotSent, Unreachable

if TYPE_CHECKING:
    from petrelhaven.control.state.control_state import ControlState
    from petrelhaven.control.state.rows import Leadership
    from petrelhaven.proxy.pool.member_connection import MemberConnection
    from petrelhaven.proxy.reads.position import Position
    from petrelhaven.proxy.routing.attempt import Attempt
    from petrelhaven.proxy.routing.interfaces import ProxyServices
    from petrelhaven.proxy.routing.route import Route

__all__ = ["MemberGroup"]

_SERVING, _FAILOVER = LeadershipPhase.SERVING, LeadershipPhase.FAILOVER

_AVOID_US = 250_000
_MAX_AVOID_US = 2_000_000
_MAX_COUNTED_FAILURES = 4
_AVOID_REPLACED_US = 5_000_000
_OPEN_LIMIT_US = 450_000
_RECENT_ANSWER_US = 350_000
_ROLLBACK_LIMIT_US = 500_000
_PRIMARY_LOST_AFTER_US = 4_000_000
_NEVER_US = 1 << 60

_DEFAULT_CONNECTION_CAP = 40
_RESERVED_CONNECTIONS = 4
_MIN_PROXIES = 3
_SPARE_CONNECTIONS = 2

_INITIAL_RETRIES = 10.0
_MAX_RETRIES = 20.0
_RETRIES_PER_REQUEST = 0.1


class MemberGroup:
    """Tracks the leadership and the members of one group.

    Attributes:
        name: The name of the group.
        members: The current members, by name.
        leadership: The leadership of the group, or None while it is unknown.
        leadership_key: The number of the leadership's first record and its primary, also during a
            failover. Fetched positions are valid within one leadership only.
        connection_cap: How many connections all proxies together may have to one member.
        sync_replicas: How many replicas must have a commit before it is acknowledged.
        largest_size: The largest number of members that the group has had.
        strong_sessions: How many open sessions have a route with strong reads.
        lower_bound: No acknowledged commit of departed members is after this log position.
        without_vote: Members whose copies of a commit don't count for its acknowledgement.
        read_clock: Determines the positions that reads must see.
        proofs: Confirms commits and positions with members other than the primary.
    """

    def __init__(self, name: str, proxy: ProxyServices) -> None:
        """Creates a group of `proxy` without members or a leadership."""
        self.name = name
        self._proxy = proxy
        self._clock = proxy.clock
        self.members: dict[str, Member] = {}
        self.leadership: Leadership | None = None
        self.leadership_key: tuple[int, str] | None = None
        self.connection_cap = _DEFAULT_CONNECTION_CAP
        self.sync_replicas = self.largest_size = self.strong_sessions = 0
        self.lower_bound: Position = NO_POSITION
        self.without_vote: frozenset[str] = frozenset()
        self.read_clock = ReadClock(
            proxy.clock, proxy.tasks, proxy.logical_clock, self._fetch, proxy.bounds
        )
        self.proofs = MemberProofs(self, proxy)
        self._leadership_change: asyncio.Future[None] | None = None
        self._available_retries = _INITIAL_RETRIES

    @property
    def primary(self) -> Member | None:
        """The primary, or None during a failover or while the leadership is unknown."""
        leadership = self.leadership
        if leadership is None or leadership.phase is _FAILOVER:
            return None
        return self.members.get(leadership.primary)

    @property
    def leased_primary(self) -> Member | None:
        """The primary if it certainly leads because this proxy holds a lease, else None.

        Callers check this right before they send, with no await in between. A proxy without a
        lease gets positions by STATUS instead of piggybacked fetches, see `read_placement`.
        """
        leadership = self.leadership
        if (
            leadership is None
            or leadership.phase is not _SERVING
            or not self._proxy.core_connection.holds_lease
        ):
            return None
        return self.members.get(leadership.primary)

    def available_primary(self) -> Member | None:
        """Returns the primary if a new statement may be sent to it now, else None."""
        member = self.primary
        if (
            member is None
            or not self.accepts_new_statements(member)
            or member.avoided_until > self._clock.now()
        ):
            return None
        return member

    def accepts_new_statements(self, member: Member) -> bool:
        """Returns whether the primary `member` still accepts new statements."""
        return member.closed_to_new_at is None or self._clock.now() < member.closed_to_new_at

    def apply_control_state(self, control_state: ControlState, fresh: bool) -> None:
        """Applies the leadership, the members and the zones of the control state.

        `fresh` is True if the state comes from a complete snapshot, so that the age of its changes
        is unknown.
        """
        rows = control_state.group_members(self.name)
        self.largest_size = control_state.doc["sizes"].get(self.name, 0)
        evidence = control_state.evidence(self.name)
        self.lower_bound = evidence.lower_bound
        self.without_vote = evidence.without_vote
        for name, row in rows.items():
            self._apply_member(name, row, control_state, fresh)
        for name in [name for name in self.members if name not in rows]:
            self.members.pop(name).close()
        leadership = control_state.leadership(self.name)
        if leadership != self.leadership:
            self._apply_leadership(leadership)

    def _apply_member(
        self, name: str, row: dict[str, Any], control_state: ControlState, fresh: bool
    ) -> None:
        member = self.members.get(name)
        if member is not None and member.address != row["addr"]:
            member.pool.close()
            member = None
        if member is None:
            member = self.members[name] = self._new_member(name, row)
        member.state = row["state"]
        proxies = max(self._proxy.core_connection.proxy_count, _MIN_PROXIES)
        connection_share = (self.connection_cap - _RESERVED_CONNECTIONS) // proxies - 1
        member.pool.max_size = max(1, connection_share)
        draining = member.state == "draining"
        evacuated = control_state.zone_state(member.zone) != "open"
        if not draining and not evacuated:
            member.closed_to_new_at = None
        elif member.closed_to_new_at is None:
            bound_us = min(
                self._proxy.drain_us if draining else _NEVER_US,
                self._proxy.evacuation_us if evacuated else _NEVER_US,
            )
            member.closed_to_new_at = self._clock.now() + (0 if fresh else bound_us)

    def _new_member(self, name: str, row: dict[str, Any]) -> Member:
        proxy = self._proxy
        proxy.remote_contact.register_distance(proxy.zone_distance(row["hall"]))
        pool = ConnectionPool(
            self._clock,
            proxy.tasks,
            lambda tenant: self._open(member, tenant),
            1,
            lambda: self.strong_sessions + _SPARE_CONNECTIONS,
        )
        log_progress = LogProgress(self._clock, proxy.tasks, None)
        log_progress.position = (0, 0)
        member = Member(name, row, proxy.zone_distance(row["hall"]), pool, log_progress)
        return member

    def _apply_leadership(self, leadership: Leadership | None) -> None:
        self.leadership = leadership
        self.leadership_key = (
            (leadership.since, leadership.primary) if leadership is not None else None
        )
        self.read_clock.set_leadership(self.leadership_key)
        primary = self.primary
        if primary is not None and leadership is not None and leadership.phase is _SERVING:
            primary.avoided_until = primary.failures = 0
        waiter, self._leadership_change = self._leadership_change, None
        if waiter is not None:
            waiter.set_result(None)

    def next_leadership_change(self) -> asyncio.Future[None]:
        """Returns a future that completes at the next change of the leadership.

        All waiting statements share one future.
        """
        if self._leadership_change is None:
            self._leadership_change = asyncio.get_running_loop().create_future()
        return self._leadership_change

    def pick_member(self, position: Position, excluded: Collection[str]) -> Member | None:
        """Selects a member for a read: preferably available, at `position`, not busy, and near."""
        now = self._clock.now()
        primary = self.leadership.primary if self.leadership is not None else None
        best: Member | None = None
        best_cost: tuple[Any, ...] = ()
        for name, member in self.members.items():
            if name in excluded:
                continue
            closed_to_new_at = member.closed_to_new_at
            if closed_to_new_at is not None and (name != primary or now >= closed_to_new_at):
                continue
            cost = (
                member.avoided_until > now,
                member.deprioritized_until > now and member.log_progress.position < position,
                member.in_flight >= max(2, member.capacity - 1),
                member.distance,
                name == primary and member.distance > 0,
                member.in_flight,
                name,
            )
            if best is None or cost < best_cost:
                best, best_cost = member, cost
        return best

    def try_spend_retry(self) -> bool:
        """Spends one retry of this group's budget; returns False if there is none left."""
        if self._available_retries < 1:
            return False
        self._available_retries -= 1
        return True

    def add_retry_credit(self) -> None:
        """Adds a tenth of a retry to the budget, for each new request."""
        self._available_retries = min(_MAX_RETRIES, self._available_retries + _RETRIES_PER_REQUEST)

    def note_answer(self, member: Member, position: Position | None = None) -> None:
        """Records an answer of the member, with the position of its log if it is known."""
        member.note_answer(self._clock.now())
        self._proxy.remote_contact.note_answer(member.distance)
        if position is not None:
            member.note_log(position)

    def note_failure(self, member: Member, how: str) -> None:
        """Records a failure: avoids the member for a while, and reports a primary as suspected.

        `how` is NO_ANSWER, CONNECTION_RESET or REFUSED.
        """
        now = self._clock.now()
        if how == NO_ANSWER and now - member.last_answer_at <= _RECENT_ANSWER_US:
            return
        member.refuses_connections = how == REFUSED
        member.failures = min(member.failures + 1, _MAX_COUNTED_FAILURES)
        member.avoided_until = now + min(_AVOID_US << (member.failures - 1), _MAX_AVOID_US)
        leadership = self.leadership
        if leadership is None or leadership.primary != member.name or leadership.phase is _FAILOVER:
            return
        self._proxy.core_connection.suspect(self.name, member.name, how)

    def note_position(self, attempt: Attempt, position: Position) -> None:
        """Records the log position in a reply that only a primary that leads can have sent."""
        self.read_clock.note_position(
            attempt.leadership_key, attempt.started, attempt.started_us, position
        )

    def primary_is_lost(self, route: Route, deadline: int) -> bool:
        """Returns whether the primary has been unavailable for too long to wait for it."""
        stuck = self.leadership is not None and self.leadership.stuck
        if not stuck and self._unreachable_us() <= _PRIMARY_LOST_AFTER_US:
            return False
        return self._clock.now() > deadline - route.timeout_us + route.aim_us // 5

    def _unreachable_us(self) -> int:
        """Returns the time since a failing primary's last answer in microseconds, else 0."""
        member = self.members.get(self.leadership.primary) if self.leadership is not None else None
        if member is None or not member.failures or not member.last_answer_at:
            return 0
        return self._clock.now() - member.last_answer_at

    async def _open(self, member: Member, tenant: str = "") -> MemberConnection:
        """Opens a connection to the member, for statements of `tenant`."""
        try:
            connection = await self._proxy.wire.open(
                member.address, self.name, member.name, _OPEN_LIMIT_US, tenant
            )
        except MemberReplaced:
            member.avoided_until = self._clock.now() + _AVOID_REPLACED_US
            raise
        except NotSent as fault:
            self.note_failure(member, fault.note)
            raise
        except (DeadlineExceeded, Unreachable):
            self.note_failure(member, NO_ANSWER)
            raise
        self.note_answer(member)
        return connection

    async def status(self, member: Member) -> dict[str, Any]:
        """Requests the member's status row, on a connection that all such requests share."""
        connection = member.status_connection
        if connection is None or connection.lost:
            connection = await self._open_status_connection(member)
        member.note_asked(self._clock.now())
        try:
            row = await self._clock.wait_for(
                connection.send_command("status"), self._proxy.bounds().join_us // 2
            )
        except (DeadlineExceeded, Unreachable):
            connection.close()
            self.note_failure(member, NO_ANSWER)
            raise
        self.note_answer(member)
        return row

    async def _open_status_connection(self, member: Member) -> MemberConnection:
        """Opens the connection for STATUS; requests that come meanwhile wait for the same one."""
        if member.status_opening is None:
            member.status_opening = self._proxy.tasks.spawn(self._store_status_connection(member))
        if member.status_opening is None:
            raise Unreachable("the proxy stops")
        return await asyncio.shield(member.status_opening)

    async def _store_status_connection(self, member: Member) -> MemberConnection:
        try:
            connection = await self._open(member)
        finally:
            member.status_opening = None
        member.status_connection = connection
        if self.members.get(member.name) is not member:
            connection.close()
        return connection

    async def _fetch(self, leadership_key: tuple[int, str]) -> Position:
        """Requests the primary's position; if it does not answer, derives one from the others."""
        primary = self.members.get(leadership_key[1])
        if self.leadership_key != leadership_key:
            raise Unreachable("no primary to ask")
        if primary is None or self.proofs.is_unresponsive(primary):
            return await self.proofs.position_from_others(leadership_key[1])
        try:
            row = await self.status(primary)
        except Fault:
            return await self.proofs.position_from_others(leadership_key[1])
        if row["role"] != "primary":
            self._proxy.core_connection.suspect(self.name, primary.name, NOT_PRIMARY)
            raise Unreachable("not the primary")
        position: Position = row["pos"]
        return position

    def close(self) -> None:
        """Closes the group after it was removed from the configuration."""
        for member in self.members.values():
            member.close()
        self.read_clock.set_leadership(None)

    async def roll_back_connection(
        self, connection: MemberConnection, member: Member, number: str
    ) -> None:
        """Rolls back the transaction on a connection, with the number of the client's ROLLBACK.

        The connection returns to the pool if that succeeds in time, else it is closed.
        """
        try:
            reply = await self._clock.wait_for(
                connection.send_session_statement("rollback", (), number), _ROLLBACK_LIMIT_US
            )
            clean = reply.state == "I"
        except Fault:
            clean = False
        if clean:
            member.pool.release(connection)
        else:
            member.pool.discard(connection)

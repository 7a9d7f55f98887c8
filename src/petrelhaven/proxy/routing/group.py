"""One database group as a proxy sees it: its leadership, its members, its read clock."""

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
    from petrelhaven.proxy.routing.base import ProxyServices
    from petrelhaven.proxy.routing.route import Route

__all__ = ["MemberGroup"]

_SERVING, _FAILOVER = LeadershipPhase.SERVING, LeadershipPhase.FAILOVER

_DOWN_US = 250_000
_DOWN_MOST_US = 2_000_000
_FAILURES_MOST = 4
_MEMBER_GONE_US = 5_000_000
_OPEN_US = 450_000
_RECENTLY_HEARD_US = 350_000
_ROLLBACK_US = 500_000
_UNREACHABLE_US = 4_000_000
_NEVER_US = 1 << 60

_CONNECTION_CAP = 40
_RESERVED_CONNECTIONS = 4
_FEWEST_PROXIES = 3
_SPARE_CONNECTIONS = 2

_RETRIES = 10.0
_RETRIES_MOST = 20.0
_RETRIES_EARNED = 0.1


class MemberGroup:
    """Follows the leadership and the members of one group.

    Attributes:
        name: Its name.
        members: The members that are not gone, by name.
        leadership: Who leads the group, or None while that is not known.
        leading: (number of its first record, primary), also while it moves; the read clock's pairs
            belong to it.
        connection_cap: How many connections all proxies together may have to one member.
        sync_replicas: How many replicas have a commit before it is acknowledged.
        size: The most members that the group has had.
        strong_sessions: How many sessions have a route with strong reads.
        lower_bound: A log position that no acknowledged commit of departed members is beyond.
        read_clock: Gives reads their positions.
        proofs: Proves commits and positions by other members than the primary.
    """

    def __init__(self, name: str, proxy: ProxyServices) -> None:
        """Makes a group of `proxy` that knows no members yet."""
        self.name = name
        self._proxy = proxy
        self._clock = proxy.clock
        self.members: dict[str, Member] = {}
        self.leadership: Leadership | None = None
        self.leading: tuple[int, str] | None = None
        self.connection_cap = _CONNECTION_CAP
        self.sync_replicas = self.size = self.strong_sessions = 0
        self.lower_bound: Position = NO_POSITION
        self.read_clock = ReadClock(
            proxy.clock, proxy.tasks, proxy.order, self._fetch, proxy.bounds
        )
        self.proofs = MemberProofs(self, proxy)
        self._next_leadership: asyncio.Future[None] | None = None
        self._retries = _RETRIES

    @property
    def primary(self) -> Member | None:
        """The primary, or None while the leadership moves or is not known."""
        now = self.leadership
        if now is None or now.phase is _FAILOVER:
            return None
        return self.members.get(now.primary)

    @property
    def leased_primary(self) -> Member | None:
        """The primary that certainly leads, for this proxy holds a lease; else None.

        It is asked right before a send, with no await in between. A proxy without a lease gets
        positions by STATUS instead of carried fetches, see `read_placement`.
        """
        now = self.leadership
        if now is None or now.phase is not _SERVING or not self._proxy.core_connection.holds_lease:
            return None
        return self.members.get(now.primary)

    def available_primary(self) -> Member | None:
        """The primary, if a statement that begins anew may go to it now."""
        member = self.primary
        if member is None or not self.serves(member) or member.down_until > self._clock.now():
            return None
        return member

    def serves(self, member: Member) -> bool:
        """Whether statements that begin anew may go to the primary `member` now."""
        return member.stop_at is None or self._clock.now() < member.stop_at

    def apply(self, control_state: ControlState, fresh: bool) -> None:
        """Takes the leadership, the members and the zones as the control state has them.

        `fresh` tells that the whole state was handed over: how old its changes are is not known.
        """
        rows = control_state.group_members(self.name)
        self.size = control_state.doc["sizes"].get(self.name, 0)
        self.lower_bound = control_state.evidence(self.name).lower_bound
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
        proxies = max(self._proxy.core_connection.proxy_count, _FEWEST_PROXIES)
        share = (self.connection_cap - _RESERVED_CONNECTIONS) // proxies - 1
        member.pool.max_size = max(1, share)
        draining = member.state == "draining"
        evacuated = control_state.zone_state(member.zone) != "open"
        if not draining and not evacuated:
            member.stop_at = None
        elif member.stop_at is None:
            bound_us = min(
                self._proxy.drain_us if draining else _NEVER_US,
                self._proxy.empty_us if evacuated else _NEVER_US,
            )
            member.stop_at = self._clock.now() + (0 if fresh else bound_us)

    def _new_member(self, name: str, row: dict[str, Any]) -> Member:
        proxy = self._proxy
        proxy.outside_contact.expect(proxy.zone_distance(row["hall"]))
        pool = ConnectionPool(
            self._clock,
            proxy.tasks,
            lambda tenant: self._open(member, tenant),
            1,
            lambda: self.strong_sessions + _SPARE_CONNECTIONS,
        )
        log_progress = LogProgress(self._clock, proxy.tasks, None)
        log_progress.log = (0, 0)
        member = Member(name, row, proxy.zone_distance(row["hall"]), pool, log_progress)
        return member

    def _apply_leadership(self, now: Leadership | None) -> None:
        self.leadership = now
        self.leading = (now.since, now.primary) if now is not None else None
        self.read_clock.set_leading(self.leading)
        primary = self.primary
        if primary is not None and now is not None and now.phase is _SERVING:
            primary.down_until = primary.failures = 0
        waiter, self._next_leadership = self._next_leadership, None
        if waiter is not None:
            waiter.set_result(None)

    def next_leadership(self) -> asyncio.Future[None]:
        """A future that is done at the next change of the leadership.

        All who wait share one future.
        """
        if self._next_leadership is None:
            self._next_leadership = asyncio.get_running_loop().create_future()
        return self._next_leadership

    def pick(self, position: Position, excluded: Collection[str]) -> Member | None:
        """The member for a read: one that is up, has `position`, is not full, and is near."""
        now = self._clock.now()
        primary = self.leadership.primary if self.leadership is not None else None
        best: Member | None = None
        best_cost: tuple[Any, ...] = ()
        for name, member in self.members.items():
            if name in excluded:
                continue
            stop_at = member.stop_at
            if stop_at is not None and (name != primary or now >= stop_at):
                continue
            cost = (
                member.down_until > now,
                member.slow_until > now and member.log_progress.log < position,
                member.in_flight >= max(2, member.capacity - 1),
                member.distance,
                name == primary and member.distance > 0,
                member.in_flight,
                name,
            )
            if best is None or cost < best_cost:
                best, best_cost = member, cost
        return best

    def spend_retry(self) -> bool:
        """Whether a retry is within the budget of this group; it is spent then."""
        if self._retries < 1:
            return False
        self._retries -= 1
        return True

    def earn_retry(self) -> None:
        """A request came: a tenth of a retry is earned."""
        self._retries = min(_RETRIES_MOST, self._retries + _RETRIES_EARNED)

    def note_answer(self, member: Member, position: Position | None = None) -> None:
        """The member has answered, its log at `position`."""
        member.note_answer(self._clock.now())
        self._proxy.outside_contact.note(member.distance)
        if position is not None:
            member.note_log(position)

    def note_failure(self, member: Member, how: str) -> None:
        """The member did not answer: it is avoided for a while, and a primary is suspected.

        `how` is NO_ANSWER, CONNECTION_RESET or REFUSED.
        """
        now = self._clock.now()
        if how == NO_ANSWER and now - member.last_heard <= _RECENTLY_HEARD_US:
            return
        member.refuses = how == REFUSED
        member.failures = min(member.failures + 1, _FAILURES_MOST)
        member.down_until = now + min(_DOWN_US << (member.failures - 1), _DOWN_MOST_US)
        leadership = self.leadership
        if leadership is None or leadership.primary != member.name or leadership.phase is _FAILOVER:
            return
        self._proxy.core_connection.suspect(self.name, member.name, how)

    def note_position(self, attempt: Attempt, position: Position) -> None:
        """A statement that only a leading primary answers came back with its log at `position`."""
        self.read_clock.note_position(
            attempt.leadership, attempt.started, attempt.started_us, position
        )

    def primary_is_lost(self, route: Route, end: int) -> bool:
        """Whether the primary has been away too long to be waited for."""
        stuck = self.leadership is not None and self.leadership.stuck
        if not stuck and self._unreachable_us() <= _UNREACHABLE_US:
            return False
        return self._clock.now() > end - route.timeout_us + route.aim_us // 5

    def _unreachable_us(self) -> int:
        """Microseconds since the primary last answered here, if it fails now."""
        member = self.members.get(self.leadership.primary) if self.leadership is not None else None
        if member is None or not member.failures or not member.last_heard:
            return 0
        return self._clock.now() - member.last_heard

    async def _open(self, member: Member, tenant: str = "") -> MemberConnection:
        """A new connection to the member, for statements of `tenant`."""
        try:
            connection = await self._proxy.wire.open(
                member.address, self.name, member.name, _OPEN_US, tenant
            )
        except MemberReplaced:
            member.down_until = self._clock.now() + _MEMBER_GONE_US
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
        """The member's row, asked on a connection of its own."""
        if member.status_connection is None or member.status_connection.lost:
            member.status_connection = await self._open(member)
        member.note_asked(self._clock.now())
        try:
            row = await self._clock.limit(
                member.status_connection.send_system_verb("status"),
                self._proxy.bounds().join_us // 2,
            )
        except (DeadlineExceeded, Unreachable):
            member.status_connection.close()
            self.note_failure(member, NO_ANSWER)
            raise
        self.note_answer(member)
        return row

    async def _fetch(self, leading: tuple[int, str]) -> Position:
        """The primary's position; where it does not answer, what all others together prove."""
        primary = self.members.get(leading[1])
        if self.leading != leading:
            raise Unreachable("no primary to ask")
        if primary is None or self.proofs.is_silent(primary):
            return await self.proofs.position_of_others(leading[1])
        try:
            row = await self.status(primary)
        except Fault:
            return await self.proofs.position_of_others(leading[1])
        if row["role"] != "primary":
            self._proxy.core_connection.suspect(self.name, primary.name, NOT_PRIMARY)
            raise Unreachable("not the primary")
        position: Position = row["pos"]
        return position

    def close(self) -> None:
        """The group left the configuration."""
        for member in self.members.values():
            member.close()
        self.read_clock.set_leading(None)

    async def settle(self, connection: MemberConnection, member: Member, number: str) -> None:
        """Rolls a connection back as its client asked, under the ROLLBACK's number.

        It goes back to the pool if that works in time.
        """
        try:
            reply = await self._clock.limit(connection.plain("rollback", (), number), _ROLLBACK_US)
            clean = reply.state == "I"
        except Fault:
            clean = False
        if clean:
            member.pool.release(connection)
        else:
            member.pool.discard(connection)

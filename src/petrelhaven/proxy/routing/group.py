"""One database group as a proxy sees it: its leadership, its members, its read clock."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from typing import TYPE_CHECKING, Any

from petrelhaven.control.failover.evidence import NO_POSITION
from petrelhaven.proxy.pool.connection_pool import ConnectionPool
from petrelhaven.proxy.reads.log_progress import LogProgress
from petrelhaven.proxy.reads.read_clock import ReadClock
from petrelhaven.proxy.routing.leadership import Leadership
from petrelhaven.proxy.routing.member import Member
from petrelhaven.proxy.routing.member_proofs import MemberProofs
from petrelhaven.runtime.errors import DeadlineExceeded, Fault, MemberReplaced, NotSent, Unreachable

if TYPE_CHECKING:
    from petrelhaven.control.state.control_state import ControlState
    from petrelhaven.proxy.node import ProxyNode
    from petrelhaven.proxy.pool.member_connection import MemberConnection
    from petrelhaven.proxy.reads.position import Position
    from petrelhaven.proxy.routing.attempt import Attempt
    from petrelhaven.proxy.routing.route import Route

__all__ = ["MemberGroup"]

_DOWN_US = 250_000
_DOWN_MOST_US = 2_000_000
_FAILURES_MOST = 4
_MEMBER_GONE_US = 5_000_000
_OPEN_US = 450_000
_RECENTLY_HEARD_US = 350_000
_ROLLBACK_US = 500_000
_DARK_US = 4_000_000
_NEVER_US = 1 << 60

_CONNECTION_CAP = 40
_RESERVED_CONNECTIONS = 4
_FEWEST_PROXIES = 3
_SPARE_CONNECTIONS = 2

_SECOND_TRIES = 10.0
_SECOND_TRIES_MOST = 20.0
_SECOND_TRIES_EARNED = 0.1


class MemberGroup:
    """Follows the leadership and the members of one group.

    `leading` is (number, primary) of the leadership, also while it moves; the read clock's pairs
    belong to it. `connection_cap` bounds the connections that all proxies hold to one member,
    `sync_replicas` is how many replicas have a commit before it is acknowledged, `size` the most
    members the group has had, and `strong_sessions` counts sessions whose route reads strongly.
    """

    def __init__(self, name: str, proxy: ProxyNode) -> None:
        """Makes a group that knows no members yet."""
        self.name = name
        self._proxy = proxy
        self._clock = proxy.clock
        self.members: dict[str, Member] = {}
        self.leadership: Leadership | None = None
        self.leading: tuple[int, str] | None = None
        self._leadership_record: dict[str, Any] | None = None
        self.connection_cap = _CONNECTION_CAP
        self.sync_replicas = self.size = self.strong_sessions = 0
        self.floor: Position = NO_POSITION
        self.read_clock = ReadClock(
            proxy.clock, proxy.tasks, proxy.order, self._fetch, proxy.bounds
        )
        self.proofs = MemberProofs(self, proxy)
        self._turned: asyncio.Future[None] | None = None
        self._second_tries = _SECOND_TRIES

    @property
    def primary(self) -> Member | None:
        """The primary that serves, or None."""
        now = self.leadership
        if now is None or now.phase == "move":
            return None
        return self.members.get(now.primary)

    @property
    def sure(self) -> Member | None:
        """The primary that leads under this proxy's lease, or None; asked right before a send."""
        now = self.leadership
        if now is None or now.phase != "serve" or not self._proxy.core_connection.holds:
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

    def turn(self, control_state: ControlState, fresh: bool) -> None:
        """Takes the leadership, the members and the zones as the control state has them.

        `fresh` tells that the whole state was handed over: how old its changes are is not known.
        """
        rows = control_state.group(self.name)
        self.size = control_state.doc["sizes"].get(self.name, 0)
        self.floor = control_state.evidence(self.name).lower_bound
        for name, row in rows.items():
            self._turn_member(name, row, control_state, fresh)
        for name in [name for name in self.members if name not in rows]:
            self.members.pop(name).close()
        record = control_state.doc["offices"].get(self.name)
        if record != self._leadership_record:
            self._turn_leadership(record)

    def _turn_member(
        self, name: str, row: dict[str, Any], control_state: ControlState, fresh: bool
    ) -> None:
        member = self.members.get(name)
        if member is not None and member.address != row["addr"]:
            member.pool.close()
            member = None
        if member is None:
            member = self.members[name] = self._new_member(name, row)
        member.state = row["state"]
        proxies = max(self._proxy.core_connection.edges, _FEWEST_PROXIES)
        share = (self.connection_cap - _RESERVED_CONNECTIONS) // proxies - 1
        member.pool.most = max(1, share)
        draining = member.state == "draining"
        evacuated = control_state.zone(member.zone) != "open"
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
        proxy.outside_contact.expect(proxy.near(row["hall"]))
        pool = ConnectionPool(
            self._clock,
            proxy.tasks,
            lambda: self._open(member),
            1,
            lambda: self.strong_sessions + _SPARE_CONNECTIONS,
        )
        log_progress = LogProgress(self._clock, proxy.tasks, None)
        log_progress.log = (0, 0)
        member = Member(name, row, proxy.near(row["hall"]), pool, log_progress)
        return member

    def _turn_leadership(self, record: dict[str, Any] | None) -> None:
        self._leadership_record = record
        now = Leadership.from_record(record) if record is not None else None
        self.leadership = now
        self.leading = (now.number, now.primary) if now is not None else None
        self.read_clock.turn(self.leading)
        primary = self.primary
        if primary is not None and self.leadership.phase == "serve":
            primary.down_until = primary.failures = 0
        turned, self._turned = self._turned, None
        if turned is not None:
            turned.set_result(None)

    def turned(self) -> asyncio.Future[None]:
        """A future that is done at the next change of the leadership."""
        if self._turned is None:
            self._turned = asyncio.get_running_loop().create_future()
        return self._turned

    def pick(self, position: Position, excluded: Collection[str]) -> Member | None:
        """The member for a read: well, near, not full; one known to hold `position` first."""
        now = self._clock.now()
        primary = self.leadership.primary if self.leadership is not None else None
        best = best_cost = None
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

    def spend(self) -> bool:
        """Whether a second try is within the budget of this group."""
        if self._second_tries < 1:
            return False
        self._second_tries -= 1
        return True

    def earn(self) -> None:
        """A request came: a tenth of a second try is earned."""
        self._second_tries = min(_SECOND_TRIES_MOST, self._second_tries + _SECOND_TRIES_EARNED)

    def fine(self, member: Member, position: Position | None = None) -> None:
        """The member has answered, its log at `position`."""
        member.note_answer(self._clock.now())
        self._proxy.outside_contact.note(member.distance)
        if position is not None:
            member.note_log(position)

    def missed(self, member: Member, how: str) -> None:
        """The member did not answer (`mute`, `reset`, `refused`); a primary is suspected."""
        now = self._clock.now()
        if how == "mute" and now - member.last_heard <= _RECENTLY_HEARD_US:
            return
        member.refuses = how == "refused"
        member.failures = min(member.failures + 1, _FAILURES_MOST)
        member.down_until = now + min(_DOWN_US << (member.failures - 1), _DOWN_MOST_US)
        leadership = self.leadership
        if leadership is None or leadership.primary != member.name or leadership.phase == "move":
            return
        self._proxy.core_connection.suspect(self.name, member.name, how)

    def note_position(self, attempt: Attempt, position: Position) -> None:
        """A statement that only a leading primary answers came back with its log at `position`."""
        self.read_clock.noted(attempt.leadership, attempt.started, attempt.started_us, position)

    def hopeless(self, route: Route, end: int) -> bool:
        """Whether the primary has been away too long to be waited for."""
        stuck = self.leadership is not None and self.leadership.stuck
        if not stuck and self._dark_us() <= _DARK_US:
            return False
        return self._clock.now() > end - route.timeout_us + route.aim_us // 5

    def _dark_us(self) -> int:
        """Microseconds since the primary last answered here, if it fails now."""
        member = self.members.get(self.leadership.primary) if self.leadership is not None else None
        if member is None or not member.failures or not member.last_heard:
            return 0
        return self._clock.now() - member.last_heard

    async def _open(self, member: Member) -> MemberConnection:
        """A new connection to the member."""
        try:
            connection = await self._proxy.wire.open(
                member.address, self.name, member.name, _OPEN_US
            )
        except MemberReplaced:
            member.down_until = self._clock.now() + _MEMBER_GONE_US
            raise
        except NotSent as fault:
            self.missed(member, fault.note)
            raise
        except (DeadlineExceeded, Unreachable):
            self.missed(member, "mute")
            raise
        self.fine(member)
        return connection

    async def status(self, member: Member) -> dict[str, Any]:
        """The member's row, asked on a connection of its own."""
        if member.status_connection is None or member.status_connection.lost:
            member.status_connection = await self._open(member)
        member.note_asked(self._clock.now())
        try:
            row = await self._clock.limit(
                member.status_connection.own("status"), self._proxy.bounds().join_us // 2
            )
        except (DeadlineExceeded, Unreachable):
            member.status_connection.close()
            self.missed(member, "mute")
            raise
        self.fine(member)
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
            self._proxy.core_connection.suspect(self.name, primary.name, "replica")
            raise Unreachable("not the primary")
        return row["pos"]

    def close(self) -> None:
        """The group left the configuration."""
        for member in self.members.values():
            member.close()
        self.read_clock.turn(None)

    async def settle(self, connection: MemberConnection, member: Member, number: str) -> None:
        """Rolls a connection back at its client's word; keeps it if that works in time."""
        try:
            reply = await self._clock.limit(connection.plain("rollback", (), number), _ROLLBACK_US)
            clean = reply.state == "I"
        except Fault:
            clean = False
        if clean:
            member.pool.give(connection)
        else:
            member.pool.drop(connection)

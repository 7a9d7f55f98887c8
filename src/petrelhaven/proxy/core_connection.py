"""A proxy's core connection: the control state as it is pushed, and the lease that comes with it.

A proxy keeps a connection to the nearest control node that a majority confirms. Over it come the
records of the control state, numbered, and every quarter of a second the renewal of a lease. The
rules of that lease are in docs/notes/core-connections-and-leases.md.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from petrelhaven.control.state.control_state import ControlState
from petrelhaven.runtime.errors import Fault, NotSent
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.proxy_messages import (
    LeaseAnswer,
    LeaseRenewal,
    StatePush,
    StateReceipt,
    Suspicion,
)

if TYPE_CHECKING:
    import logbook

    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.channel import Channel
    from petrelhaven.transport.link import Link

__all__ = ["CoreConnection", "StateListener"]

StateListener = Callable[[list[dict[str, Any]], bool], None]
"""Called with the records just applied, and whether a whole control state was taken over."""

_RENEWAL_PERIOD_US = 250_000
_RENEWAL_LIMIT_US = 450_000
_RENEWAL_RETRY_US = 200_000
_RENEWALS_MISSED_MOST = 2
_RECENT_CONFIRMATION_US = 600_000
_UNCONFIRMED_MOST_US = 3_000_000

_OPEN_LIMIT_US = 1_000_000
_FIRST_OPEN_LIMIT_US = 250_000
_HOLD_LIMIT_US = 800_000

_UNREACHABLE_PAUSE_US = 1_500_000
_FIRST_UNREACHABLE_PAUSE_US = 250_000
_DECLINED_PAUSE_US = 150_000
_LOST_PAUSE_US = 100_000
_NOBODY_PAUSE_US = 100_000

_SUSPICION_PERIOD_US = 250_000
_UNKNOWN_DISTANCE = 9
_NOTHING_APPLIED = -1
_NEVER_US = -(1 << 60)


class RenewalFollowUp(Protocol):
    """Something that asks the control node for more at each renewal of the lease."""

    async def ask(self, channel: Channel) -> None:
        """Asks the control node behind `channel`."""


@dataclass(frozen=True, slots=True)
class _PendingLease:
    """A lease that counts once the proxy has applied record `required_seq`."""

    required_seq: int
    asked_at: int
    lease_us: int
    confirmation_age_us: int


class CoreConnection:
    """Follows the control state, renews the lease and reports primaries that fail.

    Attributes:
        name: The proxy's name.
        seeds: Addresses of control nodes to begin with.
        control_state: The control state as far as it has been pushed.
        joined: Whether a control state has been received at all.
        view_number: The number of the newest known view of control nodes.
        control_nodes: The distance of each control node of that view, by its address.
        proxy_count: How many proxies are connected to control nodes, as last reported.
        lease_until: When the lease ends, in microseconds of the proxy's clock.
        on_change: Called after each change of the control state or of `proxy_count`.
        true_time: What asks for the time agreed on, while an embargo needs it.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (what a node gives to each of its parts)
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        link: Link,
        rng: random.Random,
        name: str,
        seeds: list[str],
        zone_distance: Callable[[str], int],
        log: logbook.Logger | None = None,
    ) -> None:
        """Serves pushes on `link`; `start` connects.

        Args:
            clock: Monotonic time.
            tasks: Where the connection's tasks run.
            link: Opens channels to control nodes.
            rng: Chooses among control nodes at the same distance.
            name: The proxy's name.
            seeds: Addresses of control nodes to begin with.
            zone_distance: How far a zone is, 0 the proxy's own.
            log: Where events go.
        """
        self.clock, self.tasks, self.link, self.rng, self.log = clock, tasks, link, rng, log
        self.name, self.seeds, self._zone_distance = name, seeds, zone_distance
        self.control_state = ControlState()
        self.has_control_state = False
        self.view_number = 0
        self.control_nodes: dict[str, int] = {}
        self.proxy_count = 0
        self.on_change: list[StateListener] = []
        self.lease_until = 0
        self._confirmed_at = _NEVER_US
        self.true_time: RenewalFollowUp | None = None
        self._pending_lease: _PendingLease | None = None
        self._avoid_until: dict[str, int] = {}
        self._next_report_at: dict[str, int] = {}
        self._channel: Channel | None = None
        link.on(MessageKind.PROXY_PUSH, self._apply_push)
        link.on(MessageKind.PROXY_SNAPSHOT, self._send_snapshot)

    def start(self) -> None:
        """Starts the task that keeps the connection."""
        self.tasks.spawn(self._run())

    @property
    def holds_lease(self) -> bool:
        """Whether this proxy holds a lease; to be asked right before a send.

        While it does, what it has applied is the newest control state in force.
        """
        return self.clock.now() < self.lease_until

    @property
    def lease_confirmed(self) -> bool:
        """Whether the lease holds, and a majority of control nodes was reached a moment ago.

        A lease outlives the contact that brought it; what came to be known since the last renewal,
        such as a new replica of a group, may be known to nobody in reach.
        """
        confirmed_us = self.clock.now() - self._confirmed_at
        return self.holds_lease and confirmed_us <= _RECENT_CONFIRMATION_US

    def _extend_lease(self, asked_at: int, lease_us: int, confirmation_age_us: int) -> None:
        """Takes a lease of `lease_us` asked for at `asked_at`.

        The control node had been confirmed by a majority `confirmation_age_us` before it answered.
        """
        self.lease_until = max(self.lease_until, asked_at + lease_us)
        self._confirmed_at = max(self._confirmed_at, asked_at - confirmation_age_us)

    def _is_avoided(self, address: str) -> bool:
        return self._avoid_until.get(address, 0) > self.clock.now()

    def _nearest(self) -> str | None:
        """The address of a control node to connect to, or None if all are avoided for now."""
        distances = dict(self.control_nodes)
        for address in self.seeds:
            distances.setdefault(address, _UNKNOWN_DISTANCE)
        usable = sorted(address for address in distances if not self._is_avoided(address))
        if not usable:
            return None
        least = min(distances[address] for address in usable)
        return self.rng.choice([address for address in usable if distances[address] == least])

    def _nearer_is_usable(self, address: str) -> bool:
        """Whether a control node nearer than `address` may be connected to again."""
        distance = self.control_nodes.get(address, _UNKNOWN_DISTANCE)
        return any(
            other_distance < distance and not self._is_avoided(other)
            for other, other_distance in self.control_nodes.items()
        )

    async def _run(self) -> None:
        """Connects to one control node after the other, for as long as the proxy runs."""
        while True:
            address = self._nearest()
            if address is None:
                await self.clock.sleep(_NOBODY_PAUSE_US)
                continue
            channel = await self._open(address)
            if channel is None:
                continue
            try:
                await self._follow(address, channel)
            except Fault:
                pass
            finally:
                self._channel = None
                channel.close()
            avoid_until = self.clock.now() + _LOST_PAUSE_US
            self._avoid_until[address] = max(self._avoid_until.get(address, 0), avoid_until)

    async def _open(self, address: str) -> Channel | None:
        """A channel to a control node; None if it could not be reached."""
        limit_us = _OPEN_LIMIT_US if self.has_control_state else _FIRST_OPEN_LIMIT_US
        try:
            return await self.clock.limit(self.link.open(address), limit_us)
        except Fault:
            pause_us = (
                _UNREACHABLE_PAUSE_US if self.has_control_state else _FIRST_UNREACHABLE_PAUSE_US
            )
            self._avoid_until[address] = self.clock.now() + pause_us
            return None

    async def _follow(self, address: str, channel: Channel) -> None:
        """Has the control state pushed over `channel`, and renews the lease until that fails."""
        applied_seq = self.control_state.seq if self.has_control_state else _NOTHING_APPLIED
        hold = {"edge": self.name, "inc": 0, "applied": applied_seq}
        answer = await channel.call(MessageKind.PROXY_CONNECT, hold, _HOLD_LIMIT_US)
        if not answer["ok"]:
            self._avoid_until[address] = self.clock.now() + _DECLINED_PAUSE_US
            return
        self._channel = channel
        emit(self.log, Events.CONTROL_NODE_CONNECTED, core=address)
        missed, granted_at = 0, self.clock.now()
        while not channel.gone.done():
            try:
                granted = await self._renew_lease()
                if self.true_time is not None:
                    self.tasks.spawn(self.true_time.ask(channel))
                missed = 0
                granted_at = self.clock.now() if granted else granted_at
            except Fault:
                missed += 1
            ungranted_us = self.clock.now() - granted_at
            if missed >= _RENEWALS_MISSED_MOST or ungranted_us > _UNCONFIRMED_MOST_US:
                emit(self.log, Events.CONTROL_NODE_LOST, core=address)
                self._avoid_until[address] = self.clock.now() + _UNREACHABLE_PAUSE_US
                return
            if self._nearer_is_usable(address):
                return
            pause_us = _RENEWAL_RETRY_US if missed else _RENEWAL_PERIOD_US
            await asyncio.wait([channel.gone], timeout=pause_us / 1e6)

    async def _renew_lease(self, suspicions: tuple[Suspicion, ...] = ()) -> bool:
        """Asks for a lease and reports suspicions; whether a lease was granted."""
        channel = self._channel
        if channel is None:
            return False
        asked_at = self.clock.now()
        renewal = LeaseRenewal(self.name, self.control_state.seq, self.view_number, suspicions)
        body = await channel.call(MessageKind.LEASE_RENEW, renewal.to_body(), _RENEWAL_LIMIT_US)
        answer = LeaseAnswer.from_body(body)
        self._take_fleet(answer)
        if answer.granted:
            self._take_lease(answer, asked_at)
        return answer.granted

    def _take_fleet(self, answer: LeaseAnswer) -> None:
        """Takes what an answer says of the other proxies and of the control nodes."""
        if answer.proxy_count != self.proxy_count:
            self.proxy_count = answer.proxy_count
            self._notify([], False)
        if answer.control_nodes:
            self.view_number = answer.view_number
            self.control_nodes = {
                node.address: self._zone_distance(node.zone) for node in answer.control_nodes
            }

    def _take_lease(self, answer: LeaseAnswer, asked_at: int) -> None:
        """Takes a lease, at once or when its control state has been applied."""
        if self.control_state.seq >= answer.required_seq:
            self._extend_lease(asked_at, answer.lease_us, answer.confirmation_age_us)
        else:
            self._pending_lease = _PendingLease(
                answer.required_seq, asked_at, answer.lease_us, answer.confirmation_age_us
            )

    def _take_pending_lease(self) -> None:
        pending = self._pending_lease
        if pending is not None and self.control_state.seq >= pending.required_seq:
            self._extend_lease(pending.asked_at, pending.lease_us, pending.confirmation_age_us)
            self._pending_lease = None

    async def call(self, kind: str, body: dict[str, Any], us: int) -> dict[str, Any]:
        """Asks the control node that this proxy is connected to.

        Args:
            kind: One of `MessageKind`.
            body: The fields of the request.
            us: How long the answer may take, in microseconds.

        Raises:
            NotSent: There is no connection.
            Fault: What became of the call otherwise.
        """
        if self._channel is None:
            raise NotSent("no control node is connected")
        return await self._channel.call(kind, body, us)

    @property
    def state_age_us(self) -> int:
        """How old what is known here of the control state may be, in microseconds."""
        return self.clock.now() - self._confirmed_at

    def suspect(self, group: str, member: str, how: str) -> None:
        """Reports that a primary seems lost, at most every quarter of a second for a group.

        Args:
            group: The group.
            member: The name of its primary.
            how: The sign of it, one of the constants of `routing/member`.
        """
        now = self.clock.now()
        if self._next_report_at.get(group, 0) > now or self._channel is None:
            return
        self._next_report_at[group] = now + _SUSPICION_PERIOD_US
        emit(self.log, Events.PRIMARY_SUSPECTED, group=group, member=member, how=how)
        self.tasks.spawn(self._renew_lease((Suspicion(group, member, how),)))

    def _notify(self, records: list[dict[str, Any]], is_snapshot: bool) -> None:
        for listener in self.on_change:
            listener(records, is_snapshot)

    async def _send_snapshot(self, _channel: Channel, _body: dict[str, Any]) -> dict[str, Any]:
        """Answers `edge.frame`: the control state as this proxy has it, for a reform."""
        return {"frame": self.control_state.snapshot() if self.has_control_state else None}

    async def _apply_push(self, channel: Channel, body: dict[str, Any]) -> dict[str, Any]:
        """Answers `edge.push`: applies a snapshot and records that are newer than what is known."""
        if self._channel is not None and channel is not self._channel:
            channel.close()
            return StateReceipt(self.control_state.seq).to_body()
        push = StatePush.from_body(body)
        is_snapshot = self._apply_snapshot(push.snapshot)
        records = self._apply_records(push.records)
        if is_snapshot or records:
            self._notify(records, is_snapshot)
        self._take_pending_lease()
        return StateReceipt(self.control_state.seq).to_body()

    def _apply_snapshot(self, snapshot: dict[str, Any] | None) -> bool:
        """Takes a whole control state over; whether it was newer."""
        if snapshot is None or (
            self.has_control_state and snapshot["seq"] <= self.control_state.seq
        ):
            return False
        self.control_state = ControlState(snapshot)
        self.has_control_state = True
        return True

    def _apply_records(self, records: list[tuple[int, dict[str, Any]]]) -> list[dict[str, Any]]:
        """Applies the records that follow the control state; which those are."""
        applied = []
        for seq, record in records:
            if seq == self.control_state.seq + 1:
                self.control_state.apply(seq, record)
                applied.append(record)
        return applied

"""A proxy's core connection: receives the control state and renews the proxy's lease.

A proxy stays connected to the nearest control node that a majority confirms. The control node
pushes the numbered records of the control state over this connection, and the proxy renews its
lease every quarter of a second. docs/notes/core-connections-and-leases.md has the rules of the
lease.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from petrelhaven.control.state.control_state import ControlState
from petrelhaven.proxy.control_node_dialer import ConnectLimits, ControlNodeDialer
from petrelhaven.proxy.control_node_search import ControlNodeSearch
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
"""Called with the records just applied, and whether a snapshot replaced the control state."""

_RENEWAL_PERIOD_US = 250_000
_RENEWAL_TIMEOUT_US = 450_000
_RENEWAL_RETRY_DELAY_US = 200_000
_MAX_MISSED_RENEWALS = 2
_MAX_CONFIRMATION_AGE_US = 600_000
_MAX_TIME_WITHOUT_GRANT_US = 3_000_000

_SUBSCRIBE_TIMEOUT_US = 800_000

# How long a control node is avoided after a failure.
_UNREACHABLE_BACKOFF_US = 1_500_000
_DECLINED_BACKOFF_US = 150_000
_DISCONNECTED_BACKOFF_US = 100_000

# Until the first control state arrives, connecting times out and is retried sooner.
_FIRST_CONNECT_LIMITS = ConnectLimits(timeout_us=250_000, backoff_us=250_000)
_CONNECT_LIMITS = ConnectLimits(timeout_us=1_000_000, backoff_us=_UNREACHABLE_BACKOFF_US)

_SUSPICION_PERIOD_US = 250_000
_NO_RECORD_APPLIED = -1
_NEVER_US = -(1 << 60)


class RenewalFollowUp(Protocol):
    """A further request to the control node after each renewal of the lease."""

    async def ask(self, channel: Channel) -> None:
        """Sends the request over `channel`."""


@dataclass(frozen=True, slots=True)
class _PendingLease:
    """A granted lease that takes effect once the proxy has applied record `required_seq`."""

    required_seq: int
    asked_at: int
    lease_us: int
    confirmation_age_us: int


def _loss_cause(missed_renewals: int, without_grant_us: int) -> str:
    """Returns why a connected control node counts as lost, or an empty string."""
    if missed_renewals >= _MAX_MISSED_RENEWALS:
        return "no answer to renewals"
    if without_grant_us > _MAX_TIME_WITHOUT_GRANT_US:
        return "no lease granted"
    return ""


class CoreConnection:
    """Receives the control state, renews the lease and reports suspected primaries.

    Attributes:
        name: The proxy's name.
        search: The known addresses of control nodes, and which of them is tried next.
        control_state: The control state as of the last applied push.
        has_control_state: Whether a control state has been received.
        proxy_count: The last reported number of proxies connected to control nodes.
        lease_until: When the lease expires, in microseconds of the proxy's clock.
        on_change: Listeners, called after each change of the control state or of `proxy_count`.
        true_time: Requests the agreed time after each renewal; None while no embargo needs it.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (dependencies that the program or the simulator injects)
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
        """Registers the handlers of pushes on `link`; `start` connects.

        Args:
            clock: Monotonic clock in microseconds.
            tasks: Runs the connection's background tasks.
            link: Opens channels to control nodes.
            rng: Selects among control nodes at the same distance.
            name: The proxy's name.
            seeds: Addresses of control nodes for the first connection.
            zone_distance: Returns the distance of a zone; 0 is the proxy's own zone.
            log: Receives events of the connection.
        """
        self.clock, self.tasks, self.link, self.log = clock, tasks, link, log
        self.name = name
        self.search = ControlNodeSearch(clock, rng, seeds, zone_distance, log)
        self._dialer = ControlNodeDialer(clock, tasks, link, self.search)
        self.control_state = ControlState()
        self.has_control_state = False
        self.proxy_count = 0
        self.on_change: list[StateListener] = []
        self.lease_until = 0
        self._confirmed_at = _NEVER_US
        self.true_time: RenewalFollowUp | None = None
        self._pending_lease: _PendingLease | None = None
        self._next_report_at: dict[str, int] = {}
        self._channel: Channel | None = None
        link.on(MessageKind.PROXY_PUSH, self._apply_push)
        link.on(MessageKind.PROXY_SNAPSHOT, self._send_snapshot)

    def start(self) -> None:
        """Starts the task that connects, and reconnects after a failure."""
        self.tasks.spawn_service(self._run)

    @property
    def holds_lease(self) -> bool:
        """Whether this proxy holds a lease; check it immediately before each send.

        While the proxy holds a lease, its control state is the newest one in force.
        """
        return self.clock.now() < self.lease_until

    @property
    def lease_confirmed(self) -> bool:
        """Whether this proxy holds a lease and a majority recently confirmed its control node.

        A lease stays valid after contact with the control nodes is lost. Changes since the last
        renewal, such as a new replica of a group, may then have reached no node that this proxy
        can contact.
        """
        confirmation_age_us = self.clock.now() - self._confirmed_at
        return self.holds_lease and confirmation_age_us <= _MAX_CONFIRMATION_AGE_US

    def _extend_lease(self, asked_at: int, lease_us: int, confirmation_age_us: int) -> None:
        """Applies a lease of `lease_us`, which begins when it was requested at `asked_at`.

        A majority had confirmed the control node `confirmation_age_us` before it answered.
        """
        self.lease_until = max(self.lease_until, asked_at + lease_us)
        self._confirmed_at = max(self._confirmed_at, asked_at - confirmation_age_us)

    async def _run(self) -> None:
        """Keeps the proxy connected to a control node, for as long as the proxy runs."""
        while True:
            limits = _CONNECT_LIMITS if self.has_control_state else _FIRST_CONNECT_LIMITS
            address, channel = await self._dialer.open_channel(limits)
            try:
                await self._serve_channel(address, channel)
            except Fault:
                pass
            finally:
                self._channel = None
                channel.close()
            self.search.avoid(address, _DISCONNECTED_BACKOFF_US)
            self.search.start()

    async def _serve_channel(self, address: str, channel: Channel) -> None:
        """Subscribes to the control state over `channel` and renews the lease until that fails.

        Also returns when a nearer control node is usable again.
        """
        applied_seq = self.control_state.seq if self.has_control_state else _NO_RECORD_APPLIED
        subscription = {"edge": self.name, "inc": 0, "applied": applied_seq}
        answer = await channel.call(MessageKind.PROXY_CONNECT, subscription, _SUBSCRIBE_TIMEOUT_US)
        if not answer["ok"]:
            self.search.avoid(address, _DECLINED_BACKOFF_US)
            return
        self._channel = channel
        emit(self.log, Events.CONTROL_NODE_CONNECTED, core=address)
        missed_renewals, granted_at = 0, self.clock.now()
        while not channel.gone.done():
            try:
                granted = await self._renew_lease()
                if self.true_time is not None:
                    self.tasks.spawn(self.true_time.ask(channel))
                missed_renewals = 0
                granted_at = self.clock.now() if granted else granted_at
            except Fault:
                missed_renewals += 1
            cause = _loss_cause(missed_renewals, self.clock.now() - granted_at)
            if cause:
                emit(self.log, Events.CONTROL_NODE_LOST, core=address, cause=cause)
                self.search.avoid(address, _UNREACHABLE_BACKOFF_US)
                return
            if self.search.has_nearer(address):
                return
            pause_us = _RENEWAL_RETRY_DELAY_US if missed_renewals else _RENEWAL_PERIOD_US
            await asyncio.wait([channel.gone], timeout=pause_us / 1e6)

    async def _renew_lease(self, suspicions: tuple[Suspicion, ...] = ()) -> bool:
        """Requests a lease and reports suspicions; returns whether the lease was granted."""
        channel = self._channel
        if channel is None:
            return False
        asked_at = self.clock.now()
        view_number = self.search.view_number
        renewal = LeaseRenewal(self.name, self.control_state.seq, view_number, suspicions)
        body = await channel.call(MessageKind.LEASE_RENEW, renewal.to_body(), _RENEWAL_TIMEOUT_US)
        answer = LeaseAnswer.from_body(body)
        self._update_nodes(answer)
        if answer.granted:
            self.search.finish()
            self._apply_lease(answer, asked_at)
        return answer.granted

    def _update_nodes(self, answer: LeaseAnswer) -> None:
        """Updates the number of proxies and the control nodes from an answer."""
        if answer.proxy_count != self.proxy_count:
            self.proxy_count = answer.proxy_count
            self._notify([], False)
        if answer.control_nodes:
            self.search.update(answer.view_number, answer.control_nodes)

    def _apply_lease(self, answer: LeaseAnswer, asked_at: int) -> None:
        """Applies a lease, at once or when the records that it requires have been applied."""
        if self.control_state.seq >= answer.required_seq:
            self._extend_lease(asked_at, answer.lease_us, answer.confirmation_age_us)
        else:
            self._pending_lease = _PendingLease(
                answer.required_seq, asked_at, answer.lease_us, answer.confirmation_age_us
            )

    def _apply_pending_lease(self) -> None:
        pending = self._pending_lease
        if pending is not None and self.control_state.seq >= pending.required_seq:
            self._extend_lease(pending.asked_at, pending.lease_us, pending.confirmation_age_us)
            self._pending_lease = None

    async def call(self, kind: str, body: dict[str, Any], us: int) -> dict[str, Any]:
        """Sends a request to the connected control node and returns its answer.

        Args:
            kind: One of `MessageKind`.
            body: The fields of the request.
            us: The timeout in microseconds.

        Raises:
            NotSent: No control node is connected.
            Fault: The call failed.
        """
        if self._channel is None:
            raise NotSent("no control node is connected")
        return await self._channel.call(kind, body, us)

    @property
    def state_age_us(self) -> int:
        """The maximum age of this proxy's control state, in microseconds."""
        return self.clock.now() - self._confirmed_at

    def suspect(self, group: str, member: str, how: str) -> None:
        """Reports a suspected primary, at most every quarter of a second for each group.

        Args:
            group: The name of the member group.
            member: The name of its primary.
            how: The symptom, one of the constants of `routing/member`.
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
        """Handles `edge.frame`: returns this proxy's control state, for a reform."""
        return {"frame": self.control_state.snapshot() if self.has_control_state else None}

    async def _apply_push(self, channel: Channel, body: dict[str, Any]) -> dict[str, Any]:
        """Handles `edge.push`: applies the snapshot and records that are newer than its state."""
        if self._channel is not None and channel is not self._channel:
            channel.close()
            return StateReceipt(self.control_state.seq).to_body()
        push = StatePush.from_body(body)
        is_snapshot = self._apply_snapshot(push.snapshot)
        records = self._apply_records(push.records)
        if is_snapshot or records:
            self._notify(records, is_snapshot)
        self._apply_pending_lease()
        return StateReceipt(self.control_state.seq).to_body()

    def _apply_snapshot(self, snapshot: dict[str, Any] | None) -> bool:
        """Replaces the control state by `snapshot`; returns whether the snapshot was newer."""
        if snapshot is None or (
            self.has_control_state and snapshot["seq"] <= self.control_state.seq
        ):
            return False
        self.control_state = ControlState(snapshot)
        self.has_control_state = True
        return True

    def _apply_records(self, records: list[tuple[int, dict[str, Any]]]) -> list[dict[str, Any]]:
        """Applies the records that follow the control state in sequence, and returns them."""
        applied = []
        for seq, record in records:
            if seq == self.control_state.seq + 1:
                self.control_state.apply(seq, record)
                applied.append(record)
        return applied

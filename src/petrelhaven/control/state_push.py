"""Pushes committed records to the proxies that are connected to this control node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from petrelhaven.runtime.errors import Fault
from petrelhaven.transport.lease_messages import (
    NumberedRecord,
    PushReceipt,
    StateSubscription,
    SubscriptionAnswer,
    push_body,
)
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from petrelhaven.control.consensus.chain import Chain
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.channel import Channel

__all__ = ["ChangeSignal", "StatePusher"]

_PUSH_US = 1_000_000
_UNCOMMITTED_PAUSE_US = 20_000
_MOST_RECORDS = 200

Acknowledge = Callable[[str, int], None]
Condense = Callable[[list[NumberedRecord]], list[NumberedRecord]]


class ChangeSignal:
    """Wakes all that wait for the next change; who waits takes `event` before it checks."""

    __slots__ = ("event",)

    def __init__(self) -> None:
        """Starts without a change."""
        self.event = asyncio.Event()

    def wake(self) -> None:
        """Something has changed."""
        event, self.event = self.event, asyncio.Event()
        event.set()


class StatePusher:
    """One task for each connection that a proxy subscribed over."""

    def __init__(  # noqa: PLR0913, PLR0917 (the lease table assembles it)
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        chain: Chain,
        changed: ChangeSignal,
        acknowledge: Acknowledge,
        condense: Condense,
    ) -> None:
        """Tells `acknowledge` what proxies answer; `condense` leaves out what needn't be sent."""
        self._clock, self._tasks, self._chain = clock, tasks, chain
        self._changed, self._acknowledge, self._condense = changed, acknowledge, condense
        self._pushes: dict[Channel, asyncio.Task[None]] = {}

    async def subscribe(self, channel: Channel, body: Mapping[str, Any]) -> dict[str, Any]:
        """Answers `edge.hold`: pushes records over `channel` from now on.

        Connections may be heard in another order than they were opened in. Each has pushes of its
        own, which end with it, and the proxy closes those that it doesn't need.
        """
        if not self._chain.is_complete:
            return SubscriptionAnswer(False, "not in the chain").to_body()
        old = self._pushes.pop(channel, None)
        if old:
            old.cancel()
        subscription = StateSubscription.from_body(body)
        task = self._tasks.spawn(
            self._push_all(channel, subscription.proxy, subscription.applied_seq)
        )
        if task is not None:
            self._pushes[channel] = task
            task.add_done_callback(lambda _: self._forget(channel, task))
        return SubscriptionAnswer(True).to_body()

    def _forget(self, channel: Channel, task: asyncio.Task[None]) -> None:
        if self._pushes.get(channel) is task:
            del self._pushes[channel]

    async def _push_all(self, channel: Channel, proxy: str, applied: int) -> None:
        """Pushes until the connection ends; closes it where this node can't go on."""
        while not channel.gone.done():
            event = self._changed.event
            if not self._chain.is_complete:
                channel.close()
                return
            if applied >= 0 and applied >= self._chain.committed_seq:
                await self._wait(channel, event)
                continue
            body = self._next_body(applied)
            if body is None:
                await self._clock.sleep(_UNCOMMITTED_PAUSE_US)
                continue
            try:
                answer = await channel.call(MessageKind.PROXY_PUSH, body, _PUSH_US)
            except Fault:
                channel.close()
                return
            receipt = PushReceipt.from_body(answer)
            applied = receipt.applied_seq
            self._acknowledge(proxy, receipt.acknowledged_seq)
            self._changed.wake()

    def _next_body(self, applied: int) -> dict[str, Any] | None:
        """What follows record `applied`; None if that is a snapshot with uncommitted records."""
        commit, control_state = self._chain.committed_seq, self._chain.control_state
        rows = self._chain.store.records_since(applied) if applied >= 0 else None
        if rows is None or applied == 0:
            if commit != control_state.seq:
                return None
            return push_body(control_state.snapshot(), [], commit)
        committed = [(seq, record) for seq, _, record in rows if seq <= commit]
        return push_body(None, self._condense(committed[:_MOST_RECORDS]), commit)

    @staticmethod
    async def _wait(channel: Channel, event: asyncio.Event) -> None:
        """Waits for a change, or for the end of the connection."""
        change = asyncio.ensure_future(event.wait())
        try:
            await asyncio.wait([change, channel.gone], return_when=asyncio.FIRST_COMPLETED)
        finally:
            change.cancel()

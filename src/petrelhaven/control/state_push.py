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

_PUSH_TIMEOUT_US = 1_000_000
_UNCOMMITTED_RETRY_US = 20_000
_MAX_RECORDS_PER_PUSH = 200

Acknowledge = Callable[[str, int], None]
Condense = Callable[[list[NumberedRecord]], list[NumberedRecord]]


class ChangeSignal:
    """Wakes all tasks that wait for the next change.

    A task reads `event` before it checks its condition, so that it misses no change.

    Attributes:
        event: Set by the next change.
    """

    __slots__ = ("event",)

    def __init__(self) -> None:
        """Starts with an event that isn't set."""
        self.event = asyncio.Event()

    def wake(self) -> None:
        """Wakes the waiting tasks."""
        event, self.event = self.event, asyncio.Event()
        event.set()


class StatePusher:
    """Runs one task for each connection over which a proxy has subscribed."""

    def __init__(  # noqa: PLR0913, PLR0917 (parts of one node)
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        chain: Chain,
        changed: ChangeSignal,
        acknowledge: Acknowledge,
        condense: Condense,
    ) -> None:
        """Uses the parts of a control node.

        Args:
            clock: The node's clock.
            tasks: Runs the push tasks.
            chain: The source of the records.
            changed: Wakes the push tasks.
            acknowledge: Called with a proxy and the number of the record that it has acknowledged.
            condense: Removes content that proxies don't need from the records of a push.
        """
        self._clock, self._tasks, self._chain = clock, tasks, chain
        self._changed, self._acknowledge, self._condense = changed, acknowledge, condense
        self._push_tasks: dict[Channel, asyncio.Task[None]] = {}

    async def subscribe(self, channel: Channel, body: Mapping[str, Any]) -> dict[str, Any]:
        """Handles `edge.hold`: pushes records over `channel` from now on.

        Subscriptions of one proxy may arrive in another order than it opened its connections. So
        each connection has its own push task, and the proxy closes the connections that it doesn't
        need.
        """
        if not self._chain.is_complete:
            return SubscriptionAnswer(False, "not in the chain").to_body()
        previous = self._push_tasks.pop(channel, None)
        if previous:
            previous.cancel()
        subscription = StateSubscription.from_body(body)
        task = self._tasks.spawn(
            self._push_records(channel, subscription.proxy, subscription.applied_seq)
        )
        if task is not None:
            self._push_tasks[channel] = task
            task.add_done_callback(lambda _: self._remove_task(channel, task))
        return SubscriptionAnswer(True).to_body()

    def _remove_task(self, channel: Channel, task: asyncio.Task[None]) -> None:
        """Closes the connection too: the proxy would wait for records that nobody pushes."""
        if self._push_tasks.get(channel) is task:
            del self._push_tasks[channel]
            channel.close()

    async def _push_records(self, channel: Channel, proxy: str, applied_seq: int) -> None:
        """Pushes until the connection ends.

        Closes the connection if this node leaves the chain or a push fails.
        """
        while not channel.gone.done():
            event = self._changed.event
            if not self._chain.is_complete:
                channel.close()
                return
            if applied_seq >= 0 and applied_seq >= self._chain.committed_seq:
                await self._wait_for_change(channel, event)
                continue
            body = self._next_body(applied_seq)
            if body is None:
                await self._clock.sleep(_UNCOMMITTED_RETRY_US)
                continue
            try:
                answer = await channel.call(MessageKind.PROXY_PUSH, body, _PUSH_TIMEOUT_US)
            except Fault:
                channel.close()
                return
            receipt = PushReceipt.from_body(answer)
            applied_seq = receipt.applied_seq
            self._acknowledge(proxy, receipt.acknowledged_seq)
            self._changed.wake()

    def _next_body(self, applied_seq: int) -> dict[str, Any] | None:
        """Returns the next push after record `applied_seq`.

        Returns None if a snapshot is needed while the control state has uncommitted records.
        """
        commit, control_state = self._chain.committed_seq, self._chain.control_state
        rows = self._chain.store.records_since(applied_seq) if applied_seq >= 0 else None
        if rows is None or applied_seq == 0:
            if commit != control_state.seq:
                return None
            return push_body(control_state.snapshot(), [], commit)
        committed = [(seq, record) for seq, _, record in rows if seq <= commit]
        return push_body(None, self._condense(committed[:_MAX_RECORDS_PER_PUSH]), commit)

    @staticmethod
    async def _wait_for_change(channel: Channel, event: asyncio.Event) -> None:
        """Waits until a change or the end of the connection."""
        change = asyncio.ensure_future(event.wait())
        try:
            await asyncio.wait([change, channel.gone], return_when=asyncio.FIRST_COMPLETED)
        finally:
            change.cancel()

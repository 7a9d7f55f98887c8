"""Feeds the successor in the chain: what it lacks first, then each new record."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

from petrelhaven.control.consensus.chain_messages import AppendAnswer, AppendRequest
from petrelhaven.runtime.errors import Fault, ViewSuperseded
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from petrelhaven.control.consensus.view import View
    from petrelhaven.control.storage.core_store import CoreStore
    from petrelhaven.runtime.clock import Clock

__all__ = ["SuccessorFeed"]

_RECORDS_A_REQUEST = 100
_APPEND_TIMEOUT_US = 1_500_000
_INCOMPLETE_RETRY_US = 40_000
_SUPERSEDED_RETRY_US = 100_000
_FAULT_RETRY_US = 60_000


class FeedingChain(Protocol):
    """The sender's place in the chain, as the feed uses it."""

    clock: Clock
    store: CoreStore
    view: View | None
    new_records: asyncio.Event

    @property
    def is_complete(self) -> bool:
        """Whether the sender holds everything that was committed before its view."""

    @property
    def control_state(self) -> Any:  # noqa: ANN401 (of either way of sessions)
        """The control state as the sender holds it."""

    def call(
        self, name: str, kind: str, body: Mapping[str, Any], timeout_us: int, /
    ) -> Awaitable[dict[str, Any]]:
        """Calls another control node."""

    def advance_commit(self, seq: int) -> None:
        """Takes note that everything up to `seq` is committed."""


class SuccessorFeed:
    """Sends records down the chain as long as the chain's view is `view`."""

    def __init__(self, chain: FeedingChain, view: View, successor: str) -> None:
        """Knows nothing of what `successor` holds yet."""
        self._chain, self._view, self._successor = chain, view, successor
        self._forget()

    def _forget(self) -> None:
        self._held: AppendAnswer | None = None
        self._complete_at: int | None = None

    async def run(self) -> None:
        """Feeds until the view changes; after a fault it asks anew what the successor holds."""
        chain = self._chain
        while chain.view is self._view:
            try:
                await self._step()
            except ViewSuperseded:
                self._forget()
                await chain.clock.sleep(_SUPERSEDED_RETRY_US)
            except Fault:
                self._forget()
                await chain.clock.sleep(_FAULT_RETRY_US)

    async def _step(self) -> None:
        chain = self._chain
        if not chain.is_complete:
            await chain.clock.sleep(_INCOMPLETE_RETRY_US)
            return
        request = self._next_request()
        if request is None:
            chain.new_records.clear()
            await chain.new_records.wait()
            return
        body = await chain.call(
            self._successor, MessageKind.CHAIN_APPEND, request.to_body(), _APPEND_TIMEOUT_US
        )
        self._held = AppendAnswer.from_body(body)
        if request.complete:
            committed = self._held.commit >= self._held.seq
            self._complete_at = self._held.seq if committed else None
            chain.advance_commit(min(self._held.commit, chain.control_state.seq))

    def _next_request(self) -> AppendRequest | None:
        """What to send next; None while the successor has everything and has committed it."""
        chain, held = self._chain, self._held
        number = self._view.number
        if held is None:
            return AppendRequest(number)
        records = chain.store.since(held.seq, held.entered_view)
        if records is None:
            return AppendRequest(
                number,
                previous=chain.control_state.seq,
                previous_view=chain.store.entered_view,
                snapshot=chain.control_state.snapshot(),
                complete=True,
            )
        if not records and held.seq == self._complete_at:
            return None
        return AppendRequest(
            number,
            previous=held.seq,
            previous_view=held.entered_view,
            records=records[:_RECORDS_A_REQUEST],
            complete=len(records) <= _RECORDS_A_REQUEST,
        )

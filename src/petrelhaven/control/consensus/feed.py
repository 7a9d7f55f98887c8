"""Sends records to the successor in the chain: first the missing ones, then each new record."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

from petrelhaven.control.consensus.chain_messages import AppendAnswer, AppendRequest
from petrelhaven.runtime.errors import Fault, ViewSuperseded
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from petrelhaven.control.consensus.view import View
    from petrelhaven.control.storage.node_store import ControlNodeStore
    from petrelhaven.runtime.clock import Clock

__all__ = ["SuccessorFeed"]

_MAX_RECORDS_PER_REQUEST = 100
_APPEND_TIMEOUT_US = 1_500_000
_INCOMPLETE_RETRY_US = 40_000
_SUPERSEDED_RETRY_US = 100_000
_FAULT_RETRY_US = 60_000


class FeedingChain(Protocol):
    """The chain of the sending node, as the feed uses it."""

    clock: Clock
    store: ControlNodeStore
    view: View | None
    new_records: asyncio.Event

    @property
    def is_complete(self) -> bool:
        """Whether the sender has all records that were committed before its view."""

    @property
    def control_state(self) -> Any:  # noqa: ANN401 (the type depends on the kind of sessions)
        """The control state of the sender."""

    def call(
        self, name: str, kind: str, body: Mapping[str, Any], timeout_us: int, /
    ) -> Awaitable[dict[str, Any]]:
        """Calls another control node."""

    def advance_commit(self, seq: int) -> None:
        """Records that all records up to `seq` are committed."""


class SuccessorFeed:
    """Sends records to the successor while `view` is the view of the chain."""

    def __init__(self, chain: FeedingChain, view: View, successor: str) -> None:
        """Creates a feed that first asks which record `successor` has stored last."""
        self._chain, self._view, self._successor = chain, view, successor
        self._reset_progress()

    def _reset_progress(self) -> None:
        self._progress: AppendAnswer | None = None
        self._completed_seq: int | None = None

    async def run(self) -> None:
        """Sends records until the view changes. After a fault, asks for the progress again."""
        chain = self._chain
        while chain.view is self._view:
            try:
                await self._send_next()
            except ViewSuperseded:
                self._reset_progress()
                await chain.clock.sleep(_SUPERSEDED_RETRY_US)
            except Fault:
                self._reset_progress()
                await chain.clock.sleep(_FAULT_RETRY_US)

    async def _send_next(self) -> None:
        """Sends one request, or waits until there is something to send."""
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
        self._progress = AppendAnswer.from_body(body)
        if request.complete:
            committed = self._progress.committed_seq >= self._progress.seq
            self._completed_seq = self._progress.seq if committed else None
            chain.advance_commit(min(self._progress.committed_seq, chain.control_state.seq))

    def _next_request(self) -> AppendRequest | None:
        """The next request, or None if the successor has committed all records."""
        chain, progress = self._chain, self._progress
        number = self._view.number
        if progress is None:
            return AppendRequest(number)
        records = chain.store.records_since(progress.seq, progress.appended_view)
        if records is None:
            return AppendRequest(
                number,
                previous=chain.control_state.seq,
                previous_view=chain.store.entered_view,
                snapshot=chain.control_state.snapshot(),
                complete=True,
            )
        if not records and progress.seq == self._completed_seq:
            return None
        return AppendRequest(
            number,
            previous=progress.seq,
            previous_view=progress.appended_view,
            records=records[:_MAX_RECORDS_PER_REQUEST],
            complete=len(records) <= _MAX_RECORDS_PER_REQUEST,
        )

"""The replication chain: the head appends records and the tail commits them.

Each node syncs a record to its disk before it sends the record to its successor.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any

from petrelhaven.control.consensus.chain_messages import AppendAnswer, AppendRequest
from petrelhaven.control.consensus.confirmation import Confirmation
from petrelhaven.control.consensus.feed import SuccessorFeed
from petrelhaven.control.consensus.former_views import former_views_expire_at
from petrelhaven.runtime.errors import (
    DeadlineExceeded,
    DiskRefused,
    NotHead,
    NotReady,
    ViewSuperseded,
)
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    import logbook

    from petrelhaven.control.consensus.node_report import NodeReport
    from petrelhaven.control.consensus.register import Call
    from petrelhaven.control.consensus.view import MemberDisks, View
    from petrelhaven.control.storage.node_store import ControlNodeStore
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.channel import Channel

__all__ = ["Chain", "CONFIRMATION_VALIDITY_US", "MAX_CLOCK_RATE_RATIO"]

CONFIRMATION_VALIDITY_US = 500_000
"""How long a node may act under a view after a majority confirmed the view."""

MAX_CLOCK_RATE_RATIO = 1.05
"""Upper bound on the ratio between the clock rates of two nodes."""

_CONFIRMATION_INTERVAL_US = 120_000
_COMMIT_WAIT_TIMEOUT_US = 150_000
_APPEND_TIMEOUT_US = 8_000_000
_ACTIVATION_POLL_INTERVAL_US = 30_000

_LOGGED_MEMBER_FIELDS = ("name", "group", "hall", "state", "role")


class Chain:
    """The part of one control node in the replication chain.

    Attributes:
        view: The newest view that this node has adopted.
        adopted_at_us: Clock time at which `view` was adopted.
        active_at_us: Clock time from which no node acts under an earlier view.
        committed_seq: Number of the newest record that this node knows to be committed.
        confirmation: Tracks whether a majority of the members still accepts `view`.
        new_records: Set when there is something to send to the successor.
        on_commit: Listeners that are called without arguments when `committed_seq` increases.
        on_view: Listeners that are called without arguments after a view is adopted.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (dependencies that the control node passes)
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        store: ControlNodeStore,
        call: Call,
        log: logbook.Logger | None = None,
        confirmation_validity_us: int = CONFIRMATION_VALIDITY_US,
        confirmation_interval_us: int = _CONFIRMATION_INTERVAL_US,
    ) -> None:
        """Creates a chain without a view.

        Args:
            clock: Monotonic clock of this node.
            tasks: Background tasks of this node.
            store: Stores the vote, the records and the control state.
            call: Calls another control node.
            log: Receives events.
            confirmation_validity_us: How long the confirmation by a majority is valid.
            confirmation_interval_us: How often the other members are asked to confirm the view.
        """
        self.clock, self.tasks, self.store, self.call, self.log = clock, tasks, store, call, log
        self.confirmation_validity_us = confirmation_validity_us
        self.view: View | None = None
        self.adopted_at_us = 0
        self.active_at_us = 0
        self.committed_seq = 0
        self.confirmation = Confirmation(
            clock,
            tasks,
            store,
            call,
            lambda: self.view,
            self.adopt,
            confirmation_validity_us,
            confirmation_interval_us,
        )
        self.new_records = asyncio.Event()
        self.on_commit: list[Callable[[], object]] = []
        self.on_view: list[Callable[[], object]] = []
        self._state_changed = asyncio.Event()
        self._append_lock = asyncio.Lock()
        self._feed_task: asyncio.Task[None] | None = None

    @property
    def node_name(self) -> str:
        """The name of this node."""
        return self.store.name

    @property
    def control_state(self) -> Any:  # noqa: ANN401 (the type depends on the kind of sessions)
        """The control state of this node, including records that are not committed."""
        return self.store.control_state

    def _position(self) -> int | None:
        """The index of this node in the chain, or None if the node is not in the chain."""
        return self.view.position(self.node_name, self.store.disk_id) if self.view else None

    @property
    def is_head(self) -> bool:
        """Whether this node is the head of the chain."""
        return self._position() == 0

    @property
    def is_tail(self) -> bool:
        """Whether this node is the tail of the chain."""
        return self.view is not None and self._position() == len(self.view.chain) - 1

    @property
    def is_complete(self) -> bool:
        """Whether this node has all records committed before its view and its disk takes writes."""
        return (
            self.view is not None
            and self.store.complete_view == self.view.number
            and self._position() is not None
            and not self.store.refuses_writes
        )

    @property
    def is_confirmed(self) -> bool:
        """Whether this node is complete and a majority has recently confirmed its view."""
        return self.is_complete and self.confirmation.is_recent

    @property
    def is_active(self) -> bool:
        """Whether this node is confirmed and no node can act under an earlier view."""
        return self.is_confirmed and self.clock.now() >= self.active_at_us

    @property
    def _max_validity_us(self) -> int:
        """The longest time for which any node's confirmation is valid, with clock drift."""
        return int(self.confirmation_validity_us * MAX_CLOCK_RATE_RATIO)

    # Views

    def adopt(self, view: View | None) -> None:
        """Adopts a decided view if it is newer than the current view."""
        if view is None or self.view and view.number <= self.view.number:
            return
        self._store_view(view)
        self.view = view
        self.confirmation.reset()
        self.adopted_at_us = self.clock.now()
        self.active_at_us = self.adopted_at_us + self._max_validity_us
        chain = ",".join(view.chain)
        emit(self.log, Events.VIEW_ADOPTED, n=view.number, chain=chain, cause=view.cause)
        self._feed_successor(view)
        for listener in self.on_view:
            listener()
        self.confirmation.request_confirmations()
        self._wake_waiters()
        self._commit_as_tail()

    def _store_view(self, view: View) -> None:
        """Stores the view as the accepted one, unless the node accepted a newer view."""
        accepted = self.store.vote["value"]
        newer = {} if accepted and accepted["n"] >= view.number else {"value": view.to_document()}
        complete_in = view.number if self._has_all_before(view) else None
        self.store.save_vote(done=complete_in, ids=dict(view.members), **newer)

    def _has_all_before(self, view: View) -> bool:
        """Whether this node has all records that were committed before `view` starts.

        This is true for the head of the view. It is also true for a node that was complete in the
        preceding view and remains in the chain, since every node of the preceding chain has all
        records that were committed there.
        """
        if view.position(self.node_name, self.store.disk_id) is None:
            return False
        return view.head == self.node_name or self.store.complete_view == view.number - 1

    def _feed_successor(self, view: View) -> None:
        """Replaces the task that sends records to the successor."""
        if self._feed_task:
            self._feed_task.cancel()
            self._feed_task = None
        position = self._position()
        successor = None if position is None else view.successor(position)
        if successor is not None:
            self._feed_task = self.tasks.spawn_service(SuccessorFeed(self, view, successor).run)

    def former_members(self) -> tuple[MemberDisks, ...] | None:
        """The members of each view that nodes may still act under when the next view is proposed.

        None if they are unknown.
        """
        if self.view is None:
            return None
        if self.clock.now() >= self.active_at_us:
            return (self.view.members,)
        former_members = self.view.former_members
        return None if former_members is None else (*former_members, self.view.members)

    def shorten_activation_wait(self, reports: Iterable[NodeReport], at_us: int) -> None:
        """Moves `active_at_us` forward if reports show that earlier views expire sooner.

        Args:
            reports: Reports that this node received after it adopted the view.
            at_us: Clock time by which all reports had been received.
        """
        if self.view is None:
            return
        expires_at = former_views_expire_at(self.view, reports, at_us, self._max_validity_us)
        if expires_at is not None:
            self.active_at_us = min(self.active_at_us, expires_at)

    # Commits

    def _wake_waiters(self) -> None:
        """Wakes the tasks that wait for a commit, so that they check their condition again."""
        changed, self._state_changed = self._state_changed, asyncio.Event()
        changed.set()

    def _commit_as_tail(self) -> None:
        """Commits all stored records if this node is the tail."""
        if self.is_tail and self.is_complete:
            self.advance_commit(self.control_state.seq)
        self.new_records.set()

    def advance_commit(self, seq: int) -> None:
        """Records that all records up to `seq` are committed."""
        if seq > self.committed_seq:
            self.committed_seq = seq
            self._wake_waiters()
            for listener in self.on_commit:
                listener()

    def holds_record(self, seq: int, view_number: int) -> bool:
        """Whether the stored record `seq` is the one that was appended in view `view_number`.

        The number alone does not identify a record: records that a head appended but could not
        commit are replaced by those of the next head.
        """
        if seq == self.control_state.seq:
            return bool(self.store.entered_view == view_number)
        return any(
            number == seq and appended_view == view_number
            for number, appended_view, _ in reversed(self.store.recent_records)
        )

    async def wait_committed(self, seq: int, view_number: int) -> None:
        """Waits until the record `seq` that was appended in view `view_number` is committed.

        Raises:
            NotReady: The record was replaced, or this node left the chain.
        """
        while True:
            if not self.holds_record(seq, view_number):
                raise NotReady("another record has this number; read back to see the outcome")
            if self.committed_seq >= seq:
                return
            if self._position() is None:
                raise NotReady("this node left the chain; read back to see the outcome")
            await self._state_changed.wait()

    async def _wait_for_commit(self, seq: int) -> None:
        while self.committed_seq < seq:
            await self._state_changed.wait()

    # Records

    async def append_record(
        self, record: dict[str, Any], timeout_us: int = _APPEND_TIMEOUT_US
    ) -> int:
        """Validates, numbers and commits a record, and returns its number.

        Raises:
            NotHead: This node is not the active head.
            NotReady: The view changed, and the outcome is unknown.
            DeadlineExceeded: The record was not committed in time. It may be committed later.
        """
        async with self._append_lock:
            if self.view is None or not (self.is_head and self.is_active):
                head = self.view.head if self.view else None
                raise NotHead("not the active head", details={"head": head})
            self.control_state.check(record)
            seq: int = self.control_state.seq + 1
            view_number = self.view.number
            self.store.append_record(seq, view_number, record)
            self.new_records.set()
            self._commit_as_tail()
        await self.clock.wait_for(self.wait_committed(seq, view_number), timeout_us)
        await self._wait_until_active(view_number)
        logged = _LOGGED_MEMBER_FIELDS if record["t"] == "member" else ()
        fields = {field: record[field] for field in logged if record.get(field)}
        emit(self.log, Events.RECORD_COMMITTED, seq=seq, kind=record["t"], **fields)
        return seq

    async def _wait_until_active(self, view_number: int) -> None:
        """Waits until this node may acknowledge a record that it appended in view `view_number`."""
        while not self.is_active:
            superseded = self.view is None or self.view.number != view_number
            if self.store.refuses_writes or superseded and not self.is_head:
                raise NotReady("the view changed; read back to see the outcome")
            await self.clock.sleep(_ACTIVATION_POLL_INTERVAL_US)

    def read_control_state(self) -> dict[str, Any]:
        """Returns the document of the control state. Only the active tail answers reads.

        Raises:
            NotReady: This node is not the active tail.
        """
        if not (self.is_tail and self.is_active):
            tail = self.view.tail if self.view else None
            raise NotReady("not the active tail", details={"tail": tail})
        document: dict[str, Any] = self.control_state.doc
        return document

    async def handle_append(
        self, _channel: Channel | None, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Handles a `chain.append` from the predecessor.

        If more records follow, answers at once. Otherwise waits for a short time until all records
        are committed.
        """
        request = AppendRequest.from_body(body)
        self._check_predecessor(request)
        if not request.only_asks:
            await self._append_from_predecessor(request)
        return AppendAnswer(
            self.control_state.seq, self.store.entered_view, self.committed_seq
        ).to_body()

    def _check_predecessor(self, request: AppendRequest) -> None:
        """Rejects a request from another view, or while the disk refuses writes."""
        number = self.view.number if self.view else 0
        if number != request.view_number or not self._position():
            raise ViewSuperseded(f"view {number}")
        if self.store.refuses_writes:
            raise DiskRefused("the disk of this control node refuses writes")

    async def _append_from_predecessor(self, request: AppendRequest) -> None:
        self._store_records(request)
        if request.complete:
            self.store.save_complete_view(request.view_number)
        seq = self.control_state.seq
        self._commit_as_tail()
        if not self.is_tail and request.complete:
            with contextlib.suppress(DeadlineExceeded):
                await self.clock.wait_for(self._wait_for_commit(seq), _COMMIT_WAIT_TIMEOUT_US)

    def _store_records(self, request: AppendRequest) -> None:
        """Stores the snapshot, or the records that directly follow the newest stored record.

        Other records are ignored: the answer names the newest stored record, and the predecessor
        continues from there. So is a snapshot whose newest record is stored already.
        """
        follows = (request.previous, request.previous_view) == (
            self.control_state.seq,
            self.store.entered_view,
        )
        if request.snapshot is not None:
            if not follows:
                self.store.reset(request.snapshot, request.previous_view)
                self._wake_waiters()
        elif follows:
            for seq, view_number, record in request.records:
                self.store.append_record(seq, view_number, record)

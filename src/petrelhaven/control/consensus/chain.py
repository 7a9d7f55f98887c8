"""The replication chain: records are entered at the head and committed at the tail.

Each node syncs a record to its disk before it sends it to its successor.
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
    from petrelhaven.control.storage.core_store import CoreStore
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.channel import Channel

__all__ = ["Chain", "CONFIRMATION_VALIDITY_US", "MAX_CLOCK_RATE_RATIO"]

CONFIRMATION_VALIDITY_US = 500_000
"""How long a majority's confirmation counts."""

MAX_CLOCK_RATE_RATIO = 1.05
"""How much faster one node's clock may run than another's."""

_ASK_US = 120_000
_COMMIT_WAIT_US = 150_000
_ENTER_TIMEOUT_US = 8_000_000
_ACTIVE_POLL_US = 30_000

_LOGGED_MEMBER_FIELDS = ("name", "group", "hall", "state", "role")


class Chain:
    """One node's place in the chain of its view.

    Attributes:
        view: The view adopted last.
        adopted: When it was adopted, in clock microseconds.
        active_at: From when no node acts under a former view any more.
        commit: The newest record that this node knows to be committed.
        confirmation: Whether a majority still accepts the view.
        new_records: Set when there is something new for the successor.
        on_commit: Called without arguments when `committed_seq` has risen.
        on_view: Called without arguments when a view was adopted.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (the node that it is part of gives each)
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        store: CoreStore,
        call: Call,
        log: logbook.Logger | None = None,
        confirm_us: int = CONFIRMATION_VALIDITY_US,
        ask_us: int = _ASK_US,
    ) -> None:
        """Replicates what `store` remembers; the other nodes are asked every `ask_us` by `call`."""
        self.clock, self.tasks, self.store, self.call, self.log = clock, tasks, store, call, log
        self.confirm_us = confirm_us
        self.view: View | None = None
        self.adopted_at_us = 0
        self.active_at_us = 0
        self.committed_seq = 0
        self.confirmation = Confirmation(
            clock, tasks, store, call, lambda: self.view, self.adopt, confirm_us, ask_us
        )
        self.new_records = asyncio.Event()
        self.on_commit: list[Callable[[], object]] = []
        self.on_view: list[Callable[[], object]] = []
        self._changed = asyncio.Event()
        self._lock = asyncio.Lock()
        self._feeder: asyncio.Task[None] | None = None

    @property
    def me(self) -> str:
        """The name of this node."""
        return self.store.name

    @property
    def control_state(self) -> Any:  # noqa: ANN401 (of either way of sessions)
        """The control state as this node holds it, committed or not."""
        return self.store.control_state

    def _position(self) -> int | None:
        """The place of this node in the chain, if it has one."""
        return self.view.position(self.me, self.store.disk) if self.view else None

    @property
    def is_head(self) -> bool:
        """Whether this node is the head."""
        return self._position() == 0

    @property
    def is_tail(self) -> bool:
        """Whether this node is the tail."""
        return self.view is not None and self._position() == len(self.view.chain) - 1

    @property
    def is_complete(self) -> bool:
        """Whether this node holds everything committed before its view, and takes writes."""
        return (
            self.view is not None
            and self.store.done == self.view.number
            and self._position() is not None
            and not self.store.refuses
        )

    @property
    def is_confirmed(self) -> bool:
        """In the current view, holding everything of it, confirmed by a majority lately."""
        return self.is_complete and self.confirmation.is_recent

    @property
    def is_active(self) -> bool:
        """Ruling, and no node acts under a former view any more."""
        return self.is_confirmed and self.clock.now() >= self.active_at_us

    @property
    def _wait_us(self) -> int:
        """How long a confirmation may count on any node's clock."""
        return int(self.confirm_us * MAX_CLOCK_RATE_RATIO)

    # Views

    def adopt(self, view: View | None) -> None:
        """Takes a decided view if it is newer."""
        if view is None or self.view and view.number <= self.view.number:
            return
        self._remember(view)
        self.view = view
        self.confirmation.reset()
        self.adopted_at_us = self.clock.now()
        self.active_at_us = self.adopted_at_us + self._wait_us
        chain = ",".join(view.chain)
        emit(self.log, Events.VIEW_ADOPTED, n=view.number, chain=chain, cause=view.cause)
        self._feed_successor(view)
        for listener in self.on_view:
            listener()
        self.confirmation.request_confirmations()
        self._wake()
        self._commit_as_tail()

    def _remember(self, view: View) -> None:
        accepted = self.store.vote["value"]
        newer = {} if accepted and accepted["n"] >= view.number else {"value": view.to_document()}
        complete_in = view.number if self._holds_all_of(view) else None
        self.store.put_vote(done=complete_in, ids=dict(view.members), **newer)

    def _holds_all_of(self, view: View) -> bool:
        """Whether this node holds all that is committed by the time `view` begins.

        The head of a view does, and so does a node that was complete in the view before and stays
        in the chain: what was committed there is on every node of that chain.
        """
        if view.position(self.me, self.store.disk) is None:
            return False
        return view.head == self.me or self.store.done == view.number - 1

    def _feed_successor(self, view: View) -> None:
        if self._feeder:
            self._feeder.cancel()
            self._feeder = None
        position = self._position()
        successor = None if position is None else view.successor(position)
        if successor is not None:
            self._feeder = self.tasks.spawn(SuccessorFeed(self, view, successor).run())

    def former_members(self) -> tuple[MemberDisks, ...] | None:
        """The members of each view that may be in force when the next is proposed.

        None where that is not known.
        """
        if self.view is None:
            return None
        if self.clock.now() >= self.active_at_us:
            return (self.view.members,)
        before = self.view.former_members
        return None if before is None else (*before, self.view.members)

    def shorten_activation_wait(self, reports: Iterable[NodeReport], at: int) -> None:
        """Ends the wait after a new view as soon as no node acts under a former one.

        `reports` came by the moment `at` or before, since the view was adopted.
        """
        if self.view is None:
            return
        expires_at = former_views_expire_at(self.view, reports, at, self._wait_us)
        if expires_at is not None:
            self.active_at_us = min(self.active_at_us, expires_at)

    # Commits

    def _wake(self) -> None:
        """Lets whoever waits for a commit check again."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _commit_as_tail(self) -> None:
        """At the tail, what is held is committed."""
        if self.is_tail and self.is_complete:
            self.advance_commit(self.control_state.seq)
        self.new_records.set()

    def advance_commit(self, seq: int) -> None:
        """Takes note that everything up to `seq` is committed."""
        if seq > self.committed_seq:
            self.committed_seq = seq
            self._wake()
            for listener in self.on_commit:
                listener()

    def holds_record(self, seq: int, view_number: int) -> bool:
        """Whether the record held here as number `seq` is the one that was entered in that view.

        A number alone names no record: what a head entered and could not commit is replaced by
        another head's records.
        """
        if seq == self.control_state.seq:
            return bool(self.store.entered_view == view_number)
        return any(
            number == seq and entered == view_number
            for number, entered, _ in reversed(self.store.recs)
        )

    async def wait_committed(self, seq: int, view_number: int) -> None:
        """Waits until the record `seq` that was entered in that view is committed here.

        Raises:
            NotReady: it may have been replaced.
        """
        while True:
            if not self.holds_record(seq, view_number):
                raise NotReady("another record took the number; read back to see the outcome")
            if self.committed_seq >= seq:
                return
            if self._position() is None:
                raise NotReady("not in the chain any more; read back to see the outcome")
            await self._changed.wait()

    async def _wait_for_commit(self, seq: int) -> None:
        while self.committed_seq < seq:
            await self._changed.wait()

    # Records

    async def append_record(
        self, record: dict[str, Any], timeout_us: int = _ENTER_TIMEOUT_US
    ) -> int:
        """Numbers, checks and commits a record; returns its number.

        Raises:
            NotHead: this node is not the active head.
            NotReady: the view changed, so that the outcome is not known.
            DeadlineExceeded: the record was not committed in time; it may be yet.
        """
        async with self._lock:
            if self.view is None or not (self.is_head and self.is_active):
                head = self.view.head if self.view else None
                raise NotHead("not the active head", details={"head": head})
            self.control_state.check(record)
            seq: int = self.control_state.seq + 1
            view_number = self.view.number
            self.store.put_rec(seq, view_number, record)
            self.new_records.set()
            self._commit_as_tail()
        await self.clock.limit(self.wait_committed(seq, view_number), timeout_us)
        await self._wait_active(view_number)
        logged = _LOGGED_MEMBER_FIELDS if record["t"] == "member" else ()
        fields = {field: record[field] for field in logged if record.get(field)}
        emit(self.log, Events.RECORD_COMMITTED, seq=seq, kind=record["t"], **fields)
        return seq

    async def _wait_active(self, view_number: int) -> None:
        """Waits until this node may confirm what it entered in that view."""
        while not self.is_active:
            superseded = self.view is None or self.view.number != view_number
            if self.store.refuses or superseded and not self.is_head:
                raise NotReady("the view changed; read back to see the outcome")
            await self.clock.sleep(_ACTIVE_POLL_US)

    def read_control_state(self) -> dict[str, Any]:
        """The document of the control state, answered only by the tail of the current view.

        Raises:
            NotReady: this node is not the active tail.
        """
        if not (self.is_tail and self.is_active):
            tail = self.view.tail if self.view else None
            raise NotReady("not the active tail", details={"tail": tail})
        document: dict[str, Any] = self.control_state.doc
        return document

    async def handle_append(
        self, _channel: Channel | None, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Takes records from the predecessor.

        Answers once all successors hold them, or after a moment with what is committed by then.
        """
        request = AppendRequest.from_body(body)
        self._check_predecessor(request)
        if not request.only_asks:
            await self._take(request)
        return AppendAnswer(
            self.control_state.seq, self.store.entered_view, self.committed_seq
        ).to_body()

    def _check_predecessor(self, request: AppendRequest) -> None:
        number = self.view.number if self.view else 0
        if number != request.view_number or not self._position():
            raise ViewSuperseded(f"view {number}")
        if self.store.refuses:
            raise DiskRefused("the disk of this core refuses writes")

    async def _take(self, request: AppendRequest) -> None:
        self._store(request)
        if request.complete:
            self.store.put_done(request.view_number)
        seq = self.control_state.seq
        self._commit_as_tail()
        if not self.is_tail and request.complete:
            with contextlib.suppress(DeadlineExceeded):
                await self.clock.limit(self._wait_for_commit(seq), _COMMIT_WAIT_US)

    def _store(self, request: AppendRequest) -> None:
        """Stores what fits; the predecessor goes on from what the answer says is held."""
        fits = (request.previous, request.previous_view) == (
            self.control_state.seq,
            self.store.entered_view,
        )
        if request.snapshot is not None:
            if not fits:
                self.store.reset(request.snapshot, request.previous_view)
                self._wake()
        elif fits:
            for seq, view_number, record in request.records:
                self.store.put_rec(seq, view_number, record)

"""Begins a transaction at a member, before its first statement is sent."""

from __future__ import annotations

import contextlib
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from petrelhaven.proxy.routing.attempt import Attempt
from petrelhaven.proxy.routing.member import NO_ANSWER, NOT_PRIMARY
from petrelhaven.proxy.routing.member_calls import note_fault
from petrelhaven.proxy.routing.waiting import wait_for_first
from petrelhaven.runtime.errors import Busy, DeadlineExceeded, Fault

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.position import Position
    from petrelhaven.proxy.routing.interfaces import Continuation, ProxyServices
    from petrelhaven.proxy.routing.member_calls import MemberCalls
    from petrelhaven.proxy.routing.read_placement import ReadPlacement
    from petrelhaven.proxy.routing.request import Request
    from petrelhaven.proxy.session.client_session import Transaction
    from petrelhaven.proxy.session.statement import Reply

__all__ = ["TransactionStart"]

_MAX_LEADERSHIP_WAIT_US = 100_000
_MAX_BEGIN_US = 600_000
_FIRST_PAUSE_US = 15_000
_MAX_FAULT_PAUSE_US = 200_000
_MAX_BUSY_PAUSE_US = 120_000
_MAX_NEW_PRIMARY_WAIT_US = 200_000


class _StartState:
    """The progress of beginning one transaction."""

    __slots__ = (
        "request",
        "transaction",
        "since",
        "excluded",
        "leadership_key",
        "position",
        "pause_us",
        "left_us",
    )

    def __init__(self, request: Request, transaction: Transaction) -> None:
        """Creates the state for beginning `transaction`."""
        self.request = request
        self.transaction = transaction
        self.since = request.oldest_usable_fetch(transaction.started_us)
        self.excluded: set[str] = set()
        self.leadership_key: tuple[int, str] | None = None
        self.position: Position | None = None
        self.pause_us = _FIRST_PAUSE_US
        self.left_us = 0

    def next_pause_us(self, max_us: int) -> int:
        """Returns the pause before the next round, and doubles the following one up to `max_us`."""
        pause_us = min(self.left_us, self.pause_us)
        self.pause_us = min(self.pause_us * 2, max_us)
        return pause_us


class TransactionStart:
    """Selects a member for a transaction and sends BEGIN to it."""

    def __init__(self, proxy: ProxyServices, calls: MemberCalls, placement: ReadPlacement) -> None:
        """Uses the clock, the tasks and the counters of `proxy`."""
        self._proxy = proxy
        self._clock = proxy.clock
        self._calls = calls
        self._placement = placement

    def run(self, request: Request, transaction: Transaction) -> Continuation[str | None]:
        """Begins the transaction at a member; returns None, or the reason if that failed."""
        state = _StartState(request, transaction)
        group = request.group
        while True:
            state.left_us = request.deadline - self._clock.now()
            if state.left_us <= 0 or self._is_primary_lost(state):
                return self._proxy.retry_after()
            if state.leadership_key != group.leadership_key:
                state.leadership_key, state.position = group.leadership_key, None
            if transaction.read_only:
                attempt = yield from self._read_attempt(state)
            else:
                attempt = yield from self._write_attempt(state)
            if attempt is None:
                continue
            attempt.task = self._proxy.tasks.spawn(  # type: ignore[assignment]  # the node runs
                self._send_begin(state, attempt)
            )
            with contextlib.suppress(DeadlineExceeded):
                yield wait_for_first(self._clock, [attempt.task], state.left_us)
            if not attempt.task.done():
                attempt.task.cancel()
                group.note_failure(attempt.member, NO_ANSWER)
                return self._proxy.retry_after()
            reply = yield from self._evaluate_reply(state, attempt)
            if reply is None:
                continue
            if reply.ok:
                return None
            reason = yield from self._handle_declined(state, attempt, reply)
            if reason is not None:
                return reason

    def _is_primary_lost(self, state: _StartState) -> bool:
        """Returns whether a primary is needed but has been unavailable for too long."""
        request = state.request
        if state.transaction.read_only or request.group.available_primary() is not None:
            return False
        return request.group.primary_is_lost(request.route, request.deadline)

    def _send_begin(self, state: _StartState, attempt: Attempt) -> Coroutine[Any, Any, Reply]:
        after = None if attempt.fetch else state.position
        limit_us = min(state.left_us, _MAX_BEGIN_US)
        return self._calls.begin(state.request, state.transaction, attempt, after, limit_us)

    def _read_attempt(self, state: _StartState) -> Continuation[Attempt | None]:
        """Returns an attempt for a read-only transaction, or None if the round must be repeated."""
        group, transaction = state.request.group, state.transaction
        if state.position is None:
            attempt = self._placement.start_piggybacked_attempt(
                group, transaction.arrival, state.since, state.excluded
            )
            if attempt is not None:
                return attempt
            state.position = yield from self._placement.fetch_position(
                group, transaction.arrival, state.since, state.left_us
            )
            if state.position is None or state.leadership_key != group.leadership_key:
                return None
        member = group.pick_member(state.position, state.excluded)
        if member is None:
            state.excluded.clear()
            yield wait_for_first(self._clock, (), state.next_pause_us(_MAX_BUSY_PAUSE_US))
            return None
        if self._placement.is_behind(member, state.position):
            yield from self._placement.join_lagging_wait(
                member, state.position, state.request.deadline
            )
            return None
        return Attempt(member, state.leadership_key)

    def _write_attempt(self, state: _StartState) -> Continuation[Attempt | None]:
        """Returns an attempt at the primary, or None after a wait if there is no primary."""
        group = state.request.group
        member = group.available_primary()
        if member is not None:
            return Attempt(member, state.leadership_key)
        yield wait_for_first(
            self._clock,
            [group.next_leadership_change()],
            min(state.left_us, _MAX_LEADERSHIP_WAIT_US),
        )
        return None

    def _evaluate_reply(self, state: _StartState, attempt: Attempt) -> Continuation[Reply | None]:
        """Returns the reply to BEGIN, or None after a pause if there was none."""
        group, task = state.request.group, attempt.task
        fault = Busy() if task.cancelled() else task.exception()
        if fault is not None:
            if not isinstance(fault, Fault):
                raise fault
            note_fault(group, attempt.member, fault)
            state.excluded.add(attempt.member.name)
            pause_us = state.next_pause_us(_MAX_FAULT_PAUSE_US)
            yield wait_for_first(self._clock, [group.next_leadership_change()], pause_us)
            return None
        reply = task.result()
        group.note_answer(attempt.member, reply.position)
        if reply.ok and not state.transaction.read_only and reply.position:
            group.note_position(attempt, reply.position)
        return reply

    def _handle_declined(
        self, state: _StartState, attempt: Attempt, reply: Reply
    ) -> Continuation[str | None]:
        """Handles a declined BEGIN; returns why the transaction ends, or None to retry."""
        group, member = state.request.group, attempt.member
        if reply.code == "lagging" and state.position is not None:
            self._proxy.count["lagging"] += 1
            if not (
                yield from self._placement.wait_after_lagging_reply(
                    member, state.position, state.request.deadline
                )
            ):
                state.excluded.add(member.name)
        elif reply.code in ("readonly", "misdirected"):
            self._proxy.core_connection.suspect(group.name, member.name, NOT_PRIMARY)
            yield wait_for_first(
                self._clock,
                [group.next_leadership_change()],
                min(state.left_us, _MAX_NEW_PRIMARY_WAIT_US),
            )
        elif reply.code in ("busy", "crowded", "failed"):
            self._proxy.count[reply.code] += 1
            if state.transaction.read_only:
                state.excluded.add(member.name)
            yield wait_for_first(self._clock, (), state.next_pause_us(_MAX_BUSY_PAUSE_US))
        else:
            return f"{reply.code} {reply.text}"
        return None

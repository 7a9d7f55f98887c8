"""Beginning a transaction at a member, before its first statement."""

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

_LEADERSHIP_WAIT_US = 100_000
_BEGIN_LIMIT_US = 600_000
_FIRST_PAUSE_US = 15_000
_FAULT_PAUSE_MOST_US = 200_000
_BUSY_PAUSE_MOST_US = 120_000
_REPLICA_WAIT_US = 200_000


class _StartState:
    """Where the begin of one transaction stands."""

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
        """Starts the begin of `transaction`."""
        self.request = request
        self.transaction = transaction
        self.since = request.oldest_usable_fetch(transaction.started_us)
        self.excluded: set[str] = set()
        self.leadership_key: tuple[int, str] | None = None
        self.position: Position | None = None
        self.pause_us = _FIRST_PAUSE_US
        self.left_us = 0

    def next_pause_us(self, longest_us: int) -> int:
        """The pause before another round, which doubles up to `longest_us`."""
        pause_us = min(self.left_us, self.pause_us)
        self.pause_us = min(self.pause_us * 2, longest_us)
        return pause_us


class TransactionStart:
    """Finds a member for a transaction and says BEGIN to it."""

    def __init__(self, proxy: ProxyServices, calls: MemberCalls, placement: ReadPlacement) -> None:
        """Uses the clock, the tasks and the counters of `proxy`."""
        self._proxy = proxy
        self._clock = proxy.clock
        self._calls = calls
        self._placement = placement

    def run(self, request: Request, transaction: Transaction) -> Continuation[str | None]:
        """Begins the transaction at a member; why that could not be done, or None."""
        state = _StartState(request, transaction)
        group = request.group
        while True:
            state.left_us = request.deadline - self._clock.now()
            if state.left_us <= 0 or self._primary_is_lost(state):
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
                self._begin(state, attempt)
            )
            with contextlib.suppress(DeadlineExceeded):
                yield wait_for_first(self._clock, [attempt.task], state.left_us)
            if not attempt.task.done():
                attempt.task.cancel()
                group.note_failure(attempt.member, NO_ANSWER)
                return self._proxy.retry_after()
            reply = yield from self._reply(state, attempt)
            if reply is None:
                continue
            if reply.ok:
                return None
            why = yield from self._declined(state, attempt, reply)
            if why is not None:
                return why

    def _primary_is_lost(self, state: _StartState) -> bool:
        """Whether a primary is needed that has been away too long to be waited for."""
        request = state.request
        if state.transaction.read_only or request.group.available_primary() is not None:
            return False
        return request.group.primary_is_lost(request.route, request.deadline)

    def _begin(self, state: _StartState, attempt: Attempt) -> Coroutine[Any, Any, Reply]:
        after = None if attempt.fetch else state.position
        limit_us = min(state.left_us, _BEGIN_LIMIT_US)
        return self._calls.begin(state.request, state.transaction, attempt, after, limit_us)

    def _read_attempt(self, state: _StartState) -> Continuation[Attempt | None]:
        """Where a transaction that only reads may begin; None if that must be looked at again."""
        group, transaction = state.request.group, state.transaction
        if state.position is None:
            attempt = self._placement.carrier(
                group, transaction.arrival, state.since, state.excluded
            )
            if attempt is not None:
                return attempt
            state.position = yield from self._placement.position(
                group, transaction.arrival, state.since, state.left_us
            )
            if state.position is None or state.leadership_key != group.leadership_key:
                return None
        member = group.pick_member(state.position, state.excluded)
        if member is None:
            state.excluded.clear()
            yield wait_for_first(self._clock, (), state.next_pause_us(_BUSY_PAUSE_MOST_US))
            return None
        if self._placement.is_behind(member, state.position):
            yield from self._placement.joined(member, state.position, state.request.deadline)
            return None
        return Attempt(member, state.leadership_key)

    def _write_attempt(self, state: _StartState) -> Continuation[Attempt | None]:
        """An attempt at the primary; None if there was none to ask."""
        group = state.request.group
        member = group.available_primary()
        if member is not None:
            return Attempt(member, state.leadership_key)
        yield wait_for_first(
            self._clock, [group.next_leadership_change()], min(state.left_us, _LEADERSHIP_WAIT_US)
        )
        return None

    def _reply(self, state: _StartState, attempt: Attempt) -> Continuation[Reply | None]:
        """The reply to BEGIN; None after a pause if none came."""
        group, task = state.request.group, attempt.task
        fault = Busy() if task.cancelled() else task.exception()
        if fault is not None:
            if not isinstance(fault, Fault):
                raise fault
            note_fault(group, attempt.member, fault)
            state.excluded.add(attempt.member.name)
            pause_us = state.next_pause_us(_FAULT_PAUSE_MOST_US)
            yield wait_for_first(self._clock, [group.next_leadership_change()], pause_us)
            return None
        reply = task.result()
        group.note_answer(attempt.member, reply.position)
        if reply.ok and not state.transaction.read_only and reply.position:
            group.note_position(attempt, reply.position)
        return reply

    def _declined(
        self, state: _StartState, attempt: Attempt, reply: Reply
    ) -> Continuation[str | None]:
        """The member declined BEGIN: why the transaction ends, or None to try again."""
        group, member = state.request.group, attempt.member
        if reply.code == "lagging" and state.position is not None:
            self._proxy.count["lagging"] += 1
            if not (
                yield from self._placement.wait_after_lagging(
                    member, state.position, state.request.deadline
                )
            ):
                state.excluded.add(member.name)
        elif reply.code in ("readonly", "misdirected"):
            self._proxy.core_connection.suspect(group.name, member.name, NOT_PRIMARY)
            yield wait_for_first(
                self._clock, [group.next_leadership_change()], min(state.left_us, _REPLICA_WAIT_US)
            )
        elif reply.code in ("busy", "crowded", "failed"):
            self._proxy.count[reply.code] += 1
            if state.transaction.read_only:
                state.excluded.add(member.name)
            yield wait_for_first(self._clock, (), state.next_pause_us(_BUSY_PAUSE_MOST_US))
        else:
            return f"{reply.code} {reply.text}"
        return None

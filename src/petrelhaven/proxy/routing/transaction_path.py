"""Runs the statements of a transaction, all on the same member connection."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from petrelhaven.proxy.routing.attempt import Attempt
from petrelhaven.proxy.routing.member import CONNECTION_RESET, NO_ANSWER, NOT_PRIMARY
from petrelhaven.proxy.routing.waiting import wait_for_first
from petrelhaven.proxy.session.client_session import FAILED, IN_TRANSACTION
from petrelhaven.proxy.session.statement import Reply
from petrelhaven.runtime.errors import DeadlineExceeded
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.proxy.pool.member_connection import MemberConnection
    from petrelhaven.proxy.routing.interfaces import Continuation, ProxyServices
    from petrelhaven.proxy.routing.member_calls import MemberCalls
    from petrelhaven.proxy.routing.request import Request
    from petrelhaven.proxy.routing.transaction_start import TransactionStart
    from petrelhaven.proxy.session.client_session import ClientSession, Transaction

__all__ = ["TransactionPath"]

_FIRST_PAUSE_US = 10_000
_MIN_STATEMENT_US = 100_000


class TransactionPath:
    """Runs the statements of transactions, and ends transactions."""

    def __init__(self, proxy: ProxyServices, calls: MemberCalls, start: TransactionStart) -> None:
        """Uses the clock, the tasks and the counters of `proxy`."""
        self._proxy = proxy
        self._clock = proxy.clock
        self._calls = calls
        self._start = start

    def run(self, request: Request) -> Continuation[Reply]:
        """Runs a statement; the first one begins the transaction at a member."""
        transaction: Transaction = request.session.transaction  # type: ignore[assignment]  # a transaction is open
        if transaction.connection is None:
            reason = yield from self._begin_at_member(request, transaction)
            if reason is not None:
                return self.abort_transaction(request, reason)
        pause_us = _FIRST_PAUSE_US
        while True:
            limit_us = self._time_limit_us(request)
            if limit_us <= 0:
                return self.abort_transaction(request, self._proxy.retry_after())
            connection: MemberConnection = transaction.connection  # type: ignore[assignment]  # a transaction is open
            attempt = Attempt(transaction.member, transaction.group.leadership_key)
            attempt.started = self._proxy.logical_clock.next_timestamp()
            attempt.started_us = self._clock.now()
            attempt.member.note_asked(attempt.started_us)
            attempt.task = self._proxy.tasks.spawn(  # type: ignore[assignment]  # the node runs
                self._calls.send_in_transaction(request, connection)
            )
            with contextlib.suppress(DeadlineExceeded):
                yield wait_for_first(self._clock, [attempt.task], limit_us)
            reply = self._collect_reply(transaction, attempt)
            if reply is None:
                return self._connection_lost(request)
            if reply.ok:
                return (yield from self._confirm_success(request, attempt, reply))
            left_us = request.deadline - self._clock.now()
            if not self._may_retry(reply) or left_us <= pause_us:
                return self._handle_failure(request, reply)
            if reply.code == "unprepared":
                connection.prepared_names.clear()
            self._proxy.count[reply.code] += 1  # type: ignore[index]  # it is not ok
            yield wait_for_first(self._clock, (), pause_us)
            pause_us *= 2

    def _begin_at_member(
        self, request: Request, transaction: Transaction
    ) -> Continuation[str | None]:
        """Begins the transaction at a member; returns None, or the reason if that failed."""
        if transaction.timed_out:
            return "the transaction had ended"
        refusal = yield from self._proxy.admission.admit(request)
        if refusal is not None:
            return refusal
        transaction.group = request.group
        try:
            return (yield from self._start.run(request, transaction))
        finally:
            self._proxy.admission.put_back(request)

    def release_transaction(self, session: ClientSession, number: str | None = None) -> None:
        """Ends a session's transaction.

        With the `number` of the client's ROLLBACK, the transaction is rolled back; without one, its
        connection is closed.
        """
        transaction, session.transaction = session.transaction, None
        if transaction is None or transaction.connection is None:
            return
        connection, transaction.connection = transaction.connection, None
        if connection.lost or number is None:
            transaction.member.pool.discard(connection)
            return
        if transaction.has_set_values:
            connection.needs_reset = True
        self._proxy.tasks.spawn(
            transaction.group.roll_back_connection(connection, transaction.member, number)
        )

    def watch_idle_transaction(self, session: ClientSession, transaction: Transaction) -> None:
        """Ends the transaction if it is idle for too long.

        Its connection is closed at once; the client is notified at its next statement.
        """
        limit_us = self._proxy.bounds().idle_txn_us

        def end_if_idle() -> None:
            if session.transaction is not transaction or session.busy:
                return
            if session.state not in (IN_TRANSACTION, FAILED):
                return
            left_us = session.idle_since + limit_us - self._clock.now()
            if left_us > 0:
                self._clock.call_later(left_us, end_if_idle)
            elif transaction.connection is not None:
                connection, transaction.connection = transaction.connection, None
                transaction.timed_out = True
                emit(self._proxy.log, Events.IDLE_TRANSACTION_ENDED, member=transaction.member.name)
                transaction.member.pool.discard(connection)

        if transaction.connection is not None:
            self._clock.call_later(limit_us, end_if_idle)

    def _time_limit_us(self, request: Request) -> int:
        """Returns the time limit of a statement; a COMMIT may use all the remaining time."""
        left_us = request.deadline - self._clock.now()
        if left_us <= 0 or request.statement.verb == "commit":
            return left_us
        return min(left_us, max(_MIN_STATEMENT_US, request.route.aim_us * 6 // 10))

    def _collect_reply(self, transaction: Transaction, attempt: Attempt) -> Reply | None:
        """Returns the member's reply, or None; records the answer or the failure."""
        task = attempt.task
        if not task.done():
            task.cancel()
            transaction.group.note_failure(attempt.member, NO_ANSWER)
            return None
        if task.cancelled() or task.exception() is not None:
            transaction.group.note_failure(attempt.member, CONNECTION_RESET)
            return None
        reply = task.result()
        transaction.group.note_answer(attempt.member, reply.position)
        return reply

    @staticmethod
    def _may_retry(reply: Reply) -> bool:
        return reply.code in ("busy", "unprepared") and reply.state == "T"

    def _handle_success(self, request: Request, attempt: Attempt, reply: Reply) -> Reply:
        session = request.session
        transaction: Transaction = session.transaction  # type: ignore[assignment]  # a transaction is open
        commits = request.statement.verb == "commit"
        if self._proves_position(transaction, attempt, commits) and reply.position:
            transaction.group.note_position(attempt, reply.position)
        if commits:
            session.transaction = None
            session.end_transaction()
            connection: MemberConnection = transaction.connection  # type: ignore[assignment]  # a transaction is open
            transaction.connection = None
            if reply.state == "I":
                transaction.member.pool.release(connection)
            else:
                transaction.member.pool.discard(connection)
            reply.state = "I"
        elif request.statement.writes:
            transaction.has_written = True
        return reply

    def _confirm_success(
        self, request: Request, attempt: Attempt, reply: Reply
    ) -> Continuation[Reply]:
        """Handles a success; a commit that no known replica shows counts as a lost answer."""
        transaction: Transaction = request.session.transaction  # type: ignore[assignment]  # a transaction is open
        commits_write = request.statement.verb == "commit" and transaction.has_written
        group = transaction.group
        if commits_write and group.proofs.needs_replica_confirmation(
            attempt.member, reply.position
        ):
            confirmed = yield from group.proofs.confirm_commit(
                reply.position, attempt.member, request.deadline
            )
            if not confirmed:
                return self._connection_lost(request)
        return self._handle_success(request, attempt, reply)

    @staticmethod
    def _proves_position(transaction: Transaction, attempt: Attempt, commits: bool) -> bool:
        """Returns whether only a primary that leads can have sent this reply."""
        if transaction.read_only or attempt.leadership_key is None:
            return False
        if attempt.leadership_key[1] != attempt.member.name:
            return False
        return not commits or transaction.has_written

    def _handle_failure(self, request: Request, reply: Reply) -> Reply:
        """Handles a declined statement: the transaction fails, or ends if it was the COMMIT."""
        session = request.session
        if reply.code == "readonly":
            transaction: Transaction = session.transaction  # type: ignore[assignment]  # a transaction is open
            self._proxy.core_connection.suspect(
                request.group.name, transaction.member.name, NOT_PRIMARY
            )
        if request.statement.verb == "commit":
            self.release_transaction(session)
            session.end_transaction()
        else:
            session.fail_transaction()
        reply.state = session.wire_state
        return reply

    def refuse_statement(self, request: Request, reason: str) -> Reply:
        """Returns the reply to a statement that may not run now, inside a transaction or not."""
        if request.session.transaction is not None:
            return self.abort_transaction(request, reason)
        return Reply(code="busy", text=reason, state=request.session.wire_state)

    def abort_transaction(self, request: Request, reason: str, code: str = "aborted") -> Reply:
        """Aborts the transaction: nothing was committed and nothing will be."""
        session = request.session
        self.release_transaction(session)
        if request.statement.verb == "commit":
            session.end_transaction()
        else:
            session.fail_transaction()
        return Reply(code=code, text=reason, state=session.wire_state)

    def _connection_lost(self, request: Request) -> Reply:
        """Closes a lost or unresponsive connection, so that the member rolls back."""
        session = request.session
        transaction: Transaction = session.transaction  # type: ignore[assignment]  # a transaction is open
        connection: MemberConnection = transaction.connection  # type: ignore[assignment]  # a transaction is open
        transaction.connection = None
        transaction.member.pool.discard(connection)
        session.transaction = None
        if request.statement.verb == "commit":
            session.end_transaction()
            if transaction.has_written:
                self._proxy.count["unsure"] += 1
                emit(
                    self._proxy.log,
                    Events.STATEMENT_OUTCOME_UNKNOWN,
                    member=transaction.member.name,
                )
                return Reply(code="unsure", text="the answer to the commit was lost")
        else:
            session.fail_transaction()
        self._proxy.count["torn"] += 1
        return Reply(
            code="aborted",
            text="the member's answer was lost; nothing of this is kept",
            state=session.wire_state,
        )

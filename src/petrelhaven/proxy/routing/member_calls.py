"""Sends statements to members over pooled connections, and sets up the connections."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from petrelhaven.proxy.pool.member_connection import SetUpStatement
from petrelhaven.proxy.routing.member import CONNECTION_RESET, NO_ANSWER
from petrelhaven.runtime.errors import (
    DeadlineExceeded,
    MemberDeclined,
    MemberReplaced,
    NotSent,
    Unreachable,
)

if TYPE_CHECKING:
    from petrelhaven.proxy.pool.member_connection import MemberConnection
    from petrelhaven.proxy.reads.position import Position
    from petrelhaven.proxy.routing.attempt import Attempt
    from petrelhaven.proxy.routing.group import MemberGroup
    from petrelhaven.proxy.routing.interfaces import ProxyServices
    from petrelhaven.proxy.routing.member import Member
    from petrelhaven.proxy.routing.request import Request
    from petrelhaven.proxy.session.client_session import ClientSession, Transaction
    from petrelhaven.proxy.session.statement import Reply, Statement

__all__ = ["MemberCalls", "note_fault"]

_MAX_CONNECTION_WAIT_US = 600_000
_NOT_RUN_CODES = frozenset({"busy", "lagging", "readonly", "misdirected", "crowded", "unprepared"})
"""Reply codes of a member that did not run the statement."""


def note_fault(group: MemberGroup, member: Member, fault: BaseException) -> None:
    """Records a fault as a failure of the member, unless nothing was sent to the member."""
    if isinstance(fault, (DeadlineExceeded, Unreachable)) and not isinstance(
        fault, (NotSent, MemberReplaced)
    ):
        group.note_failure(
            member, NO_ANSWER if isinstance(fault, DeadlineExceeded) else CONNECTION_RESET
        )


class MemberCalls:
    """Sends the statements of one proxy to its members."""

    def __init__(self, proxy: ProxyServices) -> None:
        """Uses the clock, the tasks and the counters of `proxy`."""
        self._proxy = proxy
        self._clock = proxy.clock

    async def send(
        self, request: Request, attempt: Attempt, after: Position | None, limit_us: int
    ) -> Reply:
        """Sends a statement outside transactions and returns the member's reply.

        `after` is the log position that a read must see. A read without a position is sent only to
        a primary that leads under a lease; its reply completes the piggybacked position fetch.

        Raises:
            NotSent: nothing was sent to the member.
            DeadlineExceeded, Unreachable: no reply; if `attempt.sent`, the statement may have run.
        """
        member = attempt.member
        connection = reply = None
        reusable = False
        try:
            connection = await self._acquire_connection(
                member, request.session, min(limit_us, _MAX_CONNECTION_WAIT_US)
            )
            alias, _ = await self._set_up(connection, request.session, request.statement)
            if attempt.fetch is not None and request.group.leased_primary is not member:
                reusable = True
                raise NotSent("lease")
            attempt.sent = True
            self._record_start(attempt)
            self._count_run(request)
            member.in_flight += 1
            try:
                reply = await self._clock.wait_for(
                    connection.send_statement(request.statement, after, alias), limit_us
                )
            finally:
                member.in_flight -= 1
            reusable = reply.state == "I"
            self._uncount_if_not_run(request, reply)
            if reply.code == "unprepared":
                connection.needs_reset = True
            return reply
        finally:
            self._end_fetch(request.group, attempt, reply)
            if connection is not None:
                self._return_connection(member, connection, reusable)

    async def send_in_transaction(self, request: Request, connection: MemberConnection) -> Reply:
        """Sends a statement of the transaction on `connection` and returns the member's reply."""
        session, statement = request.session, request.statement
        alias, _ = await self._set_up(connection, session, statement)
        request.possible_runs += 1
        reply = await connection.send_statement(statement, None, alias)
        self._uncount_if_not_run(request, reply)
        return reply

    async def begin(
        self,
        request: Request,
        transaction: Transaction,
        attempt: Attempt,
        after: Position | None,
        limit_us: int,
    ) -> Reply:
        """Sends BEGIN to a member; on success, assigns the connection to the transaction."""
        member = attempt.member
        connection = reply = None
        try:
            connection = await self._acquire_connection(
                member, request.session, min(limit_us, _MAX_CONNECTION_WAIT_US)
            )
            if attempt.fetch is not None and request.group.leased_primary is not member:
                raise NotSent("lease")
            self._record_start(attempt)
            self._count_run(request)
            mode = "reads" if transaction.read_only else "writes"
            begin = SetUpStatement("begin", (mode, after), transaction.number)
            _, replies = await self._clock.wait_for(
                self._set_up(connection, request.session, None, [begin]), limit_us
            )
            reply = replies[0]
            self._uncount_if_not_run(request, reply)
            has_begun = reply.ok and reply.state == "T"
            if has_begun and request.session.transaction is transaction:
                transaction.connection, transaction.member = connection, member
            return reply
        finally:
            self._end_fetch(request.group, attempt, reply)
            if connection is not None and transaction.connection is not connection:
                self._return_connection(
                    member, connection, reply is not None and reply.state == "I"
                )

    def collect_reply(self, group: MemberGroup, attempt: Attempt) -> Reply | None:
        """Returns the reply of a finished attempt, or None; records the answer or the failure."""
        task = attempt.task
        if task.cancelled():
            return None
        fault = task.exception()
        if fault is None:
            reply = task.result()
            group.note_answer(attempt.member, reply.position)
            return reply
        note_fault(group, attempt.member, fault)
        return None

    def _count_run(self, request: Request) -> None:
        self._proxy.admission.note_sent(request)
        request.possible_runs += 1

    @staticmethod
    def _uncount_if_not_run(request: Request, reply: Reply) -> None:
        if reply.code in _NOT_RUN_CODES:
            request.possible_runs -= 1

    def _record_start(self, attempt: Attempt) -> None:
        attempt.started = self._proxy.logical_clock.next_timestamp()
        attempt.started_us = self._clock.now()
        attempt.member.note_asked(attempt.started_us)

    async def _acquire_connection(
        self, member: Member, session: ClientSession, limit_us: int
    ) -> MemberConnection:
        waiter = member.pool.acquire(session)
        try:
            return await self._clock.wait_for(waiter, limit_us, keep_running=True)
        except BaseException:
            member.pool.cancel(waiter)
            raise

    async def _set_up(
        self,
        connection: MemberConnection,
        session: ClientSession,
        statement: Statement | None,
        more: Sequence[SetUpStatement] = (),
    ) -> tuple[str | None, Sequence[Reply]]:
        """Sets up a connection, then sends `more`.

        Returns:
            The prepared name that `statement` executes (or None), and the replies to `more`.
        """
        setup, alias = connection.set_up(session, statement)
        if not setup and not more:
            return alias, ()
        futures = [
            connection.send_session_statement(verb, args, number)
            for verb, args, number in [*setup, *more]
        ]
        replies = [
            await self._clock.wait_for(future, _MAX_CONNECTION_WAIT_US, keep_running=True)
            for future in futures
        ]
        if any(not reply.ok for reply in replies[: len(setup)]):
            connection.needs_reset = True
            raise MemberDeclined("outfit")
        return alias, replies[len(setup) :]

    @staticmethod
    def _end_fetch(group: MemberGroup, attempt: Attempt, reply: Reply | None) -> None:
        if attempt.fetch is None:
            return
        if reply is not None and reply.ok and reply.position:
            group.read_clock.finish_piggybacked_fetch(attempt.fetch, reply.position)
        else:
            group.read_clock.fail_piggybacked_fetch(attempt.fetch)

    @staticmethod
    def _return_connection(member: Member, connection: MemberConnection, reusable: bool) -> None:
        if reusable:
            member.pool.release(connection)
        else:
            member.pool.discard(connection)

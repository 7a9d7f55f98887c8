"""Sending statements to members: takes a connection, makes it fit, sends, gives it back."""

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

_CONNECTION_WAIT_US = 600_000
_NOT_RUN = frozenset({"busy", "lagging", "readonly", "misdirected", "crowded", "unprepared"})
"""Codes of a member's replies that tell that it ran nothing."""


def note_fault(group: MemberGroup, member: Member, fault: BaseException) -> None:
    """Counts a fault against the member, unless it shows that nothing was sent to it."""
    if isinstance(fault, (DeadlineExceeded, Unreachable)) and not isinstance(
        fault, (NotSent, MemberReplaced)
    ):
        group.note_failure(
            member, NO_ANSWER if isinstance(fault, DeadlineExceeded) else CONNECTION_RESET
        )


class MemberCalls:
    """The calls of one proxy to its members."""

    def __init__(self, proxy: ProxyServices) -> None:
        """Uses the clock, the tasks and the counters of `proxy`."""
        self._proxy = proxy
        self._clock = proxy.clock

    async def send(
        self, request: Request, attempt: Attempt, after: Position | None, limit_us: int
    ) -> Reply:
        """The member's reply to one statement outside transactions.

        `after` is the position that a read must find. A read without it goes only to the primary
        that leads under a lease; its reply is a position fetch of its own.

        Raises:
            Unsent: nothing left for the member.
            Late, Unreached: no answer; if `attempt.sent`, the statement may have run.
        """
        member = attempt.member
        connection = reply = None
        reusable = False
        try:
            connection = await self._connection(
                member, request.session, min(limit_us, _CONNECTION_WAIT_US)
            )
            alias, _ = await self._set_up(connection, request.session, request.statement)
            if attempt.fetch is not None and request.group.leased_primary is not member:
                reusable = True
                raise NotSent("lease")
            attempt.sent = True
            self._stamp(attempt)
            self._count_run(request)
            member.in_flight += 1
            try:
                reply = await self._clock.limit(
                    connection.send_statement(request.statement, after, alias), limit_us
                )
            finally:
                member.in_flight -= 1
            reusable = reply.state == "I"
            self._note_not_run(request, reply)
            if reply.code == "unprepared":
                connection.needs_reset = True
            return reply
        finally:
            self._end_fetch(request.group, attempt, reply)
            if connection is not None:
                self._give_back(member, connection, reusable)

    async def send_in_transaction(
        self, connection: MemberConnection, session: ClientSession, statement: Statement
    ) -> Reply:
        """The member's reply to a statement inside the transaction that has `connection`."""
        alias, _ = await self._set_up(connection, session, statement)
        return await connection.send_statement(statement, None, alias)

    async def begin(
        self,
        request: Request,
        transaction: Transaction,
        attempt: Attempt,
        after: Position | None,
        limit_us: int,
    ) -> Reply:
        """BEGIN at one member; on success its connection is the transaction's."""
        member = attempt.member
        connection = reply = None
        try:
            connection = await self._connection(
                member, request.session, min(limit_us, _CONNECTION_WAIT_US)
            )
            if attempt.fetch is not None and request.group.leased_primary is not member:
                raise NotSent("lease")
            self._stamp(attempt)
            self._count_run(request)
            mode = "reads" if transaction.read_only else "writes"
            begin = SetUpStatement("begin", (mode, after), transaction.number)
            _, replies = await self._clock.limit(
                self._set_up(connection, request.session, None, [begin]), limit_us
            )
            reply = replies[0]
            self._note_not_run(request, reply)
            open_here = reply.ok and reply.state == "T"
            if open_here and request.session.transaction is transaction:
                transaction.connection, transaction.member = connection, member
            return reply
        finally:
            self._end_fetch(request.group, attempt, reply)
            if connection is not None and transaction.connection is not connection:
                self._give_back(member, connection, reply is not None and reply.state == "I")

    def collect_reply(self, group: MemberGroup, attempt: Attempt) -> Reply | None:
        """The reply to a finished attempt, or None; notes what its end says of the member."""
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
    def _note_not_run(request: Request, reply: Reply) -> None:
        if reply.code in _NOT_RUN:
            request.possible_runs -= 1

    def _stamp(self, attempt: Attempt) -> None:
        attempt.started = self._proxy.logical_clock.next_timestamp()
        attempt.started_us = self._clock.now()
        attempt.member.note_asked(attempt.started_us)

    async def _connection(
        self, member: Member, session: ClientSession, limit_us: int
    ) -> MemberConnection:
        waiting = member.pool.acquire(session)
        try:
            return await self._clock.limit(waiting, limit_us, keep=True)
        except BaseException:
            member.pool.cancel(waiting)
            raise

    async def _set_up(
        self,
        connection: MemberConnection,
        session: ClientSession,
        statement: Statement | None,
        more: Sequence[SetUpStatement] = (),
    ) -> tuple[str | None, Sequence[Reply]]:
        """Makes the connection fit; answers the prepared name to use, and the replies to `more`."""
        needed, alias = connection.set_up(session, statement)
        if not needed and not more:
            return alias, ()
        sent = [
            connection.send_session_statement(verb, args, number)
            for verb, args, number in [*needed, *more]
        ]
        replies = [
            await self._clock.limit(future, _CONNECTION_WAIT_US, keep=True) for future in sent
        ]
        if any(not reply.ok for reply in replies[: len(needed)]):
            connection.needs_reset = True
            raise MemberDeclined("outfit")
        return alias, replies[len(needed) :]

    @staticmethod
    def _end_fetch(group: MemberGroup, attempt: Attempt, reply: Reply | None) -> None:
        if attempt.fetch is None:
            return
        if reply is not None and reply.ok and reply.position:
            group.read_clock.finish_piggybacked_fetch(attempt.fetch, reply.position)
        else:
            group.read_clock.fail_piggybacked_fetch(attempt.fetch)

    @staticmethod
    def _give_back(member: Member, connection: MemberConnection, reusable: bool) -> None:
        if reusable:
            member.pool.release(connection)
        else:
            member.pool.discard(connection)

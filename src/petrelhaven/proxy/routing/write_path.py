"""Runs writes outside transactions; a write is resent only if it certainly did not run."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from petrelhaven.proxy.routing.attempt import Attempt
from petrelhaven.proxy.routing.member import NO_ANSWER, NOT_PRIMARY
from petrelhaven.proxy.routing.waiting import wait_for_first
from petrelhaven.proxy.session.statement import Reply
from petrelhaven.runtime.errors import DeadlineExceeded
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.proxy.routing.group import MemberGroup
    from petrelhaven.proxy.routing.interfaces import Continuation, ProxyServices
    from petrelhaven.proxy.routing.member_calls import MemberCalls
    from petrelhaven.proxy.routing.request import Request

__all__ = ["WritePath"]

_MAX_LEADERSHIP_WAIT_US = 100_000
_FIRST_PAUSE_US = 15_000
_MAX_UNSENT_PAUSE_US = 200_000
_MAX_BUSY_PAUSE_US = 120_000
_MAX_NEW_PRIMARY_WAIT_US = 200_000
_NOT_RUN_CODES = ("busy", "crowded", "misdirected", "readonly", "unprepared")


class WritePath:
    """Runs writes outside transactions, each as a continuation that returns the reply."""

    def __init__(self, proxy: ProxyServices, calls: MemberCalls) -> None:
        """Uses the clock, the tasks and the counters of `proxy`."""
        self._proxy = proxy
        self._clock = proxy.clock
        self._calls = calls

    def run(self, request: Request) -> Continuation[Reply]:
        """Runs a write."""
        group = request.group
        pause_us = _FIRST_PAUSE_US
        while True:
            left_us = request.deadline - self._clock.now()
            if left_us <= 0:
                return self._proxy.timeout_reply()
            member = group.available_primary()
            if member is None:
                if group.primary_is_lost(request.route, request.deadline):
                    return self._proxy.timeout_reply()
                yield wait_for_first(
                    self._clock,
                    [group.next_leadership_change()],
                    min(left_us, _MAX_LEADERSHIP_WAIT_US),
                )
                continue
            attempt = Attempt(member, group.leadership_key)
            attempt.task = self._proxy.tasks.spawn(  # type: ignore[assignment]  # the node runs
                self._calls.send(request, attempt, None, left_us)
            )
            with contextlib.suppress(DeadlineExceeded):
                yield wait_for_first(self._clock, [attempt.task], left_us)
            if not attempt.task.done():
                return self._reply_unanswered(request, attempt)
            reply = self._calls.collect_reply(group, attempt)
            if reply is None and attempt.sent:
                return self._reply_answer_lost(attempt)
            if reply is not None and reply.code not in _NOT_RUN_CODES:
                return (yield from self._finish(request, attempt, reply))
            pause_us = yield from self._wait_before_retry(group, attempt, reply, left_us, pause_us)

    def _finish(self, request: Request, attempt: Attempt, reply: Reply) -> Continuation[Reply]:
        """Returns the member's reply, or `unsure` for a success that no known replica shows."""
        group = request.group
        if reply.ok and group.proofs.needs_replica_confirmation(attempt.member, reply.position):
            confirmed = yield from group.proofs.confirm_commit(
                reply.position, attempt.member, request.deadline
            )
            if not confirmed:
                self._proxy.count["unsure"] += 1
                emit(self._proxy.log, Events.STATEMENT_OUTCOME_UNKNOWN, member=attempt.member.name)
                return Reply(code="unsure", text="no known replica shows the write")
        if reply.ok and reply.position:
            group.note_position(attempt, reply.position)
        return reply

    def _wait_before_retry(
        self,
        group: MemberGroup,
        attempt: Attempt,
        reply: Reply | None,
        left_us: int,
        pause_us: int,
    ) -> Continuation[int]:
        """Waits before a write that did not run is resent; returns the length of the next pause."""
        if reply is None:
            yield wait_for_first(
                self._clock, [group.next_leadership_change()], min(left_us, pause_us)
            )
            return min(pause_us * 2, _MAX_UNSENT_PAUSE_US)
        if reply.code in ("readonly", "misdirected"):
            self._proxy.core_connection.suspect(group.name, attempt.member.name, NOT_PRIMARY)
            yield wait_for_first(
                self._clock,
                [group.next_leadership_change()],
                min(left_us, _MAX_NEW_PRIMARY_WAIT_US),
            )
        elif reply.code in ("busy", "crowded"):
            self._proxy.count[reply.code] += 1
            yield wait_for_first(self._clock, (), min(left_us, pause_us))
            return min(pause_us * 2, _MAX_BUSY_PAUSE_US)
        return pause_us

    def _reply_unanswered(self, request: Request, attempt: Attempt) -> Reply:
        """Returns the reply when the time limit passed before the member answered."""
        if not attempt.sent:
            attempt.task.cancel()
            return self._proxy.timeout_reply()
        self._proxy.count["unsure"] += 1
        request.group.note_failure(attempt.member, NO_ANSWER)
        return Reply(code="unsure", text="no answer came; the write may be kept or not")

    def _reply_answer_lost(self, attempt: Attempt) -> Reply:
        self._proxy.count["unsure"] += 1
        emit(self._proxy.log, Events.STATEMENT_OUTCOME_UNKNOWN, member=attempt.member.name)
        return Reply(code="unsure", text="the answer was lost; the write may be kept or not")

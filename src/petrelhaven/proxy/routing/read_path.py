"""Runs reads outside transactions, with hedging when an attempt is slow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.proxy.routing.attempt import Attempt
from petrelhaven.proxy.routing.member import NO_ANSWER
from petrelhaven.proxy.routing.waiting import wait_for_first

if TYPE_CHECKING:
    from petrelhaven.proxy.reads.position import Position
    from petrelhaven.proxy.routing.interfaces import Continuation, ProxyServices
    from petrelhaven.proxy.routing.member import Member
    from petrelhaven.proxy.routing.member_calls import MemberCalls
    from petrelhaven.proxy.routing.read_placement import ReadPlacement
    from petrelhaven.proxy.routing.request import Request
    from petrelhaven.proxy.session.statement import Reply

__all__ = ["ReadPath"]

_RETRY_ELSEWHERE_CODES = ("busy", "crowded", "failed", "misdirected", "readonly", "unprepared")
_MIN_HEDGE_DELAY_US = 60_000
_HEDGE_SHARE_OF_TARGET = 0.4
_FIRST_PAUSE_US = 10_000
_MAX_PAUSE_US = 80_000
_MIN_TIME_LIMIT_US = 1_000


class _ReadState:
    """The progress of one read; `running` contains its running attempts, at most two."""

    __slots__ = (
        "request",
        "arrival",
        "since",
        "hedge_delay_us",
        "excluded",
        "leadership_key",
        "position",
        "pause_us",
        "left_us",
        "running",
    )

    def __init__(self, request: Request, arrival: int, now: int) -> None:
        """Creates the state of a read that arrived at the logical timestamp `arrival`."""
        self.request = request
        self.arrival = arrival
        self.since = request.oldest_usable_fetch(now)
        self.hedge_delay_us = max(
            _MIN_HEDGE_DELAY_US, int(request.route.aim_us * _HEDGE_SHARE_OF_TARGET)
        )
        self.excluded: set[str] = set()
        self.leadership_key: tuple[int, str] | None = None
        self.position: Position | None = None
        self.pause_us = _FIRST_PAUSE_US
        self.left_us = 0
        self.running: list[Attempt] = []

    def next_pause_us(self) -> int:
        """Returns the pause before the next round, and doubles the following one."""
        pause_us = min(self.pause_us, self.left_us)
        self.pause_us = min(self.pause_us * 2, _MAX_PAUSE_US)
        return pause_us


class ReadPath:
    """Runs reads outside transactions, each as a continuation that returns the reply."""

    def __init__(self, proxy: ProxyServices, calls: MemberCalls, placement: ReadPlacement) -> None:
        """Uses the clock, the tasks and the counters of `proxy`."""
        self._proxy = proxy
        self._clock = proxy.clock
        self._calls = calls
        self._placement = placement

    def run(self, request: Request) -> Continuation[Reply]:
        """Runs a read; at its end, attempts that were not sent are cancelled."""
        state = _ReadState(request, self._proxy.logical_clock.next_timestamp(), self._clock.now())
        try:
            return (yield from self._run_until_answered(state))
        finally:
            for attempt in state.running:
                if not attempt.sent:
                    attempt.task.cancel()
                    if attempt.fetch is not None:
                        request.group.read_clock.fail_piggybacked_fetch(attempt.fetch)

    def _run_until_answered(self, state: _ReadState) -> Continuation[Reply]:
        while True:
            state.left_us = state.request.deadline - self._clock.now()
            if state.left_us <= 0:
                return self._proxy.timeout_reply(bool(state.running))
            reply = yield from self._run_round(state)
            if reply is not None:
                return reply

    def _run_round(self, state: _ReadState) -> Continuation[Reply | None]:
        """Starts an attempt if one may start, waits for replies and evaluates them."""
        group = state.request.group
        if state.leadership_key != group.leadership_key:
            state.leadership_key, state.position = group.leadership_key, None
        attempt = None if state.running else self._start_piggybacked_attempt(state)
        if attempt is None and state.position is None:
            yield from self._fetch_position(state)
            if state.leadership_key != group.leadership_key:
                return None
        if attempt is None and state.position is not None:
            member = group.pick_member(state.position, state.excluded)
            if member is not None and self._must_wait_for_log(state, member):
                self._proxy.count["joined_log"] += 1
                yield from self._placement.join_lagging_wait(
                    member, state.position, state.request.deadline
                )
                return None
            if member is not None:
                attempt = Attempt(member, state.leadership_key)
        if attempt is not None:
            self._start_attempt(state, attempt)
        elif not state.running:
            state.excluded.clear()
            yield wait_for_first(self._clock, (), state.pause_us)
            state.pause_us = min(state.pause_us * 2, _MAX_PAUSE_US)
            return None
        if (yield from self._wait_for_attempt(state, may_hedge=attempt is not None)):
            return None
        return (yield from self._evaluate_replies(state))

    def _start_piggybacked_attempt(self, state: _ReadState) -> Attempt | None:
        if state.position is not None:
            return None
        return self._placement.start_piggybacked_attempt(
            state.request.group, state.arrival, state.since, state.excluded
        )

    def _fetch_position(self, state: _ReadState) -> Continuation[None]:
        state.position = yield from self._placement.fetch_position(
            state.request.group,
            state.arrival,
            state.since,
            state.left_us,
            [attempt.task for attempt in state.running],
        )

    def _must_wait_for_log(self, state: _ReadState, member: Member) -> bool:
        position = state.position
        if state.running or position is None:
            return False
        return self._placement.is_behind(member, position)

    def _start_attempt(self, state: _ReadState, attempt: Attempt) -> None:
        limit_us = max(state.request.deadline - self._clock.now(), _MIN_TIME_LIMIT_US)
        after = None if attempt.fetch else state.position
        attempt.task = self._proxy.tasks.spawn(  # type: ignore[assignment]  # the node runs
            self._calls.send(state.request, attempt, after, limit_us)
        )
        state.running.append(attempt)

    def _wait_for_attempt(self, state: _ReadState, may_hedge: bool) -> Continuation[bool]:
        """Waits until an attempt ends; returns True if a second one should start (hedging)."""
        running, group = state.running, state.request.group
        may_hedge = may_hedge and len(running) == 1
        limit_us = min(state.hedge_delay_us, state.left_us) if may_hedge else state.left_us
        yield wait_for_first(self._clock, [attempt.task for attempt in running], limit_us)
        if not may_hedge or running[0].task.done():
            return False
        if group.try_spend_retry():
            member = running[0].member
            group.note_failure(member, NO_ANSWER)
            state.excluded.add(member.name)
            self._proxy.count["hedged"] += 1
            return True
        yield wait_for_first(
            self._clock, [running[0].task], state.request.deadline - self._clock.now()
        )
        return False

    def _evaluate_replies(self, state: _ReadState) -> Continuation[Reply | None]:
        """Returns the final reply, or None if the read must be retried."""
        group = state.request.group
        done = [attempt for attempt in state.running if attempt.task.done()]
        state.running[:] = [attempt for attempt in state.running if not attempt.task.done()]
        for attempt in done:
            reply = self._calls.collect_reply(group, attempt)
            if reply is None:
                state.excluded.add(attempt.member.name)
                yield wait_for_first(self._clock, (), state.next_pause_us())
            elif reply.code == "lagging":
                yield from self._handle_lagging(state, attempt)
            elif reply.code in _RETRY_ELSEWHERE_CODES:
                self._proxy.count[reply.code] += 1
                state.excluded.add(attempt.member.name)
                if reply.code == "failed" and not group.try_spend_retry():
                    return reply
            else:
                return reply
        return None

    def _handle_lagging(self, state: _ReadState, attempt: Attempt) -> Continuation[None]:
        self._proxy.count["lagging"] += 1
        if state.position is None or state.running:
            return
        member = attempt.member
        if not (
            yield from self._placement.wait_after_lagging_reply(
                member, state.position, state.request.deadline
            )
        ):
            state.excluded.add(member.name)

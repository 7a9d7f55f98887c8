"""Single reads: placed by the read clock, hedged when slow."""

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

_RETRY_ELSEWHERE = ("busy", "crowded", "failed", "misdirected", "readonly", "unprepared")
_HEDGE_LEAST_US = 60_000
_HEDGE_SHARE = 0.4
_FIRST_PAUSE_US = 10_000
_LONGEST_PAUSE_US = 80_000
_LEAST_LIMIT_US = 1_000


class _ReadState:
    """Where one read stands; `running` are its attempts under way, two at the most."""

    __slots__ = (
        "request",
        "arrival",
        "since",
        "hedge_us",
        "excluded",
        "leadership_key",
        "position",
        "pause_us",
        "left_us",
        "running",
    )

    def __init__(self, request: Request, arrival: int, now: int) -> None:
        """Starts a read that arrived at the order point `arrival`."""
        self.request = request
        self.arrival = arrival
        self.since = request.oldest_usable_fetch(now)
        self.hedge_us = max(_HEDGE_LEAST_US, int(request.route.aim_us * _HEDGE_SHARE))
        self.excluded: set[str] = set()
        self.leadership_key: tuple[int, str] | None = None
        self.position: Position | None = None
        self.pause_us = _FIRST_PAUSE_US
        self.left_us = 0
        self.running: list[Attempt] = []

    def next_pause_us(self) -> int:
        """The pause before another round; each is twice as long as the one before."""
        pause_us = min(self.pause_us, self.left_us)
        self.pause_us = min(self.pause_us * 2, _LONGEST_PAUSE_US)
        return pause_us


class ReadPath:
    """Runs reads outside transactions, each as a continuation that ends with a reply."""

    def __init__(self, proxy: ProxyServices, calls: MemberCalls, placement: ReadPlacement) -> None:
        """Uses the clock, the tasks and the counters of `proxy`."""
        self._proxy = proxy
        self._clock = proxy.clock
        self._calls = calls
        self._placement = placement

    def run(self, request: Request) -> Continuation[Reply]:
        """One read; attempts that have not left yet end with it."""
        state = _ReadState(request, self._proxy.logical_clock.next_timestamp(), self._clock.now())
        try:
            return (yield from self._until_answered(state))
        finally:
            for attempt in state.running:
                if not attempt.sent:
                    attempt.task.cancel()
                    if attempt.fetch is not None:
                        request.group.read_clock.fail_piggybacked_fetch(attempt.fetch)

    def _until_answered(self, state: _ReadState) -> Continuation[Reply]:
        while True:
            state.left_us = state.request.deadline - self._clock.now()
            if state.left_us <= 0:
                return self._proxy.out_of_time(bool(state.running))
            reply = yield from self._round(state)
            if reply is not None:
                return reply

    def _round(self, state: _ReadState) -> Continuation[Reply | None]:
        """Starts an attempt where there is a place for one, waits, and collects replies."""
        group = state.request.group
        if state.leadership_key != group.leadership_key:
            state.leadership_key, state.position = group.leadership_key, None
        attempt = None if state.running else self._carrier(state)
        if attempt is None and state.position is None:
            yield from self._find_position(state)
            if state.leadership_key != group.leadership_key:
                return None
        if attempt is None and state.position is not None:
            member = group.pick_member(state.position, state.excluded)
            if member is not None and self._joins_log_wait(state, member):
                self._proxy.count["joined_log"] += 1
                yield from self._placement.joined(member, state.position, state.request.deadline)
                return None
            if member is not None:
                attempt = Attempt(member, state.leadership_key)
        if attempt is not None:
            self._launch(state, attempt)
        elif not state.running:
            state.excluded.clear()
            yield wait_for_first(self._clock, (), state.pause_us)
            state.pause_us = min(state.pause_us * 2, _LONGEST_PAUSE_US)
            return None
        if (yield from self._wait(state, may_hedge=attempt is not None)):
            return None
        return (yield from self._collect(state))

    def _carrier(self, state: _ReadState) -> Attempt | None:
        if state.position is not None:
            return None
        return self._placement.carrier(
            state.request.group, state.arrival, state.since, state.excluded
        )

    def _find_position(self, state: _ReadState) -> Continuation[None]:
        state.position = yield from self._placement.position(
            state.request.group,
            state.arrival,
            state.since,
            state.left_us,
            [attempt.task for attempt in state.running],
        )

    def _joins_log_wait(self, state: _ReadState, member: Member) -> bool:
        position = state.position
        if state.running or position is None:
            return False
        return self._placement.is_behind(member, position)

    def _launch(self, state: _ReadState, attempt: Attempt) -> None:
        limit_us = max(state.request.deadline - self._clock.now(), _LEAST_LIMIT_US)
        after = None if attempt.fetch else state.position
        attempt.task = self._proxy.tasks.spawn(  # type: ignore[assignment]  # the node runs
            self._calls.send(state.request, attempt, after, limit_us)
        )
        state.running.append(attempt)

    def _wait(self, state: _ReadState, may_hedge: bool) -> Continuation[bool]:
        """Waits until an attempt ends; True if it is slow and a second one is to start."""
        running, group = state.running, state.request.group
        may_hedge = may_hedge and len(running) == 1
        limit_us = min(state.hedge_us, state.left_us) if may_hedge else state.left_us
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

    def _collect(self, state: _ReadState) -> Continuation[Reply | None]:
        """The reply that ends the read, or None if it must be tried again."""
        group = state.request.group
        done = [attempt for attempt in state.running if attempt.task.done()]
        state.running[:] = [attempt for attempt in state.running if not attempt.task.done()]
        for attempt in done:
            reply = self._calls.collect_reply(group, attempt)
            if reply is None:
                state.excluded.add(attempt.member.name)
                yield wait_for_first(self._clock, (), state.next_pause_us())
            elif reply.code == "lagging":
                yield from self._lagging(state, attempt)
            elif reply.code in _RETRY_ELSEWHERE:
                self._proxy.count[reply.code] += 1
                state.excluded.add(attempt.member.name)
                if reply.code == "failed" and not group.try_spend_retry():
                    return reply
            else:
                return reply
        return None

    def _lagging(self, state: _ReadState, attempt: Attempt) -> Continuation[None]:
        self._proxy.count["lagging"] += 1
        if state.position is None or state.running:
            return
        member = attempt.member
        if not (
            yield from self._placement.wait_after_lagging(
                member, state.position, state.request.deadline
            )
        ):
            state.excluded.add(member.name)

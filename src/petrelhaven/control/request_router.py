"""Orders and reads at any control node: sent to the head or tail, answered while callers wait.

A caller that hears nothing for a second goes to another node, so an order is answered before that:
acknowledged, or declined with the time after which to come again. Until then it follows the head
from view to view. Nothing goes on after its answer, since the caller may have ordered the contrary
elsewhere by then. For the same reason an order that is sent to another node carries the moment at
which it ends there, by that node's own clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeAlias, TypeVar

from petrelhaven.control.submit_messages import SubmitAnswer, SubmitRequest
from petrelhaven.runtime.errors import (
    DeadlineExceeded,
    Duplicate,
    Expired,
    NotHead,
    NotReady,
    Unreachable,
    ViewSuperseded,
)
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from petrelhaven.control.consensus.chain import Chain
    from petrelhaven.control.consensus.peer_clocks import Expiry
    from petrelhaven.control.consensus.view import View
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.transport.delivery import Delivery
    from petrelhaven.transport.reach import Reach

__all__ = ["ANSWER_TIMEOUT_US", "RequestRouter"]

ANSWER_TIMEOUT_US = 850_000
"""How long a call of the operator or of a member may take here; its caller waits for a second."""

_ENTER_US = 1_000_000
_POLL_US = 50_000
_TRANSITION_US = 1_000_000
"""How long a node goes on after a new view without a majority's confirmation."""
_PAUSE_SHARE = 0.7
_AFTER_PAUSE_US = 300_000
_DELAYED_US = 700_000
"""A request that took longer to arrive may have been given up: callers wait for a second."""
_CALLER_END_US = 60_000
"""How long after a request that was held up its caller's end may follow: two round trips."""
_RETRIED = (NotHead, NotReady, ViewSuperseded, Expired, Unreachable, DeadlineExceeded)

_HEAD, _TAIL = 0, -1
_FINAL = {"final": True}
"""Details of errors that are answered at once and not retried here."""

Document: TypeAlias = dict[str, Any]
_Answer = TypeVar("_Answer")
Attempt: TypeAlias = Callable[[str, int], Awaitable[_Answer]]
"""Asks the node of this name, within this many microseconds."""
StateOf: TypeAlias = Callable[[str], str | None]
Enter: TypeAlias = Callable[[SubmitRequest], Awaitable[SubmitAnswer]]


class RequestRouter:
    """Sends orders to the head and reads to the tail of the view."""

    def __init__(
        self, clock: Clock, chain: Chain, reach: Reach, name: str, state_of: StateOf
    ) -> None:
        """Routes for one control node.

        Args:
            clock: the node's monotonic clock.
            chain: its place in the chain.
            reach: calls other nodes by name.
            name: its own name.
            state_of: answers what membership knows of a node: alive, suspect, gone or None.
        """
        self._clock = clock
        self._chain = chain
        self._reach = reach
        self._name = name
        self._state_of = state_of

    async def submit_record(
        self, record: Document, force: bool, within_us: int, enter: Enter
    ) -> SubmitAnswer:
        """Has the head enter a record.

        Args:
            record: the record's document.
            force: whether to wait until it is in force at every proxy.
            within_us: when the order has to be answered.
            enter: enters it where this node is the head itself.

        Raises:
            NotReady: no majority answers, or a node of the chain may be lost; to be sent again.
            DeadlineExceeded: it is not confirmed yet; to be sent again.
            Fault: what the head declined it with.
        """
        self._decline_after_pause(within_us)
        attempts = 0

        async def attempt(head: str, timeout_us: int) -> SubmitAnswer:
            nonlocal attempts
            attempts += 1
            try:
                return await self._enter_at(head, record, force, timeout_us, enter)
            except Duplicate:
                if attempts == 1:
                    raise
                # what an earlier attempt of this very call has entered
                return SubmitAnswer(self._chain.control_state.seq, force)

        return await self._follow(_HEAD, attempt, within_us)

    async def _enter_at(
        self, head: str, record: Document, force: bool, timeout_us: int, enter: Enter
    ) -> SubmitAnswer:
        if head == self._name:
            return await enter(SubmitRequest(record, force))
        expiry = await self._expiry(head, min(timeout_us, _ENTER_US))
        request = SubmitRequest(record, force, expiry)
        return SubmitAnswer.from_body(
            await self._reach.call(head, MessageKind.CHAIN_ENTER, request.to_body(), timeout_us)
        )

    async def read_control_state(self, within_us: int) -> Document:
        """The control state as the tail answers it, within a time in microseconds.

        Raises:
            NotReady: no majority answers, or a node of the chain may be lost; to be sent again.
            DeadlineExceeded: the tail has not answered.
        """

        async def attempt(tail: str, timeout_us: int) -> Document:
            if tail == self._name:
                own: Document = self._chain.read_control_state()
                return own
            answer = await self._reach.call(
                tail, MessageKind.CHAIN_READ, {"what": None}, timeout_us
            )
            document: Document = answer["doc"]
            return document

        return await self._follow(_TAIL, attempt, within_us)

    async def require_waiting_caller(self, delivery: Delivery) -> None:
        """Checks that an order's caller still waits, for orders that no version protects.

        One that was held up on its way, and given up, may be the contrary of what was acknowledged
        since. docs/notes/worst-days.md says what can be known of it.

        Raises:
            NotReady: the order may have been given up; who still wants it sends it again.
        """
        if max(delivery.opening_us, delivery.transfer_us) > _DELAYED_US:
            raise NotReady("the order was held up on its way; send it again")
        await self._clock.sleep(_CALLER_END_US)
        if delivery.has_caller_left():
            raise NotReady("whoever sent the order waits for no answer")

    def check_expiry(self, expiry: Expiry | None) -> None:
        """Checks an order that has come to this node as the head.

        Raises:
            Expired: it has outlived the call that brought it to another node.
        """
        boot = self._chain.confirmation.started_at_us
        if expiry is not None and not expiry.is_valid(boot, self._clock.now()):
            raise Expired("the order came after its caller was answered")

    async def _expiry(self, head: str, timeout_us: int) -> Expiry:
        """The end of an order by the head's clock, which is asked for where it isn't known."""
        clocks = self._chain.confirmation.peer_clocks
        if not clocks.has_recent_reading(head):
            await self._chain.confirmation.request_confirmation(head)
        return clocks.expiry_at(head, timeout_us)

    async def _follow(self, place: int, attempt: Attempt[_Answer], within_us: int) -> _Answer:
        """What the node at `place` of the chain answers, through changes of the view."""
        end_us = self._clock.now() + within_us
        while True:
            view = self._require_view()
            left_us = end_us - self._clock.now()
            try:
                return await self._watched(attempt(view.chain[place], left_us), view, end_us)
            except _RETRIED as fault:
                if self._clock.now() + _POLL_US >= end_us or fault.details.get("final"):
                    raise
                self._require_majority()
            await self._clock.sleep(_POLL_US)

    async def _watched(self, attempt: Awaitable[_Answer], view: View, end_us: int) -> _Answer:
        """The outcome of one attempt; it is given up with the view, the majority or the time."""
        task = asyncio.ensure_future(attempt)
        is_brief = end_us - self._clock.now() <= ANSWER_TIMEOUT_US
        try:
            while not task.done():
                if self._clock.now() >= end_us:
                    raise DeadlineExceeded("not confirmed yet; the order may be sent again")
                if self._chain.view is not view:
                    raise NotReady("the view changed")
                self._require_majority()
                await self._wait_briefly(task)
                if not task.done() and is_brief:
                    self._require_no_suspects(view)
            return task.result()
        finally:
            task.cancel()

    async def _wait_briefly(self, task: asyncio.Future[Any]) -> None:
        """Waits a moment, or until the attempt has ended."""
        over = asyncio.Event()
        timer = self._clock.later(_POLL_US, over.set)
        task.add_done_callback(lambda _: over.set())
        try:
            await over.wait()
        finally:
            timer.cancel()

    def _require_view(self) -> View:
        """The view; NotReady without one, or without a majority."""
        self._require_majority()
        view = self._chain.view
        if view is None:
            raise NotReady("no view yet")
        return view

    def _require_majority(self) -> None:
        """NotReady where no majority of the nodes has confirmed this one's view lately."""
        chain = self._chain
        if chain.view is None:
            raise NotReady("no view yet")
        in_transition = self._clock.now() - chain.adopted_at_us <= _TRANSITION_US
        if not chain.confirmation.is_recent and not in_transition:
            raise NotReady("no majority of the cores answers", details=dict(_FINAL))

    def _require_no_suspects(self, view: View) -> None:
        """NotReady where nothing is heard of a node of the chain, which would outlast the caller.

        Once that node counts as gone, the next view is a matter of moments, and the order waits
        for it.
        """
        suspects = [
            name for name in view.chain if name != self._name and self._state_of(name) == "suspect"
        ]
        if suspects:
            note = f"nothing heard from {','.join(suspects)}; come again"
            raise NotReady(note, details=dict(_FINAL))

    def _decline_after_pause(self, within_us: int) -> None:
        """NotReady where this process has just stood still: callers may have gone meanwhile.

        A request tells no time, so how long one that is read after a pause has lain here can't be
        known.
        """
        self._chain.confirmation.record_pause()
        ended_us, paused_us = self._chain.confirmation.last_pause
        is_recent = self._clock.now() - ended_us < _AFTER_PAUSE_US
        if is_recent and paused_us > within_us * _PAUSE_SHARE:
            raise NotReady("this core stood still a moment ago; send the order again")

"""Routes requests at any control node: writes to the head of the chain, reads to the tail.

A caller without an answer for one second tries another control node. So a request is answered
before that: acknowledged, or rejected with the time after which to retry. Until then it is retried
at the new head after each view change. Nothing continues after the answer, because the caller may
have requested the opposite elsewhere by then. For the same reason a request that is sent to
another node carries its expiry, by that node's own clock.
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
    from petrelhaven.transport.node_caller import NodeCaller

__all__ = ["ANSWER_TIMEOUT_US", "RequestRouter"]

ANSWER_TIMEOUT_US = 850_000
"""How long a request of an operator or member may take; its caller waits for a second."""

_FORWARD_TIMEOUT_US = 1_000_000
_POLL_INTERVAL_US = 50_000
_VIEW_TRANSITION_US = 1_000_000
"""How long a node works in a new view without a confirmation by a majority."""
_MAX_PAUSE_SHARE = 0.7
"""A longer pause of the process, as a share of a request's time limit, rejects the request."""
_AFTER_PAUSE_US = 300_000
"""How long after a pause of the process requests may have been waiting since before it."""
_MAX_DELIVERY_US = 700_000
"""The caller may have given up a request that took longer to arrive: it waits for a second."""
_CALLER_CLOSE_DELAY_US = 60_000
"""How long after a delayed request its caller's close may still arrive: two round trips."""
_RETRIED_FAULTS = (NotHead, NotReady, ViewSuperseded, Expired, Unreachable, DeadlineExceeded)

_HEAD_INDEX, _TAIL_INDEX = 0, -1
_FINAL_DETAILS = {"final": True}
"""Details of errors that aren't retried here."""

Document: TypeAlias = dict[str, Any]
_Answer = TypeVar("_Answer")
Attempt: TypeAlias = Callable[[str, int], Awaitable[_Answer]]
"""Calls the node with this name, with a timeout in microseconds."""
PeerState: TypeAlias = Callable[[str], str | None]
AppendRecord: TypeAlias = Callable[[SubmitRequest], Awaitable[SubmitAnswer]]


class RequestRouter:
    """Sends records to the head and reads to the tail of the view's chain."""

    def __init__(
        self, clock: Clock, chain: Chain, node_caller: NodeCaller, name: str, peer_state: PeerState
    ) -> None:
        """Routes the requests that one control node receives.

        Args:
            clock: The node's monotonic clock.
            chain: The node's part of the chain.
            node_caller: Calls other nodes by name.
            name: The node's name.
            peer_state: Returns the membership state of a node: alive, suspect, gone or None.
        """
        self._clock = clock
        self._chain = chain
        self._reach = node_caller
        self._name = name
        self._peer_state = peer_state

    async def submit_record(
        self, record: Document, force: bool, within_us: int, append: AppendRecord
    ) -> SubmitAnswer:
        """Appends a record through the chain's head.

        Args:
            record: The record's document.
            force: Whether to wait until the record is in force at every proxy.
            within_us: The time limit of the request.
            append: Appends the record if this node is the head.

        Raises:
            NotReady: No majority answers, or a node of the chain may be lost; retry later.
            DeadlineExceeded: The record isn't confirmed yet; retry later.
            Fault: The head rejected the record.
        """
        self._reject_after_pause(within_us)
        attempts = 0

        async def attempt(head: str, timeout_us: int) -> SubmitAnswer:
            nonlocal attempts
            attempts += 1
            try:
                return await self._append_at(head, record, force, timeout_us, append)
            except Duplicate:
                if attempts == 1:
                    raise
                # An earlier attempt of this request has appended the record.
                return SubmitAnswer(self._chain.control_state.seq, force)

        return await self._call_chain_node(_HEAD_INDEX, attempt, within_us)

    async def _append_at(
        self, head: str, record: Document, force: bool, timeout_us: int, append: AppendRecord
    ) -> SubmitAnswer:
        if head == self._name:
            return await append(SubmitRequest(record, force))
        expiry = await self._expiry(head, min(timeout_us, _FORWARD_TIMEOUT_US))
        request = SubmitRequest(record, force, expiry)
        return SubmitAnswer.from_body(
            await self._reach.call(head, MessageKind.CHAIN_ENTER, request.to_body(), timeout_us)
        )

    async def read_control_state(self, within_us: int) -> Document:
        """Reads the control state from the tail of the chain, within `within_us` microseconds.

        Raises:
            NotReady: No majority answers, or a node of the chain may be lost; retry later.
            DeadlineExceeded: The tail didn't answer.
        """

        async def attempt(tail: str, timeout_us: int) -> Document:
            if tail == self._name:
                own_document: Document = self._chain.read_control_state()
                return own_document
            answer = await self._reach.call(
                tail, MessageKind.CHAIN_READ, {"what": None}, timeout_us
            )
            document: Document = answer["doc"]
            return document

        return await self._call_chain_node(_TAIL_INDEX, attempt, within_us)

    async def require_waiting_caller(self, delivery: Delivery) -> None:
        """Checks that the caller still waits, for requests that no version number protects.

        A delayed request whose caller gave up may contradict a request that was acknowledged
        later. docs/notes/worst-days.md describes what a node can detect.

        Raises:
            NotReady: The caller may have given up; it can send the request again.
        """
        if max(delivery.opening_us, delivery.transfer_us) > _MAX_DELIVERY_US:
            raise NotReady("the request was delayed on its way; send it again")
        await self._clock.sleep(_CALLER_CLOSE_DELAY_US)
        if delivery.has_caller_left():
            raise NotReady("the caller of the request has closed its connection")

    def check_expiry(self, expiry: Expiry | None) -> None:
        """Checks a request that this node receives as the head.

        Raises:
            Expired: The call to the node that forwarded the request has ended.
        """
        started_at_us = self._chain.confirmation.started_at_us
        if expiry is not None and not expiry.is_valid(started_at_us, self._clock.now()):
            raise Expired("the request arrived after its caller was answered")

    async def _expiry(self, head: str, timeout_us: int) -> Expiry:
        """Returns the expiry of a request by the head's clock, which is read first if needed."""
        clocks = self._chain.confirmation.peer_clocks
        if not clocks.has_recent_reading(head):
            await self._chain.confirmation.request_confirmation(head)
        return clocks.expiry_at(head, timeout_us)

    async def _call_chain_node(
        self, chain_index: int, attempt: Attempt[_Answer], within_us: int
    ) -> _Answer:
        """Calls the node at `chain_index` of the chain and retries after view changes."""
        end_us = self._clock.now() + within_us
        while True:
            view = self._require_view()
            left_us = end_us - self._clock.now()
            try:
                return await self._run_attempt(
                    attempt(view.chain[chain_index], left_us), view, end_us
                )
            except _RETRIED_FAULTS as fault:
                if self._clock.now() + _POLL_INTERVAL_US >= end_us or fault.details.get("final"):
                    raise
                self._require_majority()
            await self._clock.sleep(_POLL_INTERVAL_US)

    async def _run_attempt(self, attempt: Awaitable[_Answer], view: View, end_us: int) -> _Answer:
        """Returns the result of one attempt.

        Cancels the attempt when the view changes, the majority is lost or the time is over.
        """
        task = asyncio.ensure_future(attempt)
        is_short = end_us - self._clock.now() <= ANSWER_TIMEOUT_US
        try:
            while not task.done():
                if self._clock.now() >= end_us:
                    raise DeadlineExceeded("not confirmed yet; the request may be sent again")
                if self._chain.view is not view:
                    raise NotReady("the view changed")
                self._require_majority()
                await self._wait_for_poll(task)
                if not task.done() and is_short:
                    self._require_no_suspects(view)
            return task.result()
        finally:
            task.cancel()

    async def _wait_for_poll(self, task: asyncio.Future[Any]) -> None:
        """Waits for one poll interval, or until the attempt has ended."""
        ended = asyncio.Event()
        timer = self._clock.call_later(_POLL_INTERVAL_US, ended.set)
        task.add_done_callback(lambda _: ended.set())
        try:
            await ended.wait()
        finally:
            timer.cancel()

    def _require_view(self) -> View:
        """Returns the view; raises NotReady without a view or a majority."""
        self._require_majority()
        view = self._chain.view
        if view is None:
            raise NotReady("no view yet")
        return view

    def _require_majority(self) -> None:
        """Raises NotReady unless a majority recently confirmed this node's view."""
        chain = self._chain
        if chain.view is None:
            raise NotReady("no view yet")
        in_transition = self._clock.now() - chain.adopted_at_us <= _VIEW_TRANSITION_US
        if not chain.confirmation.is_recent and not in_transition:
            raise NotReady("no majority of the control nodes answers", details=dict(_FINAL_DETAILS))

    def _require_no_suspects(self, view: View) -> None:
        """Raises NotReady if a node of the chain is suspected.

        The suspicion may last longer than the caller waits. Once the node is declared gone, the
        next view follows soon, and requests wait for it.
        """
        suspects = [
            name
            for name in view.chain
            if name != self._name and self._peer_state(name) == "suspect"
        ]
        if suspects:
            note = f"no answer from {','.join(suspects)}; retry later"
            raise NotReady(note, details=dict(_FINAL_DETAILS))

    def _reject_after_pause(self, within_us: int) -> None:
        """Raises NotReady right after a pause of this process: callers may have given up meanwhile.

        Requests carry no time, so a node can't tell how long a request waited during the pause.
        """
        self._chain.confirmation.record_pause()
        ended_us, paused_us = self._chain.confirmation.last_pause
        is_recent = self._clock.now() - ended_us < _AFTER_PAUSE_US
        if is_recent and paused_us > within_us * _MAX_PAUSE_SHARE:
            raise NotReady("this control node was paused a moment ago; send the request again")

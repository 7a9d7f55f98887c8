"""One connection between two processes.

Calls are numbered. An answer is matched to its call by connection, number and kind.
"""

import asyncio
import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import (
    Fault,
    Malformed,
    NotRelayed,
    NotSent,
    UnknownKind,
    Unreachable,
    rebuild,
)
from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.contracts import Repeat, repeat_of
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.messages import CALL, FAULT, RESULT, Message, pack, unpack

__all__ = ["Channel", "Handler", "Node"]

Handler = Callable[..., Any]

_MAX_ABANDONED_CALLS = 256
_INVALID_BODY_ERRORS = (TypeError, LookupError, ValueError, AttributeError)


class Node(Protocol):
    """The parts of a node that its channels use."""

    clock: Clock
    tasks: BackgroundTasks
    log: Any
    handlers: dict[str, Handler]


@dataclass(frozen=True, slots=True)
class _Pending:
    """A call that is waiting for its answer."""

    kind: str
    answer: asyncio.Future[dict[str, Any]]


def _fault_from_answer(kind: str, doc: Mapping[str, Any]) -> Fault:
    """Returns the fault that the other side answered with.

    A `NotSent` fault is kept only if a relay reports that it sent nothing. From any other node it
    becomes `Unreachable`, because the call itself has arrived there.
    """
    fault = rebuild(doc)
    relayed = kind == MessageKind.RELAY and isinstance(fault, NotRelayed)
    if isinstance(fault, NotSent) and not relayed:
        fault = Unreachable(fault.note, fault.retry_after_us, fault.details)
    fault.answered = True
    return fault


class Channel:
    """One connection over which both sides may make calls.

    Attributes:
        gone: a future that is done once the connection is lost.
        unanswered: the number of consecutive calls without an answer, maintained by the caller.
    """

    def __init__(
        self,
        link: Node,
        send: Callable[[bytes], None],
        close: Callable[[], None],
        reset: Callable[[], None] | None = None,
        broken: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates the channel of an open connection.

        Args:
            link: the node whose handlers serve the other side's calls.
            send: writes one message to the connection.
            close: closes the connection after sending the data already written.
            reset: closes it at once and discards data that the other machine has not received;
                defaults to `close`.
            broken: returns whether the other side has reset the connection.
        """
        self._link = link
        self._send = send
        self._close = close
        self._reset = reset or close
        self._broken = broken
        self._call_numbers = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._abandoned_kinds: dict[int, str] = {}
        self._last_sent_number = self._last_answered_number = self._last_received_number = 0
        self.gone = asyncio.get_running_loop().create_future()
        self.unanswered = 0

    async def call(self, kind: str, body: Mapping[str, Any], timeout_us: int) -> dict[str, Any]:
        """Calls the other side and returns its result.

        If a call that may not be repeated is abandoned (timeout or cancellation), the connection
        is reset, so that bytes that the other machine has not received are discarded.

        Args:
            kind: one of `MessageKind`.
            body: the fields of the request.
            timeout_us: the limit for the answer, in microseconds.

        Raises:
            NotSent: nothing was sent.
            DeadlineExceeded: no answer arrived in time; the request may still take effect.
            Unreachable: the connection was lost; the outcome is unknown.
            Fault: the fault that the other side answered with; its `answered` is set.
        """
        if self.gone.done():
            raise NotSent(kind)
        number = next(self._call_numbers)
        raw = pack(kind, CALL, number, body)
        answer = asyncio.get_running_loop().create_future()
        self._pending[number] = _Pending(kind, answer)
        self._last_sent_number = number
        try:
            self._send(raw)
            return await self._link.clock.wait_for(answer, timeout_us)
        finally:
            self._pending.pop(number, None)
            if answer.cancelled() or not answer.done():
                self._abandon_call(number, kind, repeat_of(kind, body))

    def _abandon_call(self, number: int, kind: str, repeat: Repeat) -> None:
        """Stops waiting for call `number`; a late answer is still checked against `kind`."""
        self._abandoned_kinds[number] = kind
        if len(self._abandoned_kinds) > _MAX_ABANDONED_CALLS:
            del self._abandoned_kinds[next(iter(self._abandoned_kinds))]
        if repeat is Repeat.NEVER:
            self._withdraw_call(number)

    def _withdraw_call(self, number: int) -> None:
        """Resets the connection unless a later answer shows that call `number` was received."""
        if number > self._last_answered_number and not self.gone.done():
            self._reset()
            self.handle_connection_loss()

    def feed(self, raw: bytes) -> None:
        """Processes one received message.

        Raises:
            Malformed: the message is invalid or unexpected on this connection.
            VersionMismatch: the message has another protocol version.
            UnknownKind: the kind of the message is not known.
        """
        message = unpack(raw)
        if message.flow == CALL:
            if message.number <= self._last_received_number:
                raise Malformed(f"{message.kind}: call number")
            self._last_received_number = message.number
            self._link.tasks.spawn(self._serve(message))
        elif message.flow in (RESULT, FAULT):
            self._receive_answer(message)
        else:
            raise Malformed("flow")

    def _receive_answer(self, message: Message) -> None:
        if not 0 < message.number <= self._last_sent_number:
            raise Malformed(f"{message.kind}: answer to nothing")
        pending = self._pending.get(message.number)
        kind = (
            pending.kind if pending is not None else self._abandoned_kinds.pop(message.number, None)
        )
        if kind is not None and kind != message.kind:
            raise Malformed(f"{message.kind}: answer to {kind}")
        self._last_answered_number = max(self._last_answered_number, message.number)
        if pending is None or pending.answer.done():
            return
        if message.flow == RESULT:
            pending.answer.set_result(message.body)
        else:
            pending.answer.set_exception(_fault_from_answer(message.kind, message.body["doc"]))

    async def _serve(self, message: Message) -> None:
        kind = message.kind
        if repeat_of(kind, message.body) is Repeat.NEVER and (self.gone.done() or self._broken()):
            return
        try:
            handler = self._link.handlers.get(kind)
            if handler is None:
                raise UnknownKind(kind)
            result = await handler(self, message.body)
            answer = {"ok": True} if result is None else result
            raw = pack(kind, RESULT, message.number, answer)
        except Fault as fault:
            raw = pack(kind, FAULT, message.number, {"doc": fault.doc()})
        except Exception as error:
            emit(self._link.log, Events.HANDLER_FAILED, kind=kind, what=repr(error))
            typed = Malformed if isinstance(error, _INVALID_BODY_ERRORS) else Fault
            doc = typed(f"{kind}: {type(error).__name__}").doc()
            raw = pack(kind, FAULT, message.number, {"doc": doc})
        if not self.gone.done():
            self._send(raw)

    def handle_connection_loss(self) -> None:
        """Marks the connection as lost and fails its pending calls."""
        if not self.gone.done():
            self.gone.set_result(None)
        for pending in list(self._pending.values()):
            if not pending.answer.done():
                pending.answer.set_exception(Unreachable("connection lost"))

    def close(self) -> None:
        """Closes the connection; resets it if the last call may not have been received."""
        if self._last_sent_number > self._last_answered_number:
            self._reset()
        else:
            self._close()
        self.handle_connection_loss()

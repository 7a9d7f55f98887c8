"""One connection between two processes.

Calls are numbered; an answer is matched by its connection, its number and its kind.
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

_MAX_GIVEN_UP = 256
_BAD_BODY = (TypeError, LookupError, ValueError, AttributeError)


class Node(Protocol):
    """What a channel needs of the node it belongs to."""

    clock: Clock
    tasks: BackgroundTasks
    log: Any
    handlers: dict[str, Handler]


@dataclass(frozen=True, slots=True)
class _Pending:
    """A call that waits for its answer."""

    kind: str
    answer: asyncio.Future[dict[str, Any]]


def _answered_fault(kind: str, doc: Mapping[str, Any]) -> Fault:
    """The fault that the other side answered with.

    Only a relay can report that nothing was sent; from any other node, the call has arrived.
    """
    fault = rebuild(doc)
    relayed = kind == MessageKind.RELAY and isinstance(fault, NotRelayed)
    if isinstance(fault, NotSent) and not relayed:
        fault = Unreachable(fault.note, fault.retry_after_us, fault.details)
    fault.answered = True
    return fault


class Channel:
    """One connection, over which either side may call.

    Attributes:
        gone: done once the connection is lost.
        unanswered: how many calls in a row had no answer, as far as the caller counts them.
    """

    def __init__(
        self,
        link: Node,
        send: Callable[[bytes], None],
        close: Callable[[], None],
        reset: Callable[[], None] | None = None,
        broken: Callable[[], bool] = lambda: False,
    ) -> None:
        """A new connection.

        Args:
            link: the node that serves what the other side calls.
            send: writes one message.
            close: ends the connection after what was written.
            reset: ends it at once, with what the other machine has not received yet.
            broken: whether the other side has reset it.
        """
        self._link = link
        self._send = send
        self._close = close
        self._reset = reset or close
        self._broken = broken
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._given_up: dict[int, str] = {}
        self._last_sent = self._last_answered = self._last_heard = 0
        self.gone = asyncio.get_running_loop().create_future()
        self.unanswered = 0

    async def call(self, kind: str, body: Mapping[str, Any], us: int) -> dict[str, Any]:
        """Calls the other side and returns its result.

        A call that may not be repeated and is given up here is taken back from the wire, as far as
        the other machine has not received it: the connection is reset.

        Args:
            kind: one of `MessageKind`.
            body: the fields of the request.
            us: how long the answer may take, in microseconds.

        Raises:
            NotSent: nothing has left.
            DeadlineExceeded: no answer came in time; what was asked may still happen.
            Unreachable: the connection was lost; the outcome is unknown.
            Fault: what the other side answered with; its `answered` is set.
        """
        if self.gone.done():
            raise NotSent(kind)
        number = next(self._numbers)
        raw = pack(kind, CALL, number, body)
        answer = asyncio.get_running_loop().create_future()
        self._pending[number] = _Pending(kind, answer)
        self._last_sent = number
        try:
            self._send(raw)
            return await self._link.clock.limit(answer, us)
        finally:
            self._pending.pop(number, None)
            if answer.cancelled() or not answer.done():
                self._give_up(number, kind, repeat_of(kind, body))

    def _give_up(self, number: int, kind: str, repeat: Repeat) -> None:
        """Nobody waits for call `number` any more; an answer that comes must be of its kind."""
        self._given_up[number] = kind
        if len(self._given_up) > _MAX_GIVEN_UP:
            del self._given_up[next(iter(self._given_up))]
        if repeat is Repeat.NEVER:
            self._take_back(number)

    def _take_back(self, number: int) -> None:
        """Resets the connection, unless an answer has shown that call `number` was received."""
        if number > self._last_answered and not self.gone.done():
            self._reset()
            self.mark_lost()

    def feed(self, raw: bytes) -> None:
        """Takes one message that arrived.

        Raises:
            Malformed: it is not a message that can arrive here.
            VersionMismatch: it is of another version.
            UnknownKind: its kind is not known.
        """
        message = unpack(raw)
        if message.flow == CALL:
            if message.number <= self._last_heard:
                raise Malformed(f"{message.kind}: call number")
            self._last_heard = message.number
            self._link.tasks.spawn(self._serve(message))
        elif message.flow in (RESULT, FAULT):
            self._take_answer(message)
        else:
            raise Malformed("flow")

    def _take_answer(self, message: Message) -> None:
        if not 0 < message.number <= self._last_sent:
            raise Malformed(f"{message.kind}: answer to nothing")
        pending = self._pending.get(message.number)
        kind = pending.kind if pending is not None else self._given_up.pop(message.number, None)
        if kind is not None and kind != message.kind:
            raise Malformed(f"{message.kind}: answer to {kind}")
        self._last_answered = max(self._last_answered, message.number)
        if pending is None or pending.answer.done():
            return
        if message.flow == RESULT:
            pending.answer.set_result(message.body)
        else:
            pending.answer.set_exception(_answered_fault(message.kind, message.body["doc"]))

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
            typed = Malformed if isinstance(error, _BAD_BODY) else Fault
            doc = typed(f"{kind}: {type(error).__name__}").doc()
            raw = pack(kind, FAULT, message.number, {"doc": doc})
        if not self.gone.done():
            self._send(raw)

    def mark_lost(self) -> None:
        """Marks the connection lost and fails what waits on it."""
        if not self.gone.done():
            self.gone.set_result(None)
        for pending in list(self._pending.values()):
            if not pending.answer.done():
                pending.answer.set_exception(Unreachable("connection lost"))

    def close(self) -> None:
        """Closes the connection and takes calls that may not have been received from the wire."""
        if self._last_sent > self._last_answered:
            self._reset()
        else:
            self._close()
        self.mark_lost()

"""Request slots: every request runs as a continuation in one of a limited number of slots.

A continuation is a generator that yields the futures it waits for and returns the reply. It needs
less memory and time than an asyncio task. When all slots are taken, new requests fail immediately.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

from petrelhaven.runtime.errors import Busy, DeadlineExceeded, Draining

if TYPE_CHECKING:
    from petrelhaven.proxy.routing.interfaces import Continuation
    from petrelhaven.runtime.clock import Clock

__all__ = ["RequestSlots"]

_Result = TypeVar("_Result")

_DEFAULT_SLOTS = 512


def _never() -> bool:
    return False


class _Slot:
    """A slot for one continuation; `generation` increases each time that it is freed."""

    __slots__ = ("generation", "continuation", "outcome", "has_run_nowhere", "timer", "waits_for")

    generation: int
    continuation: Continuation[Any]
    outcome: asyncio.Future[Any]
    has_run_nowhere: Callable[[], bool]
    timer: asyncio.TimerHandle
    waits_for: asyncio.Future[Any] | None

    def __init__(self) -> None:
        """Creates an empty slot; `RequestSlots.run` sets the other attributes."""
        self.generation = 0
        self.waits_for = None


class RequestSlots:
    """Runs continuations; `shed_count` counts those rejected because all slots were taken."""

    def __init__(self, clock: Clock, slots: int = _DEFAULT_SLOTS) -> None:
        """Creates `slots` empty slots; `clock` measures the time limits."""
        self.clock = clock
        self._slots = [_Slot() for _ in range(slots)]
        self._free = list(range(slots - 1, -1, -1))
        self.shed_count = 0
        self._limit = slots

    @property
    def used(self) -> int:
        """The number of slots in use."""
        return len(self._slots) - len(self._free)

    def resize(self, slots: int) -> None:
        """Sets the maximum number of slots in use; running continuations are not affected."""
        self._limit = slots
        for index in range(len(self._slots), slots):
            self._slots.append(_Slot())
            self._free.append(index)

    def run(
        self,
        continuation: Continuation[_Result],
        time_limit_us: int,
        has_run_nowhere: Callable[[], bool] = _never,
    ) -> asyncio.Future[_Result]:
        """Starts a continuation.

        Args:
            continuation: The continuation to run; it is closed if no slot is free.
            time_limit_us: The time after which `DeadlineExceeded` is thrown into it.
            has_run_nowhere: Returns whether its request certainly ran nowhere, see `end_waits`.

        Returns:
            A future of its result.

        Raises:
            Busy: all slots are taken.
        """
        if not self._free or self.used >= self._limit:
            self.shed_count += 1
            continuation.close()
            raise Busy("every slot is taken")
        index = self._free.pop()
        slot = self._slots[index]
        outcome: asyncio.Future[_Result] = asyncio.get_running_loop().create_future()
        slot.continuation, slot.outcome = continuation, outcome
        slot.has_run_nowhere = has_run_nowhere
        generation = slot.generation
        slot.timer = self.clock.call_later(time_limit_us, lambda: self._expire(index, generation))
        self._resume(index, generation, None, None)
        return outcome

    def end_waits(self) -> None:
        """Throws `Draining` into every continuation whose request ran nowhere."""
        for index in self._used_indices():
            slot = self._slots[index]
            if slot.has_run_nowhere():
                self._interrupt(index, slot.generation, Draining("the proxy drains"))

    def end_all(self) -> None:
        """Throws `DeadlineExceeded` into every continuation; it may still return a result."""
        for index in self._used_indices():
            fault = DeadlineExceeded("the proxy stops")
            self._interrupt(index, self._slots[index].generation, fault)

    def _used_indices(self) -> list[int]:
        free = set(self._free)
        return [index for index in range(len(self._slots)) if index not in free]

    def _expire(self, index: int, generation: int) -> None:
        """Throws `DeadlineExceeded` into a continuation; it may still return a result."""
        self._interrupt(index, generation, DeadlineExceeded("horizon passed"))

    def _interrupt(self, index: int, generation: int, fault: DeadlineExceeded) -> None:
        """Throws `fault` into a continuation, unless another one has the slot by now."""
        slot = self._slots[index]
        if slot.generation == generation:
            slot.waits_for = None
            self._resume(index, generation, None, fault)

    def _wake(self, index: int, generation: int, awaited: asyncio.Future[Any]) -> None:
        """Resumes a continuation with the result of `awaited`, if it still waits for that."""
        slot = self._slots[index]
        if slot.generation != generation or slot.waits_for is not awaited:
            if not awaited.cancelled():
                awaited.exception()
            return
        slot.waits_for = None
        if awaited.cancelled():
            self._resume(index, generation, None, Busy("cancelled"))
        else:
            fault = awaited.exception()
            self._resume(index, generation, None if fault else awaited.result(), fault)

    def _resume(
        self, index: int, generation: int, value: object, fault: BaseException | None
    ) -> None:
        """Runs a continuation until it waits for another future or ends."""
        slot = self._slots[index]
        try:
            if fault is not None:
                awaited = slot.continuation.throw(fault)
            else:
                awaited = slot.continuation.send(value)
        except StopIteration as end:
            self._end(index, end.value, None)
        except Exception as error:
            self._end(index, None, error)
        else:
            if awaited is None:
                slot.continuation.close()
                self._end(index, None, Busy("this node ends"))
                return
            awaited = asyncio.ensure_future(awaited)
            slot.waits_for = awaited
            awaited.add_done_callback(lambda done: self._wake(index, generation, done))

    def _end(self, index: int, result: object, fault: Exception | None) -> None:
        """Frees a slot and completes the future of its outcome."""
        slot = self._slots[index]
        slot.generation += 1
        slot.timer.cancel()
        outcome = slot.outcome
        del slot.continuation, slot.outcome, slot.has_run_nowhere
        slot.waits_for = None
        self._free.append(index)
        if outcome.done():
            return
        if fault is None:
            outcome.set_result(result)
        else:
            outcome.set_exception(fault)

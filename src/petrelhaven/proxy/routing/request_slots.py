"""Request slots: every request in a process is a continuation in one of a fixed number of slots.

A continuation is a generator that yields the futures it waits for and returns the reply. It takes
less memory and time than a task of the event loop, and a full set of slots rejects at once.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

from petrelhaven.runtime.errors import Busy, DeadlineExceeded

if TYPE_CHECKING:
    from petrelhaven.proxy.routing.interfaces import Continuation
    from petrelhaven.runtime.clock import Clock

__all__ = ["RequestSlots"]

_Result = TypeVar("_Result")

_SLOTS = 512


class _Slot:
    """A place for one continuation; `generation` tells the ones that use it in turn apart."""

    __slots__ = ("generation", "continuation", "outcome", "timer", "waits_for")

    generation: int
    continuation: Continuation[Any]
    outcome: asyncio.Future[Any]
    timer: asyncio.TimerHandle
    waits_for: asyncio.Future[Any] | None

    def __init__(self) -> None:
        """An empty slot; what a request needs is set when one enters."""
        self.generation = 0
        self.waits_for = None


class RequestSlots:
    """Runs continuations; `shed_count` counts those rejected because all slots were taken."""

    def __init__(self, clock: Clock, slots: int = _SLOTS) -> None:
        """Makes `slots` empty slots; deadlines are counted on `clock`."""
        self.clock = clock
        self._slots = [_Slot() for _ in range(slots)]
        self._free = list(range(slots - 1, -1, -1))
        self.shed_count = 0
        self._limit = slots

    @property
    def used(self) -> int:
        """How many slots are taken."""
        return len(self._slots) - len(self._free)

    def resize(self, slots: int) -> None:
        """Sets how many slots may be taken; what is under way stays."""
        self._limit = slots
        for index in range(len(self._slots), slots):
            self._slots.append(_Slot())
            self._free.append(index)

    def run(
        self, continuation: Continuation[_Result], time_limit_us: int
    ) -> asyncio.Future[_Result]:
        """Starts a continuation.

        Args:
            continuation: What runs; it is closed if no slot is free.
            horizon_us: After how many microseconds `DeadlineExceeded` is thrown into it.

        Returns:
            A future of its result.

        Raises:
            Busy: All slots are taken.
        """
        if not self._free or self.used >= self._limit:
            self.shed_count += 1
            continuation.close()
            raise Busy("every slot is taken")
        index = self._free.pop()
        slot = self._slots[index]
        outcome: asyncio.Future[_Result] = asyncio.get_running_loop().create_future()
        slot.continuation, slot.outcome = continuation, outcome
        generation = slot.generation
        slot.timer = self.clock.later(time_limit_us, lambda: self._expire(index, generation))
        self._resume(index, generation, None, None)
        return outcome

    def _expire(self, index: int, generation: int) -> None:
        """The horizon has passed; the continuation may still end by itself."""
        slot = self._slots[index]
        if slot.generation == generation:
            slot.waits_for = None
            self._resume(index, generation, None, DeadlineExceeded("horizon passed"))

    def _wake(self, index: int, generation: int, awaited: asyncio.Future[Any]) -> None:
        """What a continuation waited for is done; it goes on, if it waits for that still."""
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
        """Runs a continuation to the next future it waits for, or to its end."""
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
        """Frees a slot and hands its outcome over."""
        slot = self._slots[index]
        slot.generation += 1
        slot.timer.cancel()
        outcome = slot.outcome
        del slot.continuation, slot.outcome
        slot.waits_for = None
        self._free.append(index)
        if outcome.done():
            return
        if fault is None:
            outcome.set_result(result)
        else:
            outcome.set_exception(fault)

"""Orders and reads at any core: taken to the head or the tail, and answered while the caller still waits.

A caller that hears nothing for a second goes to another core, so an order is answered before that: acknowledged, or
declined with the time after which to come again. Until then it follows the head from view to view. Nothing goes on
after its answer, since the caller may have ordered the contrary elsewhere by then. For the same reason an order that
is sent to another core carries the moment at which it ends there, by that core's own clock.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

from petrelhaven.control.consensus.chain import Chain
from petrelhaven.control.consensus.peer_clocks import Expiry
from petrelhaven.control.consensus.view import View
from petrelhaven.runtime.clock import Clock
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
from petrelhaven.transport.reach import Reach

__all__ = ["ANSWER_US", "OrderRouter"]

ANSWER_US = 850_000
"""How long a call of the operator or of a member may take here; its caller waits for a second."""

_ENTER_US = 1_000_000
_LOOK_US = 50_000
_TRANSITION_US = 1_000_000
_PAUSE_SHARE = 0.7
_AFTER_PAUSE_US = 300_000
_TRY_AGAIN = (NotHead, NotReady, ViewSuperseded, Expired, Unreachable, DeadlineExceeded)

Document: TypeAlias = dict[str, Any]
Attempt: TypeAlias = Callable[[str, int], Awaitable[Any]]
StateOf: TypeAlias = Callable[[str], str | None]
Enter: TypeAlias = Callable[[Document], Awaitable[Document]]


class OrderRouter:
    """Takes orders to the head and reads to the tail of the view."""

    def __init__(
        self, clock: Clock, chain: Chain, reach: Reach, name: str, state_of: StateOf
    ) -> None:
        self._clock, self._chain, self._reach, self._name = clock, chain, reach, name
        self._state_of = state_of

    async def submit(self, record: Document, force: bool, within_us: int, enter: Enter) -> Document:
        """Has the head enter `record`; `enter` does so where this core is the head itself."""
        self._decline_after_pause(within_us)

        tries = 0

        async def attempt(head: str, us: int) -> Document:
            nonlocal tries
            tries += 1
            try:
                return await once(head, us)
            except Duplicate:
                if tries == 1:
                    raise
                # what an earlier try of this very call has entered
                return {
                    "seq": self._chain.control_state.seq,
                    "forced": force,
                    "doc": {"in_force_us": 0},
                }

        async def once(head: str, us: int) -> Document:
            if head == self._name:
                return await enter({"rec": record, "force": force, "bound": None})
            expiry = await self._expiry(head, min(us, _ENTER_US))
            body = {"rec": record, "force": force, "bound": expiry.document()}
            return await self._reach.call(head, MessageKind.CHAIN_ENTER, body, us)

        return await self._follow(0, attempt, within_us)

    async def read(self, within_us: int) -> Document:
        """The control state as the tail answers it."""

        async def attempt(tail: str, us: int) -> Document:
            if tail == self._name:
                return self._chain.read()
            return (await self._reach.call(tail, MessageKind.CHAIN_READ, {"what": None}, us))["doc"]

        return await self._follow(-1, attempt, within_us)

    def check(self, bound: list[int] | None) -> None:
        """Expired where an order that another core sent has outlived the call that brought it."""
        expiry = Expiry.read(bound)
        if expiry is not None and not expiry.stands(
            self._chain.confirmation.boot, self._clock.now()
        ):
            raise Expired("the order came after its caller was answered")

    async def _expiry(self, head: str, us: int) -> Expiry:
        """The end of an order of `us` by the clock of `head`, which is asked for it where it isn't known."""
        clocks = self._chain.confirmation.peer_clocks
        if not clocks.knows(head):
            await self._chain.confirmation.ask(head)
        return clocks.expiry(head, us)

    async def _follow(self, place: int, attempt: Attempt, within_us: int) -> Any:
        """What `attempt` answers at the core at `place` of the chain, through changes of the view."""
        end = self._clock.now() + within_us
        while True:
            view = self._chain.view
            self._require_majority()
            left = end - self._clock.now()
            try:
                return await self._watched(attempt(view.chain[place], left), view, end)
            except _TRY_AGAIN as fault:
                if self._clock.now() + _LOOK_US >= end or fault.details.get("final"):
                    raise
                self._require_majority()
            await self._clock.sleep(_LOOK_US)

    async def _watched(self, attempt: Awaitable[Any], view: View, end: int) -> Any:
        """The outcome of one attempt; it is given up with the view, the majority or the time."""
        task = asyncio.ensure_future(attempt)
        brief = end - self._clock.now() <= ANSWER_US
        try:
            while not task.done():
                if self._clock.now() >= end:
                    raise DeadlineExceeded("not confirmed yet; the order may be sent again")
                if self._chain.view is not view:
                    raise NotReady("the view changed")
                self._require_majority()
                await self._glance(task)
                if not task.done() and brief:
                    self._require_heard(view)
            return task.result()
        finally:
            task.cancel()

    async def _glance(self, task: asyncio.Future) -> None:
        """Waits a moment, or until the attempt has ended."""
        ticked = asyncio.Event()
        timer = self._clock.later(_LOOK_US, ticked.set)
        task.add_done_callback(lambda _: ticked.set())
        try:
            await ticked.wait()
        finally:
            timer.cancel()

    def _require_majority(self) -> None:
        """NotReady at once where no majority of the cores has confirmed this one's view lately."""
        chain, now = self._chain, self._clock.now()
        if chain.view is None:
            raise NotReady("no view yet")
        if not chain.confirmation.is_recent and now - chain.adopted > _TRANSITION_US:
            raise NotReady("no majority of the cores answers", details={"final": True})

    def _require_heard(self, view: View) -> None:
        """NotReady where a core of the chain has fallen silent of late: the caller comes again sooner than the view.

        Once that core counts as gone, the next view is a matter of moments, and the order waits for it.
        """
        silent = [n for n in view.chain if n != self._name and self._state_of(n) == "suspect"]
        if silent:
            note = f"nothing heard from {','.join(silent)}; come again"
            raise NotReady(note, details={"final": True})

    def _decline_after_pause(self, within_us: int) -> None:
        """NotReady where this process has just stood still for so long that callers may have gone meanwhile.

        A request tells no time, so how long one that is read after a pause has lain here can't be known.
        """
        self._chain.confirmation.note_pause()
        ended, stood_us = self._chain.confirmation.pause
        lately = self._clock.now() - ended < _AFTER_PAUSE_US
        if lately and stood_us > within_us * _PAUSE_SHARE:
            raise NotReady("this core stood still a moment ago; send the order again")

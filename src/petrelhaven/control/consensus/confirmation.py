"""The majority confirmation: whether most members still accept the view that this node has adopted.

A node acts under its view only for `confirm_us` after it asked what a majority then confirmed; the
others accept no newer view without this node learning it, or losing its majority first.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from petrelhaven.control.consensus.chain_messages import ConfirmAnswer, ConfirmRequest
from petrelhaven.control.consensus.peer_clocks import PeerClocks
from petrelhaven.control.consensus.view import View
from petrelhaven.runtime.errors import Fault
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from petrelhaven.control.consensus.register import Call
    from petrelhaven.control.storage.core_store import CoreStore
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.channel import Channel

__all__ = ["Confirmation"]

_CONFIRM_TIMEOUT_US = 400_000
_PAUSE_US = 300_000


class Confirmation:
    """Asks the other members of the view, counts their answers, and answers theirs.

    Attributes:
        until_us: Up to when a majority's confirmation counts, in clock microseconds.
        asks_minority: Asks only as many members as make a majority while the view is recently
            confirmed.
        connected_proxies: Counts the proxies connected to this node.
        connected_proxy_counts: For each other node, when it reported its count of proxies, and the
            count.
        boot: The clock when this process started.
        pause: When this process last stood still, and for how long, in microseconds.
        peer_clocks: The clocks of the other nodes.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (a part of the chain, which gives each)
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        store: CoreStore,
        call: Call,
        view: Callable[[], View | None],
        adopt: Callable[[View], None],
        confirm_us: int,
        ask_us: int,
    ) -> None:
        """Asks about the view that `view` returns, every `ask_us`; a newer one goes to `adopt`."""
        self._clock, self._tasks, self._store, self._call = clock, tasks, store, call
        self._view, self._adopt = view, adopt
        self._confirm_us, self._ask_us = confirm_us, ask_us
        self.until_us = 0
        self.asks_only_quorum = False
        self.count_connected_proxies: Callable[[], int] = int
        self.connected_proxy_counts: dict[str, tuple[int, int]] = {}
        self.started_at_us = clock.now()
        self.last_pause = (0, 0)
        self.peer_clocks = PeerClocks(clock)
        self._confirmed_at: dict[str, int] = {}
        self._granted_at: dict[str, int] = {}
        self._last_asked = clock.now()
        self._rotation = 0

    @property
    def _name(self) -> str:
        return self._store.name

    @property
    def is_recent(self) -> bool:
        """Whether a majority confirmed the view recently enough to act under it."""
        return self._clock.now() < self.until_us

    def age_us(self) -> int:
        """Microseconds since this node asked what a majority then confirmed."""
        return self._clock.now() - (self.until_us - self._confirm_us)

    def granted_ages_us(self) -> dict[str, int]:
        """For each node, how long ago this one last confirmed a view to it, in microseconds."""
        now = self._clock.now()
        return {name: now - at for name, at in self._granted_at.items()}

    def reset(self) -> None:
        """Forgets the confirmation: another view was adopted."""
        self.until_us = 0

    async def run(self) -> None:
        """Asks again and again."""
        while True:
            self.request_confirmations()
            self._last_asked = self._clock.now()
            await self._clock.sleep(self._ask_us)
            self.record_pause()

    def request_confirmations(self) -> None:
        """Asks the other members of the view, or enough of them."""
        view = self._view()
        if view is None:
            return
        now = self._clock.now()
        self._confirmed_at[self._name] = now
        for name in self._members_to_ask(view, now):
            self._tasks.spawn(self._ask(name, view.number, now))
        self._count(view)

    def _members_to_ask(self, view: View, now: int) -> list[str]:
        others = [name for name in view.members if name != self._name]
        if not self.asks_only_quorum or now >= self.until_us - self._confirm_us // 2:
            return others
        self._rotation += 1
        return [others[(self._rotation + i) % len(others)] for i in range(view.quorum - 1)]

    def record_pause(self) -> None:
        """Notes when this process last stood still, and for how long.

        It should have asked every `ask_us`.
        """
        stood_us = self._clock.now() - self._last_asked - self._ask_us
        if stood_us > _PAUSE_US:
            self.last_pause = (self._clock.now(), stood_us)

    async def request_confirmation(self, name: str) -> None:
        """Asks one node whether it accepts the view; the answer counts, and shows its clock."""
        view = self._view()
        if view is not None:
            await self._ask(name, view.number, self._clock.now())

    async def _ask(self, name: str, number: int, at: int) -> None:
        request = ConfirmRequest(self._name, number, self.count_connected_proxies())
        try:
            body = await self._call(
                name, MessageKind.VIEW_CONFIRM, request.to_body(), _CONFIRM_TIMEOUT_US
            )
        except Fault:
            return
        answer = ConfirmAnswer.from_body(body)
        self.peer_clocks.record_reading(name, answer.boot, answer.clock_us)
        view = self._view()
        if answer.newer and view and answer.newer.number > view.number:
            self._adopt(answer.newer)
        elif answer.ok and view and view.number == number:
            self._confirmed_at[name] = max(at, self._confirmed_at.get(name, 0))
            self._count(view)

    def _count(self, view: View) -> None:
        """Moves `until_us` on to what a majority of the members of `view` has confirmed."""
        moments = sorted((self._confirmed_at.get(name, 0) for name in view.members), reverse=True)
        majority_at = moments[view.quorum - 1]
        accepted = self._store.vote["value"]
        if majority_at and accepted and accepted["n"] <= view.number:
            self.until_us = max(self.until_us, majority_at + self._confirm_us)

    async def handle_confirm(
        self, _channel: Channel | None, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Answers another node's `view.confirm`."""
        return self._answer(ConfirmRequest.from_body(body)).to_body()

    def _answer(self, request: ConfirmRequest) -> ConfirmAnswer:
        """Confirms the view unless another one was accepted here, or the disk refuses writes."""
        now = self._clock.now()
        self.connected_proxy_counts[request.name] = (now, request.connected_proxies)
        accepted = View.from_optional(self._store.vote["value"])
        ok = (
            accepted is not None
            and accepted.number == request.view_number
            and accepted.is_member_disk(self._name, self._store.disk)
            and not self._store.refuses
        )
        if ok:
            self._granted_at[request.name] = now
        view = self._view()
        newer = view if view and view.number > request.view_number else None
        return ConfirmAnswer(ok, newer, self.started_at_us, now)

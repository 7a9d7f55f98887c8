"""Confirmation of the view: whether a majority of the members still accepts the adopted view.

A node acts under its view only while a confirmation is valid, that is, for `validity_us` after it
sent the requests that a majority then confirmed. A newer view can be accepted only if this node
learns of it or loses its majority first.
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
    from petrelhaven.control.storage.node_store import ControlNodeStore
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.channel import Channel

__all__ = ["Confirmation"]

_CONFIRM_TIMEOUT_US = 400_000
_MIN_REPORTED_PAUSE_US = 300_000


class Confirmation:
    """Asks the other members to confirm the view, counts their answers, and answers their requests.

    Attributes:
        valid_until_us: Clock time until which the confirmation by a majority is valid.
        asks_only_quorum: Whether to ask only as many members as make a majority while the last
            confirmation is recent.
        count_connected_proxies: Returns the number of proxies that are connected to this node.
        connected_proxy_counts: For each other node, the clock time of its last request and the
            number of connected proxies in that request.
        started_at_us: Clock time at which this process started.
        last_pause: Clock time at which the last pause of this process ended, and its length in
            microseconds.
        peer_clocks: Clock readings of the other nodes.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (dependencies that the chain passes)
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        store: ControlNodeStore,
        call: Call,
        get_view: Callable[[], View | None],
        adopt: Callable[[View], None],
        validity_us: int,
        interval_us: int,
    ) -> None:
        """Creates a confirmation that is not valid.

        Args:
            clock: Monotonic clock of this node.
            tasks: Background tasks of this node.
            store: Stores the vote of this node.
            call: Calls another control node.
            get_view: Returns the view that this node has adopted.
            adopt: Called with a newer view that another node answers.
            validity_us: How long the confirmation by a majority is valid.
            interval_us: How often the other members are asked.
        """
        self._clock, self._tasks, self._store, self._call = clock, tasks, store, call
        self._get_view, self._adopt = get_view, adopt
        self._validity_us, self._interval_us = validity_us, interval_us
        self.valid_until_us = 0
        self.asks_only_quorum = False
        self.count_connected_proxies: Callable[[], int] = int
        self.connected_proxy_counts: dict[str, tuple[int, int]] = {}
        self.started_at_us = clock.now()
        self.last_pause = (0, 0)
        self.peer_clocks = PeerClocks(clock)
        self._confirmed_at: dict[str, int] = {}
        self._granted_at: dict[str, int] = {}
        self._last_asked_at = clock.now()
        self._rotation = 0

    @property
    def _name(self) -> str:
        return self._store.name

    @property
    def is_recent(self) -> bool:
        """Whether the confirmation by a majority is still valid."""
        return self._clock.now() < self.valid_until_us

    def age_us(self) -> int:
        """Microseconds since this node sent the requests that a majority then confirmed."""
        return self._clock.now() - (self.valid_until_us - self._validity_us)

    def granted_ages_us(self) -> dict[str, int]:
        """For each node, microseconds since this node last confirmed a view to it."""
        now = self._clock.now()
        return {name: now - at for name, at in self._granted_at.items()}

    def reset(self) -> None:
        """Invalidates the confirmation, since another view was adopted."""
        self.valid_until_us = 0

    async def run(self) -> None:
        """Asks for confirmations periodically."""
        while True:
            self.request_confirmations()
            self._last_asked_at = self._clock.now()
            await self._clock.sleep(self._interval_us)
            self.record_pause()

    def request_confirmations(self) -> None:
        """Asks the other members of the view, or as many of them as make a majority."""
        view = self._get_view()
        if view is None:
            return
        now = self._clock.now()
        self._confirmed_at[self._name] = now
        for name in self._members_to_ask(view, now):
            self._tasks.spawn(self._request_from(name, view.number, now))
        self._update_validity(view)

    def _members_to_ask(self, view: View, now: int) -> list[str]:
        others = [name for name in view.members if name != self._name]
        if not self.asks_only_quorum or now >= self.valid_until_us - self._validity_us // 2:
            return others
        self._rotation += 1
        return [others[(self._rotation + i) % len(others)] for i in range(view.quorum - 1)]

    def record_pause(self) -> None:
        """Updates `last_pause` if this process was paused since it last asked the others.

        Without a pause, the process asks once in each interval.
        """
        paused_us = self._clock.now() - self._last_asked_at - self._interval_us
        if paused_us > _MIN_REPORTED_PAUSE_US:
            self.last_pause = (self._clock.now(), paused_us)

    async def request_confirmation(self, name: str) -> None:
        """Asks one node to confirm the view, and records the clock reading of its answer."""
        view = self._get_view()
        if view is not None:
            await self._request_from(name, view.number, self._clock.now())

    async def _request_from(self, name: str, view_number: int, asked_at: int) -> None:
        request = ConfirmRequest(self._name, view_number, self.count_connected_proxies())
        try:
            body = await self._call(
                name, MessageKind.VIEW_CONFIRM, request.to_body(), _CONFIRM_TIMEOUT_US
            )
        except Fault:
            return
        answer = ConfirmAnswer.from_body(body)
        self.peer_clocks.record_reading(name, answer.boot, answer.clock_us)
        view = self._get_view()
        if answer.newer and view and answer.newer.number > view.number:
            self._adopt(answer.newer)
        elif answer.ok and view and view.number == view_number:
            self._confirmed_at[name] = max(asked_at, self._confirmed_at.get(name, 0))
            self._update_validity(view)

    def _update_validity(self, view: View) -> None:
        """Extends `valid_until_us` by what a majority of the members of `view` has confirmed."""
        times = sorted((self._confirmed_at.get(name, 0) for name in view.members), reverse=True)
        majority_at = times[view.quorum - 1]
        accepted = self._store.vote["value"]
        if majority_at and accepted and accepted["n"] <= view.number:
            self.valid_until_us = max(self.valid_until_us, majority_at + self._validity_us)

    async def handle_confirm(
        self, _channel: Channel | None, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Handles a `view.confirm` from another node."""
        return self._answer(ConfirmRequest.from_body(body)).to_body()

    def _answer(self, request: ConfirmRequest) -> ConfirmAnswer:
        """Confirms the view unless this node accepted another one or its disk refuses writes."""
        now = self._clock.now()
        self.connected_proxy_counts[request.name] = (now, request.connected_proxies)
        accepted = View.from_optional(self._store.vote["value"])
        ok = (
            accepted is not None
            and accepted.number == request.view_number
            and accepted.is_member_disk(self._name, self._store.disk_id)
            and not self._store.refuses_writes
        )
        if ok:
            self._granted_at[request.name] = now
        view = self._get_view()
        newer = view if view and view.number > request.view_number else None
        return ConfirmAnswer(ok, newer, self.started_at_us, now)

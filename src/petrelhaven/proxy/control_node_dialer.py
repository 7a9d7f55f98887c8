"""Opens a channel to one of several control nodes, without waiting long for those that are silent.

Attempts start one after the other with a short delay and then run at the same time, as RFC 8305
describes for the addresses of one host. A node that is near and answers quickly is thus chosen
first, and silent nodes cost no more than the delay each.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from petrelhaven.runtime.errors import Fault

if TYPE_CHECKING:
    from petrelhaven.proxy.control_node_search import ControlNodeSearch
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.channel import Channel
    from petrelhaven.transport.link import Link

__all__ = ["ConnectLimits", "ControlNodeDialer", "OpenedChannel"]

_ATTEMPT_DELAY_US = 250_000
_ALL_AVOIDED_PAUSE_US = 100_000

_Attempt = asyncio.Task["Channel | None"]


class ConnectLimits(NamedTuple):
    """How long one attempt may take and how long its address is avoided if it fails."""

    timeout_us: int
    backoff_us: int


class OpenedChannel(NamedTuple):
    """An open channel to the control node at `address`."""

    address: str
    channel: Channel


def _close_unused(attempt: _Attempt) -> None:
    """Closes the channel of an attempt that succeeded after another one."""
    channel = None if attempt.cancelled() else attempt.result()
    if channel is not None:
        channel.close()


class ControlNodeDialer:
    """Tries the addresses that a search selects until one of them accepts a connection."""

    def __init__(
        self, clock: Clock, tasks: BackgroundTasks, link: Link, search: ControlNodeSearch
    ) -> None:
        """Uses the parts of a proxy.

        Args:
            clock: Monotonic clock in microseconds.
            tasks: Runs the attempts.
            link: Opens channels to control nodes.
            search: Selects the addresses.
        """
        self._clock, self._tasks, self._link, self._search = clock, tasks, link, search

    async def open_channel(self, limits: ConnectLimits) -> OpenedChannel:
        """Returns the first channel that opens; tries all addresses again until one does."""
        attempts: dict[_Attempt, str] = {}
        try:
            while True:
                self._start_attempt(attempts, limits)
                await self._wait_for_any(attempts)
                opened = self._take_opened(attempts, limits)
                if opened is not None:
                    return opened
        finally:
            for attempt, address in attempts.items():
                self._search.avoid(address, limits.backoff_us)
                attempt.add_done_callback(_close_unused)

    def _start_attempt(self, attempts: dict[_Attempt, str], limits: ConnectLimits) -> None:
        """Starts an attempt at the next address, if one is usable and not being tried."""
        address = self._search.next_address(frozenset(attempts.values()))
        if address is None:
            return
        attempt = self._tasks.spawn(self._try(address, limits.timeout_us))
        if attempt is not None:
            attempts[attempt] = address

    async def _try(self, address: str, timeout_us: int) -> Channel | None:
        """Opens a channel; returns None if the node is unreachable."""
        try:
            return await self._clock.wait_for(self._link.open(address), timeout_us)
        except Fault:
            return None

    async def _wait_for_any(self, attempts: dict[_Attempt, str]) -> None:
        """Waits until an attempt ends or the next one is due."""
        if not attempts:
            await self._clock.sleep(_ALL_AVOIDED_PAUSE_US)
            return
        delay_s = _ATTEMPT_DELAY_US / 1e6
        await asyncio.wait(attempts, timeout=delay_s, return_when=asyncio.FIRST_COMPLETED)

    def _take_opened(
        self, attempts: dict[_Attempt, str], limits: ConnectLimits
    ) -> OpenedChannel | None:
        """Removes the attempts that have ended, up to the first one with a channel."""
        for attempt in [attempt for attempt in attempts if attempt.done()]:
            address = attempts.pop(attempt)
            channel = None if attempt.cancelled() else attempt.result()
            if channel is not None:
                return OpenedChannel(address, channel)
            self._search.avoid(address, limits.backoff_us)
        return None

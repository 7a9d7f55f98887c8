"""Collects the control states of proxies while a control node has no majority.

Without a majority, the node grants no leases, and proxies don't keep their core connection to it.
Each proxy is therefore asked when it connects.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from petrelhaven.runtime.errors import Conflict, Fault
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    import logbook

    from petrelhaven.runtime.clock import Clock
    from petrelhaven.transport.channel import Channel

__all__ = ["ProxySurvey"]

_SURVEY_DURATION_US = 4_000_000
_SNAPSHOT_TIMEOUT_US = 600_000


class ProxySurvey:
    """Asks each proxy that connects to this node for its control state while a survey is open.

    Attributes:
        is_open: Whether a survey is running.
    """

    def __init__(self, clock: Clock, log: logbook.Logger | None = None) -> None:
        """Creates a survey that is not open."""
        self._clock, self._log = clock, log
        self.is_open = False
        self._snapshots: dict[str, dict[str, Any]] = {}
        self._asked: set[str] = set()

    async def collect(self) -> dict[str, dict[str, Any]]:
        """Runs a survey and returns control states by proxy name.

        The survey is open long enough for a proxy to leave an inactive node and to try the others.

        Raises:
            Conflict: Another survey is open.
        """
        if self.is_open:
            raise Conflict("another survey of the proxies is running")
        self.is_open, self._snapshots, self._asked = True, {}, set()
        try:
            await self._clock.sleep(_SURVEY_DURATION_US)
            return self._snapshots
        finally:
            self.is_open = False

    async def request_snapshot(self, channel: Channel, proxy: str) -> None:
        """Requests the control state of a proxy over its own connection, once per survey."""
        if not self.is_open or proxy in self._asked:
            return
        self._asked.add(proxy)
        try:
            answer = await channel.call(
                MessageKind.PROXY_SNAPSHOT, {"name": proxy}, _SNAPSHOT_TIMEOUT_US
            )
        except Fault as fault:
            self._asked.discard(proxy)
            emit(self._log, Events.SURVEY_UNANSWERED, node=proxy, fault=fault.code)
            return
        if answer["frame"]:
            self._snapshots[proxy] = answer["frame"]

"""Control states of proxies, gathered over their connections while a control node has no majority.

Without a majority it grants no lease, so that no proxy holds its core connection to it: each is
asked as it comes by.
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

_OPEN_US = 4_000_000
_ASK_TIMEOUT_US = 600_000


class ProxySurvey:
    """While it is open, each proxy connected to this node is asked for its control state."""

    def __init__(self, clock: Clock, log: logbook.Logger | None = None) -> None:
        """Is closed at first."""
        self._clock, self._log = clock, log
        self.is_open = False
        self._snapshots: dict[str, dict[str, Any]] = {}
        self._asked: set[str] = set()

    async def collect(self) -> dict[str, dict[str, Any]]:
        """Control states by proxy.

        Open long enough for a proxy to leave a node that is not active and try the others.

        Raises:
            Conflict: a survey is open already.
        """
        if self.is_open:
            raise Conflict("edges are being asked already")
        self.is_open, self._snapshots, self._asked = True, {}, set()
        try:
            await self._clock.sleep(_OPEN_US)
            return self._snapshots
        finally:
            self.is_open = False

    async def request_snapshot(self, channel: Channel, proxy: str) -> None:
        """Asks a proxy over its own connection, once a survey."""
        if not self.is_open or proxy in self._asked:
            return
        self._asked.add(proxy)
        try:
            answer = await channel.call(
                MessageKind.PROXY_SNAPSHOT, {"name": proxy}, _ASK_TIMEOUT_US
            )
        except Fault as fault:
            self._asked.discard(proxy)
            emit(self._log, Events.SURVEY_UNANSWERED, node=proxy, fault=fault.code)
            return
        if answer["frame"]:
            self._snapshots[proxy] = answer["frame"]

"""Takes a control node out of service while its disk refuses writes."""

from __future__ import annotations

import contextlib
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from petrelhaven.runtime.errors import DiskRefused, Fault
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from petrelhaven.control.consensus.node_services import NodeServices
    from petrelhaven.transport.channel import Channel

__all__ = ["DiskWatch"]

_FIRST_RETRY_US = 100_000
_LAST_RETRY_US = 1_000_000
_NOTIFY_TIMEOUT_US = 800_000
_REPORT_LIFETIME_US = 3_000_000


class DiskWatch:
    """Retries a refusing disk; notifies the other control nodes, and is notified by them.

    A node that refuses is left out of the next view by the others, and let in again once it takes
    writes. One that has not repeated its notice for a while is taken to write again.
    """

    def __init__(self, core: NodeServices) -> None:
        """Watches the store of `core`."""
        self._core = core
        self._refused_at: dict[str, int] = {}
        core.store.on_turn.append(self._changed)

    def start(self) -> None:
        """Begins to try again if the disk refused already when the node started."""
        if self._core.store.refuses:
            self._core.tasks.spawn(self._retry())

    def takes_writes(self, name: str) -> bool:
        """Whether the disk of control node `name` takes writes, as far as is known."""
        if name == self._core.name:
            return not self._core.store.refuses
        at = self._refused_at.get(name)
        return at is None or self._core.clock.now() - at > _REPORT_LIFETIME_US

    async def _retry(self) -> None:
        wait_us = _FIRST_RETRY_US
        while self._core.store.refuses:
            self._notify_all()
            await self._core.clock.sleep(wait_us)
            wait_us = min(2 * wait_us, _LAST_RETRY_US)
            with contextlib.suppress(DiskRefused):
                self._core.store.recover()

    def _changed(self) -> None:
        if self._core.store.refuses:
            self.start()
        else:
            self._notify_all()

    def _notify_all(self) -> None:
        for name in self._core.roster.living("core"):
            if name != self._core.name:
                self._core.tasks.spawn(self._notify(name))

    async def _notify(self, name: str) -> None:
        body = {"name": self._core.name, "refuses": self._core.store.refuses}
        with contextlib.suppress(Fault):
            await self._core.call(name, MessageKind.DISK_STATE_CHANGED, body, _NOTIFY_TIMEOUT_US)

    async def handle_notice(self, _channel: Channel | None, body: Mapping[str, Any]) -> None:
        """Another node notifies that its disk refuses writes, or takes them again."""
        name, refuses = body["name"], body["refuses"]
        if name not in self._core.roster.peers:
            return
        if refuses:
            self._refused_at[name] = self._core.clock.now()
        else:
            self._refused_at.pop(name, None)
        self._core.views.check_soon()

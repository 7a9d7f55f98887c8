"""Excludes a control node from views while its disk refuses writes."""

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
_MAX_RETRY_US = 1_000_000
_NOTICE_TIMEOUT_US = 800_000
_NOTICE_VALIDITY_US = 3_000_000


class DiskWatch:
    """Retries writes on a refusing disk, and exchanges notices of disk state with other nodes.

    The other control nodes leave a node whose disk refuses writes out of the next view, and admit
    it again once the disk takes writes. A notice expires if it is not repeated; the disk then
    counts as writable.
    """

    def __init__(self, node: NodeServices) -> None:
        """Watches the store of `node`."""
        self._node = node
        self._refused_at: dict[str, int] = {}
        node.store.on_refusal_change.append(self._on_disk_state_changed)

    def start(self) -> None:
        """Starts retrying if the disk refuses writes at startup."""
        if self._node.store.refuses_writes:
            self._node.tasks.spawn(self._retry())

    def takes_writes(self, name: str) -> bool:
        """Whether the disk of control node `name` takes writes, according to its last notice."""
        if name == self._node.name:
            return not self._node.store.refuses_writes
        refused_at = self._refused_at.get(name)
        return refused_at is None or self._node.clock.now() - refused_at > _NOTICE_VALIDITY_US

    async def _retry(self) -> None:
        delay_us = _FIRST_RETRY_US
        while self._node.store.refuses_writes:
            self._notify_all()
            await self._node.clock.sleep(delay_us)
            delay_us = min(2 * delay_us, _MAX_RETRY_US)
            with contextlib.suppress(DiskRefused):
                self._node.store.recover()

    def _on_disk_state_changed(self) -> None:
        if self._node.store.refuses_writes:
            self.start()
        else:
            self._notify_all()

    def _notify_all(self) -> None:
        for name in self._node.roster.living_peers("core"):
            if name != self._node.name:
                self._node.tasks.spawn(self._notify(name))

    async def _notify(self, name: str) -> None:
        body = {"name": self._node.name, "refuses": self._node.store.refuses_writes}
        with contextlib.suppress(Fault):
            await self._node.call(name, MessageKind.DISK_STATE_CHANGED, body, _NOTICE_TIMEOUT_US)

    async def handle_notice(self, _channel: Channel | None, body: Mapping[str, Any]) -> None:
        """Handles a notice that the disk of another node refuses or takes writes."""
        name, refuses = body["name"], body["refuses"]
        if name not in self._node.roster.peers:
            return
        if refuses:
            self._refused_at[name] = self._node.clock.now()
        else:
            self._refused_at.pop(name, None)
        self._node.views.check_soon()

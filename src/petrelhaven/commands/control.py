"""petrelhaven-control: the control daemon."""

from __future__ import annotations

import contextlib
import os
import random
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING

from petrelhaven.control.base_node import BaseControlNode, ControlNodeIdentity, NodeResources
from petrelhaven.control.interface.control_interface import ControlInterface
from petrelhaven.control.node import ControlNode
from petrelhaven.control.resumable.control_interface import ResumableControlInterface
from petrelhaven.control.resumable.member_protocol import MemberWire
from petrelhaven.control.resumable.node import ResumableControlNode
from petrelhaven.control.resumable.platform_client import PlatformClient
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.control.storage.data_folder import DataFolder
from petrelhaven.control.storage.disk import FolderDisk
from petrelhaven.control.storage.node_store import ControlNodeStore
from petrelhaven.proxy.resumable.member_protocol import Wire
from petrelhaven.runtime.daemon import Daemon
from petrelhaven.runtime.errors import Damaged, WrongNode
from petrelhaven.transport.light_http import LightHttpServer

if TYPE_CHECKING:
    from petrelhaven.transport.http_server import HttpServer

__all__ = ["main"]

_HEARTBEAT_US = 1_200_000
_CONNECTION_SESSIONS, _RESUMABLE_SESSIONS = "held", "kept"
"""Values of the setting `path`: which kind of sessions the node is for."""


def _make_node(daemon: Daemon) -> BaseControlNode:
    if daemon.settings.path == _CONNECTION_SESSIONS:
        return _make_connection_node(daemon)
    return _make_resumable_node(daemon)


def _resources(daemon: Daemon) -> NodeResources:
    return NodeResources(
        daemon.clock,
        daemon.tasks,
        daemon.link,
        FolderDisk(daemon.settings.data),
        random.SystemRandom(),
        daemon.log,
    )


def _make_connection_node(daemon: Daemon) -> ControlNode:
    settings = daemon.settings
    node = ControlNode(
        ControlNodeIdentity(settings.name, settings.zone, daemon.seeds),
        _resources(daemon),
        PlatformClient(settings.platform),
        MemberWire(daemon.clock, Wire(daemon.clock, daemon.tasks)),
        _HEARTBEAT_US,
    )
    ControlInterface(node, daemon.http_server, lambda: node.settings(), accepts_announcements=True)
    return node


def _make_resumable_node(daemon: Daemon) -> ResumableControlNode:
    settings = daemon.settings
    node = ResumableControlNode(
        ControlNodeIdentity(settings.name, settings.zone, daemon.seeds),
        _resources(daemon),
        PlatformClient(settings.platform),
    )
    ResumableControlInterface(node, daemon.http_server)
    return node


async def _leave(node: BaseControlNode) -> None:
    await node.drain()


class _ControlDaemon(Daemon):
    @property
    def _serves_connection_sessions(self) -> bool:
        return bool(self.settings.path == _CONNECTION_SESSIONS)

    def make_http_server(  # type: ignore[override]  # both kinds serve the same calls
        self, host: str, port: int
    ) -> HttpServer | LightHttpServer:
        """The HTTP server for the kind of sessions that this node is for."""
        if self._serves_connection_sessions:
            return LightHttpServer(host, port, log=self.log)
        return super().make_http_server(host, port)

    def prepare(self) -> None:
        """Opens the data folder once before listening.

        Raises:
            WrongNode: it belongs to another node, or to one for the other kind of sessions.
        """
        with contextlib.suppress(Damaged):  # the node comes back as an empty one
            self.check()
        folder = FolderDisk(self.settings.data)
        state_class = ControlState if self._serves_connection_sessions else None
        ControlNodeStore(
            folder, self.settings.name, random.SystemRandom(), self.log, state=state_class
        )
        folder.close()

    def check(self) -> None:
        """Reads the data folder, if there is one, without writing.

        Raises:
            Damaged: the folder can't be read.
            WrongNode: as for `prepare`.
        """
        if not os.path.isdir(self.settings.data):
            return
        folder = DataFolder(self.settings.data)
        if folder.name not in (None, self.settings.name):
            raise WrongNode(f"the data folder belongs to {folder.name}, not {self.settings.name}")
        is_connection_state = isinstance(folder.control_state, ControlState)
        path = _CONNECTION_SESSIONS if is_connection_state else _RESUMABLE_SESSIONS
        if folder.name and path != self.settings.path:
            raise WrongNode(
                f"the data folder holds control state of the path {path}, not {self.settings.path}"
            )


def main(argv: Sequence[str] | None = None) -> None:
    """Runs a control node until it is told to stop."""
    daemon = _ControlDaemon(
        "petrelhaven-control",
        "Core daemon: keeps the manifest, the epochs and the leases.",
        True,
        _make_node,
        _leave,
    )
    sys.exit(daemon.main(argv))


if __name__ == "__main__":
    main()

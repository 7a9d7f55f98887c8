"""petrelhaven-control: the core daemon."""

import os
import random
import sys

from petrelhaven.control.base_node import ControlNodeIdentity, NodeResources
from petrelhaven.control.interface.control_interface import ControlInterface
from petrelhaven.control.node import ControlNode
from petrelhaven.control.resumable.control_interface import ResumableControlInterface
from petrelhaven.control.resumable.member_protocol import MemberWire
from petrelhaven.control.resumable.node import ResumableControlNode
from petrelhaven.control.resumable.platform_client import PlatformClient
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.control.storage.core_store import CoreStore
from petrelhaven.control.storage.data_folder import DataFolder
from petrelhaven.control.storage.disk import Folder
from petrelhaven.proxy.resumable.member_protocol import Wire
from petrelhaven.runtime.daemon import Daemon
from petrelhaven.runtime.errors import Damaged, WrongNode
from petrelhaven.transport.light_http import LightHttpServer

__all__ = ["main"]


_HEARTBEAT_US = 1_200_000


def _make_held(d):
    s = d.settings
    node = ControlNode(
        ControlNodeIdentity(s.name, s.zone, d.seeds),
        NodeResources(d.clock, d.tasks, d.link, Folder(s.data), random.SystemRandom(), d.log),
        PlatformClient(s.platform),
        MemberWire(d.clock, Wire(d.clock, d.tasks)),
        _HEARTBEAT_US,
    )
    ControlInterface(node, d.http_server, lambda: node.settings(), announced=True)
    return node


def _make(d):
    s = d.settings
    if s.path == "held":
        return _make_held(d)
    core = ResumableControlNode(
        ControlNodeIdentity(s.name, s.zone, d.seeds),
        NodeResources(d.clock, d.tasks, d.link, Folder(s.data), random.SystemRandom(), d.log),
        PlatformClient(s.platform),
    )
    ResumableControlInterface(core, d.http_server)
    return core


async def _leave(core):
    await core.drain()


class _ControlDaemon(Daemon):
    def make_http_server(self, host, port):
        """The face of the path that this core runs."""
        return (
            LightHttpServer(host, port, log=self.log)
            if self.settings.path == "held"
            else super().make_http_server(host, port)
        )

    def prepare(self):
        """Looks into the data folder before listening; another node's folder, or another path's, is declined."""
        try:
            self.check()
        except Damaged:
            pass  # the core comes back as an empty one
        f = Folder(self.settings.data)
        CoreStore(
            f,
            self.settings.name,
            random.SystemRandom(),
            self.log,
            state=ControlState if self.settings.path == "held" else None,
        )
        f.close()

    def check(self):
        """Looks into the data folder, if there is one, without writing."""
        if os.path.isdir(self.settings.data):
            folder = DataFolder(self.settings.data)
            if folder.name not in (None, self.settings.name):
                raise WrongNode(f"the data folder belongs to {folder.name}, not {self.settings.name}")
            path = "held" if isinstance(folder.control_state, ControlState) else "kept"
            if folder.name and path != self.settings.path:
                raise WrongNode(
                    f"the data folder holds control state of the path {path}, not {self.settings.path}"
                )


def main(argv=None):
    """Runs a core until it is told to stop."""
    sys.exit(
        _ControlDaemon(
            "petrelhaven-control",
            "Core daemon: keeps the manifest, the epochs and the leases.",
            True,
            _make,
            _leave,
        ).main(argv)
    )


if __name__ == "__main__":
    main()

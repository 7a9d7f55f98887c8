"""petrelhaven-control: the core daemon."""

import os
import random
import sys

from petrelhaven.control.base_node import Core
from petrelhaven.control.interface.control_interface import SeatFace
from petrelhaven.control.node import Seat
from petrelhaven.control.resumable.control_interface import CoreFace, Platform
from petrelhaven.control.resumable.member_protocol import MemberWire
from petrelhaven.control.state.control_state import Ledger
from petrelhaven.control.storage.core_store import CoreStore
from petrelhaven.control.storage.data_folder import Relic
from petrelhaven.control.storage.disk import Folder
from petrelhaven.proxy.resumable.member_protocol import Wire
from petrelhaven.runtime.daemon import Daemon
from petrelhaven.runtime.errors import Damaged, Misplaced
from petrelhaven.transport.light_http import LightFace

__all__ = ["main"]


_BEAT_US = 1_200_000


def _make_held(d):
    s = d.set
    seat = Seat(
        s.name,
        s.hall,
        d.seeds,
        d.clock,
        d.nest,
        d.link,
        Folder(s.data),
        random.SystemRandom(),
        Platform(s.platform),
        MemberWire(d.clock, Wire(d.clock, d.nest)),
        _BEAT_US,
        d.log,
    )
    SeatFace(seat, d.face, lambda: seat.settings(), announced=True)
    return seat


def _make(d):
    s = d.set
    if s.path == "held":
        return _make_held(d)
    core = Core(
        s.name,
        s.hall,
        d.seeds,
        d.clock,
        d.nest,
        d.link,
        Folder(s.data),
        random.SystemRandom(),
        Platform(s.platform),
        d.log,
    )
    CoreFace(core, d.face)
    return core


async def _leave(core):
    await core.drain()


class _ControlDaemon(Daemon):
    def make_face(self, host, port):
        """The face of the path that this core runs."""
        return (
            LightFace(host, port, log=self.log)
            if self.set.path == "held"
            else super().make_face(host, port)
        )

    def prepare(self):
        """Looks into the data folder before listening; another node's folder, or another path's, is declined."""
        try:
            self.check()
        except Damaged:
            pass  # the core comes back as an empty one
        f = Folder(self.set.data)
        CoreStore(
            f,
            self.set.name,
            random.SystemRandom(),
            self.log,
            state=Ledger if self.set.path == "held" else None,
        )
        f.close()

    def check(self):
        """Looks into the data folder, if there is one, without writing."""
        if os.path.isdir(self.set.data):
            relic = Relic(self.set.data)
            if relic.name not in (None, self.set.name):
                raise Misplaced(f"the data folder belongs to {relic.name}, not {self.set.name}")
            path = "held" if isinstance(relic.realm, Ledger) else "kept"
            if relic.name and path != self.set.path:
                raise Misplaced(
                    f"the data folder holds control state of the path {path}, not {self.set.path}"
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

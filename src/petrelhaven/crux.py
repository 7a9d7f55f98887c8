"""crux: the core daemon."""
import random
import sys
import time

from .creed.daemon import Daemon
from .creed.disk import Folder
from .creed.event import emit
from .helm.core import Core
from .helm.face import CoreFace, Platform
from .helm.memory import Memory

__all__ = ["main"]


def _make(d):
    s = d.set
    core = Core(s.name, s.hall, d.seeds, d.clock, d.nest, d.link, Folder(s.data), random.SystemRandom(), Platform(s.platform),
                time.time_ns() // 1_000_000, d.log)
    CoreFace(core, d.face)
    return core


async def _leave(core):
    emit(core.log, 103, name=core.name)
    core.roster.left = True
    for n in core.roster.living():
        core.link.tell(core.roster.addr_of(n), "kith.ack", {"nonce": 0, "src": core.link.addr, "news": [core.roster.me()]})
    emit(core.log, 104, name=core.name)


class _Crux(Daemon):
    def prepare(self):
        """Looks into the data folder before listening; another node's folder is declined."""
        f = Folder(self.set.data)
        Memory(f, self.set.name, random.SystemRandom(), self.log)
        f.close()


def main(argv=None):
    """Runs a core until it is told to stop."""
    sys.exit(_Crux("crux", "Core daemon: keeps the manifest, the epochs and the leases.", True, _make, _leave).main(argv))


if __name__ == "__main__":
    main()

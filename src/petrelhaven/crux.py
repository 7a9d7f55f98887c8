"""crux: the core daemon."""
import os
import random
import sys

from .creed.daemon import Daemon
from .creed.disk import Folder
from .creed.fault import Misplaced
from .helm.core import Core
from .helm.face import CoreFace, Platform
from .helm.memory import Memory
from .helm.relic import Relic

__all__ = ["main"]


def _make(d):
    s = d.set
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


class _Crux(Daemon):
    def prepare(self):
        """Looks into the data folder before listening; another node's folder is declined."""
        f = Folder(self.set.data)
        Memory(f, self.set.name, random.SystemRandom(), self.log)
        f.close()

    def check(self):
        """Looks into the data folder, if there is one, without writing."""
        if os.path.isdir(self.set.data):
            relic = Relic(self.set.data)
            if relic.name not in (None, self.set.name):
                raise Misplaced(f"the data folder belongs to {relic.name}, not {self.set.name}")


def main(argv=None):
    """Runs a core until it is told to stop."""
    sys.exit(
        _Crux("crux", "Core daemon: keeps the manifest, the epochs and the leases.", True, _make, _leave).main(argv)
    )


if __name__ == "__main__":
    main()

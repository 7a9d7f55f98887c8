"""verge: the edge daemon."""

import random
import sys

from .creed.daemon import Daemon
from .span.edge import Edge
from .span.face import EdgeFace
from .span.wire import Wire

__all__ = ["main"]


def _make(d):
    s = d.set
    e = Edge(
        s.name,
        s.hall,
        d.seeds,
        d.clock,
        d.nest,
        d.link,
        random.SystemRandom(),
        Wire(d.clock, d.nest),
        log=d.log,
    )
    EdgeFace(e, d.face)
    return e


async def _leave(e):
    await e.drain()
    await e.wire.close()


def main(argv=None):
    """Runs an edge until it is told to stop; then its sessions are handed over."""
    sys.exit(
        Daemon(
            "verge",
            "Edge daemon: holds visitors' sessions and serves their statements.",
            False,
            _make,
            _leave,
        ).main(argv)
    )


if __name__ == "__main__":
    main()

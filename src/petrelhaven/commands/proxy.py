"""petrelhaven-proxy: the edge daemon."""

import random
import sys

from petrelhaven.proxy.kept_edge import Edge
from petrelhaven.proxy.kept_interface import EdgeFace
from petrelhaven.proxy.pool.member_protocol import Wire
from petrelhaven.runtime.daemon import Daemon

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
            "petrelhaven-proxy",
            "Edge daemon: holds visitors' sessions and serves their statements.",
            False,
            _make,
            _leave,
        ).main(argv)
    )


if __name__ == "__main__":
    main()

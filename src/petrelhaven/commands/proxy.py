"""petrelhaven-proxy: the proxy daemon of the kept path."""

import random
import sys
from collections.abc import Sequence

from petrelhaven.proxy.resumable.member_protocol import Wire
from petrelhaven.proxy.resumable.node import Edge
from petrelhaven.proxy.resumable.proxy_interface import EdgeFace
from petrelhaven.runtime.daemon import Daemon

__all__ = ["main"]


def _make(daemon: Daemon) -> Edge:
    settings = daemon.set
    edge = Edge(
        settings.name,
        settings.hall,
        daemon.seeds,
        daemon.clock,
        daemon.nest,
        daemon.link,
        random.SystemRandom(),
        Wire(daemon.clock, daemon.nest),
        log=daemon.log,
    )
    EdgeFace(edge, daemon.face)
    return edge


async def _leave(edge: Edge) -> None:
    await edge.drain()
    await edge.wire.close()


def main(argv: Sequence[str] | None = None) -> None:
    """Runs a proxy until it is told to stop; then its sessions are handed over."""
    daemon = Daemon(
        "petrelhaven-proxy",
        "Edge daemon: holds visitors' sessions and serves their statements.",
        False,
        _make,
        _leave,
    )
    sys.exit(daemon.main(argv))


if __name__ == "__main__":
    main()

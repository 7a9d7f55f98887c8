"""petrelhaven-proxy: the proxy daemon of the kept path."""

import random
import sys
from collections.abc import Sequence

from petrelhaven.proxy.resumable.member_protocol import Wire
from petrelhaven.proxy.resumable.node import ResumableProxy
from petrelhaven.proxy.resumable.proxy_interface import ResumableProxyInterface
from petrelhaven.runtime.daemon import Daemon

__all__ = ["main"]


def _make(daemon: Daemon) -> ResumableProxy:
    settings = daemon.settings
    edge = ResumableProxy(
        settings.name,
        settings.zone,
        daemon.seeds,
        daemon.clock,
        daemon.tasks,
        daemon.link,
        random.SystemRandom(),
        Wire(daemon.clock, daemon.tasks),
        log=daemon.log,
    )
    ResumableProxyInterface(edge, daemon.http_server)
    return edge


async def _leave(edge: ResumableProxy) -> None:
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

"""petrelhaven-proxy: the daemon of a proxy with resumable sessions."""

import random
import sys
from collections.abc import Sequence

from petrelhaven.proxy.resumable.member_protocol import Wire
from petrelhaven.proxy.resumable.node import ResumableProxy
from petrelhaven.proxy.resumable.proxy_interface import ResumableProxyInterface
from petrelhaven.runtime.daemon import Daemon

__all__ = ["main"]


def _make_node(daemon: Daemon) -> ResumableProxy:
    settings = daemon.settings
    proxy = ResumableProxy(
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
    ResumableProxyInterface(proxy, daemon.http_server)
    return proxy


async def _shut_down_node(proxy: ResumableProxy) -> None:
    await proxy.drain()
    await proxy.wire.close()


def main(argv: Sequence[str] | None = None) -> None:
    """Runs a proxy until a signal stops it; its sessions are handed over before it exits."""
    daemon = Daemon(
        "petrelhaven-proxy",
        "Proxy: keeps clients' sessions open and serves their statements.",
        False,
        _make_node,
        _shut_down_node,
    )
    sys.exit(daemon.main(argv))


if __name__ == "__main__":
    main()

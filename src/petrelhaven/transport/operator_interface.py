"""The operator interface on a machine that also serves another interface."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.light_http import LightHttpServer

if TYPE_CHECKING:
    import logbook

__all__ = ["serve_operator_interface"]

_UNUSED_ADDRESS = "127.0.0.1:0"


async def serve_operator_interface(
    addr: str | None,
    routes: Callable[[LightHttpServer], object],
    log: logbook.Logger | None = None,
) -> LightHttpServer:
    """Starts a server at `addr`, if given, with the handlers that `routes` registers.

    An address in use is not an error: the event is written to `log`, and the returned server does
    not listen.
    """
    host, port = (addr or _UNUSED_ADDRESS).rsplit(":", 1)
    server = LightHttpServer(host, int(port), log=log)
    routes(server)
    if addr:
        try:
            await server.start()
        except OSError as error:
            emit(log, Events.OPERATOR_INTERFACE_UNAVAILABLE, addr=addr, note=error.strerror)
    return server

"""The product's own face beside another one of the machine's: served if it can be, and stopping nothing if it can't."""

from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.light_http import LightHttpServer

__all__ = ["serve_operator_interface"]


async def serve_operator_interface(addr, routes, log=None):
    """A face with `routes(face)` on it, listening at `addr` unless that is None or taken."""
    host, port = (addr or "127.0.0.1:0").rsplit(":", 1)
    http_server = LightHttpServer(host, int(port), log=log)
    routes(http_server)
    if addr:
        try:
            await http_server.start()
        except OSError as e:
            emit(log, Events.OPERATOR_INTERFACE_UNAVAILABLE, addr=addr, note=e.strerror)
    return http_server

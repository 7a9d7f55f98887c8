"""The product's own face beside another one of the machine's: served if it can be, and stopping nothing if it can't."""

from petrelhaven.runtime.events import emit
from petrelhaven.transport.light_http import LightFace

__all__ = ["own_face"]


async def own_face(addr, routes, log=None):
    """A face with `routes(face)` on it, listening at `addr` unless that is None or taken."""
    host, port = (addr or "127.0.0.1:0").rsplit(":", 1)
    face = LightFace(host, int(port), log=log)
    routes(face)
    if addr:
        try:
            await face.start()
        except OSError as e:
            emit(log, 109, addr=addr, note=e.strerror)
    return face

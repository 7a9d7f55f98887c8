"""Operators' calls about embargoes, on the face of a seat."""

from petrelhaven.runtime.errors import Malformed

__all__ = ["serve"]


def serve(face, seat):
    """Adds the routes; nothing is loaded until one is called."""

    async def change(q):
        return await seat.embargoes.change(q.doc())

    async def listed(q):
        return await seat.embargoes.list()

    async def why(q):
        d = q.doc()
        if not isinstance(d, dict):
            raise Malformed("the question must be an object")
        return await seat.embargoes.why(d)

    face.on("POST", "/embargoes", change)
    face.on("GET", "/embargoes", listed)
    face.on("POST", "/embargoes-why", why)

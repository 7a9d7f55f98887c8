"""Operators' calls about embargoes, on the face of a seat."""

from petrelhaven.runtime.errors import Malformed

__all__ = ["serve"]


def serve(http_server, node):
    """Adds the routes; nothing is loaded until one is called."""

    async def change(q):
        return await node.embargoes.change(q.doc())

    async def listed(q):
        return await node.embargoes.list()

    async def why(q):
        d = q.doc()
        if not isinstance(d, dict):
            raise Malformed("the question must be an object")
        return await node.embargoes.why(d)

    http_server.on("POST", "/embargoes", change)
    http_server.on("GET", "/embargoes", listed)
    http_server.on("POST", "/embargoes-why", why)

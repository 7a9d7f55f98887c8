"""Operators' calls about embargoes, on the light face of a core."""
from urllib.parse import parse_qs, urlsplit

from ..creed.fault import Malformed

__all__ = ["serve"]


def serve(face, core):
    """Adds the routes; nothing is loaded until one is called."""
    async def change(q):
        return await core.embargoes.change(q.doc())

    async def listed(q):
        return await core.embargoes.list()

    async def why(q):
        d = q.doc()
        if not isinstance(d, dict):
            raise Malformed("the question must be an object")
        return await core.embargoes.why(d)

    async def events(q):
        from .herald import Herald
        n = parse_qs(urlsplit(q.path).query).get("after", ["0"])[0]
        if not n.isdigit():
            raise Malformed("after must be a whole number")
        return [e for e in Herald(core.chain).since(int(n)) if e["type"] == "petrelhaven.embargo"]

    face.on("POST", "/embargoes", change)
    face.on("GET", "/embargoes", listed)
    face.on("POST", "/embargoes-why", why)
    face.on("GET", "/embargo-events", events)

"""The operators' face of a gate: what this edge believes and counts. Clients come in by the wire that they speak."""

from petrelhaven.control.interface.documents import configuration_answer, leadership_history
from petrelhaven.runtime.errors import Malformed, NoRoute, NotReady

__all__ = ["ProxyInterface"]


class ProxyInterface:
    """Routes of an edge's face. What the core's majority must confirm is declined here."""

    def __init__(self, proxy, http_server, settings=dict):
        self._g, self._settings = proxy, settings
        for p, f in (
            ("/status", self._status),
            ("/belief", self._belief),
            ("/ready", self._ready),
            ("/realm", self._control_state),
            ("/why", self._why),
            ("/manifest", self._show),
        ):
            http_server.on("GET", p, f)

    def belief(self):
        """What this node believes."""
        led = self._g.core_connection.control_state
        return {
            **led.belief(),
            "name": self._g.name,
            "role": "edge",
            "state": self._g.state,
            "commit": led.seq,
            "view": None,
        }

    async def _status(self, q):
        t = self._g.core_connection
        return {
            **self._g.status(),
            **self.belief(),
            "settings": self._settings(),
            "joined": t.joined,
            "lease_us": max(0, t.lease - self._g.clock.now()),
            "cores": sorted(t.cores),
            "edges_tied": t.edges,
        }

    async def _belief(self, q):
        return self.belief()

    async def _ready(self, q):
        if not self._g.ready:
            raise NotReady(f"the edge is {self._g.state}")
        return {"ready": True}

    async def _control_state(self, q):
        return self._g.core_connection.control_state.doc

    async def _why(self, q):
        return leadership_history(self._g.core_connection.control_state.doc, q.query)

    async def _show(self, q):
        if q.query.get("unconfirmed") != "true":
            raise Malformed("an edge confirms no manifest; ask a core, or say unconfirmed=true")
        m = self._g.core_connection.control_state.doc["manifest"]
        if m is None or q.query.get("version", str(m["version"])) != str(m["version"]):
            raise NoRoute("no such manifest")
        return configuration_answer(m["text"], False)

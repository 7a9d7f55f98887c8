"""Committed changes as CloudEvents, for whoever follows the fleet from outside."""

import json

from cloudevents.core.formats.json import JSONFormat
from cloudevents.core.v1.event import CloudEvent

__all__ = ["EventFeed"]

_MOST = 200
_LEFT_OUT = {"shares", "stores", "where"}


class EventFeed:
    """Tells the changes after a number, in order."""

    def __init__(self, chain):
        self._chain = chain

    def since(self, seq):
        """A batch of CloudEvents in JSON: changes after `seq` that are committed here and still kept."""
        f = JSONFormat()
        rows = [r for r in self._chain.mem.recs if seq < r[0] <= self._chain.commit][:_MOST]
        return [json.loads(f.write(self._event(*r))) for r in rows]

    def _event(self, seq, view, rec):
        m = self._chain.control_state.configuration
        name = m.get("name") if isinstance(m, dict) else m and m.name
        keys = ("name",) if rec["t"] == "member" else ("group", "hall", "name")
        subject = next((rec[k] for k in keys if rec.get(k)), "manifest")
        return CloudEvent(
            {
                "id": str(seq),
                "source": f"/petrelhaven/{name or 'fleet'}",
                "type": f"petrelhaven.{rec['t']}",
                "specversion": "1.0",
                "subject": subject,
                "datacontenttype": "application/json",
            },
            {"view": view, **{k: v for k, v in rec.items() if k not in _LEFT_OUT}},
        )

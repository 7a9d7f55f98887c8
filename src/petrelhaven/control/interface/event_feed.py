"""Committed records as CloudEvents, for external programs that monitor the fleet."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from cloudevents.core.formats.json import JSONFormat
from cloudevents.core.v1.event import CloudEvent

if TYPE_CHECKING:
    from petrelhaven.control.consensus.chain import Chain
    from petrelhaven.control.interface.contracts import Document

__all__ = ["EventFeed"]

_MAX_BATCH_EVENTS = 200
_INTERNAL_FIELDS = {"shares", "stores", "where"}
_SUBJECT_FIELDS = ("group", "hall", "name")
_MEMBER_SUBJECT_FIELDS = ("name",)
_DEFAULT_SUBJECT = "manifest"


class EventFeed:
    """Returns the records of a control node's chain as events, in order."""

    def __init__(self, chain: Chain) -> None:
        """Reads the records from `chain`."""
        self._chain = chain

    def events_after(self, seq: int) -> list[Any]:
        """Returns a batch of CloudEvents in JSON.

        Args:
            seq: the number of the last record that the caller has received.

        Returns:
            Up to 200 events, for later records that are committed and still stored here.
        """
        json_format = JSONFormat()
        rows = [
            row
            for row in self._chain.store.recent_records
            if seq < row[0] <= self._chain.committed_seq
        ]
        return [
            json.loads(json_format.write(self._event(number, view, record)))
            for number, view, record in rows[:_MAX_BATCH_EVENTS]
        ]

    def _event(self, seq: int, view: int, record: Document) -> CloudEvent:
        fields = _MEMBER_SUBJECT_FIELDS if record["t"] == "member" else _SUBJECT_FIELDS
        subject = next((record[key] for key in fields if record.get(key)), _DEFAULT_SUBJECT)
        shown = {key: value for key, value in record.items() if key not in _INTERNAL_FIELDS}
        if "text" in shown:
            shown["text"] = _without_origin(shown["text"])
        return CloudEvent(
            {
                "id": str(seq),
                "source": f"/petrelhaven/{self._fleet_name() or 'fleet'}",
                "type": f"petrelhaven.{record['t']}",
                "specversion": "1.0",
                "subject": subject,
                "datacontenttype": "application/json",
            },
            {"view": view, **shown},
        )

    def _fleet_name(self) -> str | None:
        """Returns the fleet's name from the configuration, a document or a typed object."""
        configuration = self._chain.control_state.configuration
        if configuration is None:
            return None
        if isinstance(configuration, dict):
            return configuration.get("name")
        name: str = configuration.name
        return name


def _without_origin(text: str) -> str:
    """Removes `origin`, which may contain tenants' keys in clear text, from a configuration."""
    configuration = json.loads(text)
    if "origin" not in configuration:
        return text
    del configuration["origin"]
    return json.dumps(configuration, separators=(",", ":"))

"""Committed records as CloudEvents, for programs that follow the fleet from outside."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from cloudevents.core.formats.json import JSONFormat
from cloudevents.core.v1.event import CloudEvent

if TYPE_CHECKING:
    from petrelhaven.control.consensus.chain import Chain
    from petrelhaven.control.interface.contracts import Document

__all__ = ["EventFeed"]

_BATCH_SIZE = 200
_INTERNAL_FIELDS = {"shares", "stores", "where"}
_SUBJECT_FIELDS = ("group", "hall", "name")
_MEMBER_SUBJECT_FIELDS = ("name",)
_SUBJECT_OF_OTHERS = "manifest"


class EventFeed:
    """Reports the records of a control node's chain after a number, in order."""

    def __init__(self, chain: Chain) -> None:
        """Takes the records from `chain`."""
        self._chain = chain

    def events_after(self, seq: int) -> list[Any]:
        """A batch of CloudEvents in JSON.

        Args:
            seq: the number of the last record that the caller knows.

        Returns:
            The records after it that are committed here and still stored, 200 at most.
        """
        form = JSONFormat()
        rows = [
            row
            for row in self._chain.store.recent_records
            if seq < row[0] <= self._chain.committed_seq
        ]
        return [
            json.loads(form.write(self._event(number, view, record)))
            for number, view, record in rows[:_BATCH_SIZE]
        ]

    def _event(self, seq: int, view: int, record: Document) -> CloudEvent:
        fields = _MEMBER_SUBJECT_FIELDS if record["t"] == "member" else _SUBJECT_FIELDS
        subject = next((record[key] for key in fields if record.get(key)), _SUBJECT_OF_OTHERS)
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
        """The name in the configuration, which is a document or a typed one."""
        configuration = self._chain.control_state.configuration
        if configuration is None:
            return None
        if isinstance(configuration, dict):
            return configuration.get("name")
        name: str = configuration.name
        return name


def _without_origin(text: str) -> str:
    """A configuration's text without the document it was made from, in which keys stand as such."""
    configuration = json.loads(text)
    if "origin" not in configuration:
        return text
    del configuration["origin"]
    return json.dumps(configuration, separators=(",", ":"))

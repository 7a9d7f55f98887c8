"""The base class of the control states for connection sessions and for resumable sessions.

A control state is a JSON document that only numbered records change. Every control node and every
proxy has one, and after the same records all of them are equal. The head of the chain checks a
record before it appends it; every node and proxy applies it.
"""

from __future__ import annotations

import copy
import hashlib
from collections.abc import Mapping
from typing import Any, Generic, TypeVar

from petrelhaven.control.configuration.faults import ConfigurationFault, invalid_document
from petrelhaven.control.state.record import Document
from petrelhaven.control.state.records import ZoneRecord
from petrelhaven.runtime.errors import Duplicate

__all__ = ["ZONE_EVACUATED", "ZONE_OPEN", "BaseControlState", "configuration_digest"]

ZONE_OPEN = "open"
ZONE_EVACUATED = "emptied"

ConfigurationT = TypeVar("ConfigurationT")
RecordT = TypeVar("RecordT")


def configuration_digest(text: str) -> str:
    """Returns the SHA-256 digest of a configuration, by which nodes compare configurations."""
    return hashlib.sha256(text.encode()).hexdigest()


class BaseControlState(Generic[ConfigurationT, RecordT]):
    """A control state, which checks and applies numbered records.

    Attributes:
        seq: The number of the last applied record.
        doc: The stored document; its keys are part of the stored data.
    """

    __slots__ = ("seq", "doc", "_configuration")

    def __init__(self, document: Document) -> None:
        """Uses `document` without copying it."""
        self.doc = document
        self.seq: int = document["seq"]
        self._configuration: ConfigurationT | None = None

    @property
    def configuration(self) -> ConfigurationT | None:
        """The configuration in force, or None before the first one."""
        if self._configuration is None and self.doc["manifest"]:
            self._configuration = self.read_configuration(self.doc["manifest"]["text"])
        return self._configuration

    def snapshot(self) -> Document:
        """Returns a deep copy of the document."""
        return copy.deepcopy(self.doc)

    def check(self, document: Document) -> None:
        """Raises a typed fault if the record in `document` is invalid in the current state."""
        self._check(self._read_record(document))

    def apply(self, seq: int, document: Document) -> None:
        """Applies the record in `document`, which must be the next one and has number `seq`."""
        if seq != self.seq + 1:
            raise AssertionError((seq, self.seq))
        self._apply(self._read_record(document))
        self.seq = self.doc["seq"] = seq

    def zone_state(self, name: str) -> str:
        """Returns `ZONE_OPEN` or `ZONE_EVACUATED`."""
        state: str = self.doc["halls"].get(name, ZONE_OPEN)
        return state

    def reported_state(self) -> Document:
        """Returns the part of this state that `petrelhaven-diff` compares between nodes."""
        accepted = self.doc["manifest"]
        return {
            "seq": self.seq,
            "manifest": accepted["version"] if accepted else 0,
            "digest": accepted["digest"] if accepted else "",
            "halls": self.doc["halls"],
            **self._reported_groups(),
        }

    def read_configuration(self, text: str) -> ConfigurationT:
        """Parses the text of an accepted configuration, for `configuration`."""
        raise NotImplementedError

    def _read_record(self, document: Document) -> RecordT:
        """Reads the record in a document; raises KeyError for an unknown kind."""
        raise NotImplementedError

    def _check(self, record: RecordT) -> None:
        """Raises a typed fault if `record` is invalid in the current state."""
        raise NotImplementedError

    def _apply(self, record: RecordT) -> None:
        """Changes the document; `seq` is still the number of the previous record."""
        raise NotImplementedError

    def _reported_groups(self) -> Mapping[str, Any]:
        """Returns the entries of `reported_state` that depend on the kind of sessions."""
        raise NotImplementedError

    def _check_zone(self, record: ZoneRecord) -> None:
        if record.state not in (ZONE_OPEN, ZONE_EVACUATED):
            raise invalid_document(
                "hall state", [ConfigurationFault("state", "must be open or emptied")]
            )
        if self.zone_state(record.zone) == record.state:
            raise Duplicate(f"hall {record.zone} is {record.state} already")

    def _apply_zone(self, record: ZoneRecord) -> None:
        self.doc["halls"][record.zone] = record.state

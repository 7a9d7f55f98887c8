"""What the control states of both kinds of sessions have in common.

A control state is a JSON document that only numbered records change. Each control node and each
proxy has one; after the same records all are the same. A record is checked where it enters the
chain, and applied everywhere.
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

__all__ = ["EVACUATED", "OPEN", "BaseControlState", "digest_of"]

OPEN = "open"
EVACUATED = "emptied"

ConfigurationT = TypeVar("ConfigurationT")
RecordT = TypeVar("RecordT")


def digest_of(text: str) -> str:
    """The digest by which nodes compare configurations."""
    return hashlib.sha256(text.encode()).hexdigest()


class BaseControlState(Generic[ConfigurationT, RecordT]):
    """Checks and applies numbered records.

    Attributes:
        seq: The number of the record applied last.
        doc: The stored document; its keys are part of the stored data.
    """

    __slots__ = ("seq", "doc", "_configuration")

    def __init__(self, document: Document) -> None:
        """Takes over `document`, which the caller doesn't use any more."""
        self.doc = document
        self.seq: int = document["seq"]
        self._configuration: ConfigurationT | None = None

    @property
    def configuration(self) -> ConfigurationT | None:
        """The configuration in force, or None before the first."""
        if self._configuration is None and self.doc["manifest"]:
            self._configuration = self.read_configuration(self.doc["manifest"]["text"])
        return self._configuration

    def snapshot(self) -> Document:
        """A deep copy of the whole document."""
        return copy.deepcopy(self.doc)

    def check(self, document: Document) -> None:
        """Raises a typed fault if the record of `document` must be declined now."""
        self._check(self._read_record(document))

    def apply(self, seq: int, document: Document) -> None:
        """Applies the record of `document`, which is number `seq`."""
        if seq != self.seq + 1:
            raise AssertionError((seq, self.seq))
        self._apply(self._read_record(document))
        self.seq = self.doc["seq"] = seq

    def zone(self, name: str) -> str:
        """Whether a zone is open or evacuated."""
        state: str = self.doc["halls"].get(name, OPEN)
        return state

    def belief(self) -> Document:
        """What `petrelhaven-diff` compares of this state."""
        accepted = self.doc["manifest"]
        return {
            "seq": self.seq,
            "manifest": accepted["version"] if accepted else 0,
            "digest": accepted["digest"] if accepted else "",
            "halls": self.doc["halls"],
            **self._belief_of_groups(),
        }

    def read_configuration(self, text: str) -> ConfigurationT:
        """What `configuration` answers for the text of a configuration that was accepted."""
        raise NotImplementedError

    def _read_record(self, document: Document) -> RecordT:
        """The record of a document; KeyError for a kind that isn't known."""
        raise NotImplementedError

    def _check(self, record: RecordT) -> None:
        """Raises a typed fault if `record` must be declined now."""
        raise NotImplementedError

    def _apply(self, record: RecordT) -> None:
        """Changes the document; `seq` is still the number of the record before."""
        raise NotImplementedError

    def _belief_of_groups(self) -> Mapping[str, Any]:
        """What differs between the kinds of sessions in what `petrelhaven-diff` compares."""
        raise NotImplementedError

    def _check_zone(self, record: ZoneRecord) -> None:
        if record.state not in (OPEN, EVACUATED):
            raise invalid_document(
                "hall state", [ConfigurationFault("state", "must be open or emptied")]
            )
        if self.zone(record.zone) == record.state:
            raise Duplicate(f"hall {record.zone} is {record.state} already")

    def _apply_zone(self, record: ZoneRecord) -> None:
        self.doc["halls"][record.zone] = record.state

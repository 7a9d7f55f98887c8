"""What a core's data folder holds, read without changing it: for checks and after a loss."""

import os
from dataclasses import dataclass
from typing import Any

from petrelhaven.control.resumable.control_state import ResumableControlState
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.control.storage.damaged_files import DamagedFileCopies
from petrelhaven.control.storage.documents import Snapshot, from_document
from petrelhaven.control.storage.node_store import ControlNodeStore, replay
from petrelhaven.control.storage.record_log import log_file_names, readable_documents
from petrelhaven.runtime.errors import Damaged

__all__ = ["DataFolder", "Salvage", "salvage"]


class _ReadOnly:
    """A folder that is only read; what would be written is dropped."""

    def __init__(self, path: str) -> None:
        """Reads files of the folder `path`."""
        self._path = path

    def read(self, name: str) -> bytes:
        """All bytes of `name`; empty if there is none."""
        try:
            with open(os.path.join(self._path, name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return b""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Writes nothing."""

    def remove(self, name: str) -> None:
        """Removes nothing."""


class DataFolder:
    """Name, disk identity and control state of a folder; `name` is None for an empty one."""

    def __init__(self, path: str) -> None:
        """Reads the folder `path`; raises Damaged if its log is damaged."""
        store = ControlNodeStore(_ReadOnly(path), "", _NoChance(), keep=True, state=_state)
        if store.damaged:
            raise Damaged(f"{path}: the ring is damaged")
        self.name, self.disk_id, self.control_state = (
            store.name or None,
            store.disk_id,
            store.control_state,
        )


@dataclass(frozen=True, slots=True)
class Salvage:
    """The newest control state that can still be read of a folder, damaged or not."""

    name: str
    control_state: Any


def salvage(path: str) -> Salvage:
    """Reads the log's files and the copies that were set aside, up to the first damage in each."""
    disk = _ReadOnly(path)
    log_files = [disk.read(name) for name in log_file_names()]
    found = [
        _salvaged(readable_documents(log_files)),
        _salvaged(DamagedFileCopies(disk).documents()),
    ]
    readable = [state for state in found if state is not None]
    if not readable:
        raise Damaged(f"{path}: nothing in it can be read")
    return max(readable, key=lambda state: state.control_state.seq)


def _salvaged(documents: list[dict[str, Any]]) -> Salvage | None:
    if not documents:
        return None
    first = from_document(documents[0])
    if not isinstance(first, Snapshot):
        return None
    return Salvage(first.name, replay(documents, _state))


def _state(document: dict[str, Any] | None = None) -> ControlState | ResumableControlState:
    return (
        ControlState(document)
        if document and "offices" in document
        else ResumableControlState(document)
    )


class _NoChance:
    @staticmethod
    def getrandbits(count: int) -> int:
        """No identity is drawn for a folder that is only looked at."""
        return 0

"""Read-only access to a control node's data folder, for checks and for recovery after a loss."""

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

__all__ = ["DataFolder", "SalvagedState", "salvage"]


class _ReadOnlyDisk:
    """The files of a folder; writes and removals are ignored."""

    def __init__(self, path: str) -> None:
        """Reads from the folder `path`."""
        self._path = path

    def read(self, name: str) -> bytes:
        """Returns the content of file `name`, or nothing if it doesn't exist."""
        try:
            with open(os.path.join(self._path, name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return b""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Ignores the write."""

    def remove(self, name: str) -> None:
        """Ignores the removal."""


class DataFolder:
    """The state that a control node stored in its folder.

    Attributes:
        name: The node's name; None for an empty folder.
        disk_id: The identity of its disk.
        control_state: Its control state.
    """

    def __init__(self, path: str) -> None:
        """Reads the folder `path`; raises Damaged if its log is damaged."""
        store = ControlNodeStore(
            _ReadOnlyDisk(path), "", _FixedBits(), accept_any_name=True, state=_make_control_state
        )
        if store.damaged:
            raise Damaged(f"{path}: the record log is damaged")
        self.name, self.disk_id, self.control_state = (
            store.name or None,
            store.disk_id,
            store.control_state,
        )


@dataclass(frozen=True, slots=True)
class SalvagedState:
    """The newest control state that is still readable in a folder.

    Attributes:
        name: The node's name.
        control_state: The control state.
    """

    name: str
    control_state: Any


def salvage(path: str) -> SalvagedState:
    """Reads the newest control state from a folder whose log may be damaged.

    The log's files and the copies of damaged files are each read up to the first damage.

    Raises:
        Damaged: Neither has a readable state.
    """
    disk = _ReadOnlyDisk(path)
    log_files = [disk.read(name) for name in log_file_names()]
    candidates = [
        _replay_readable(readable_documents(log_files)),
        _replay_readable(DamagedFileCopies(disk).documents()),
    ]
    readable = [state for state in candidates if state is not None]
    if not readable:
        raise Damaged(f"{path}: no readable control state")
    return max(readable, key=lambda state: state.control_state.seq)


def _replay_readable(documents: list[dict[str, Any]]) -> SalvagedState | None:
    if not documents:
        return None
    first = from_document(documents[0])
    if not isinstance(first, Snapshot):
        return None
    return SalvagedState(first.name, replay(documents, _make_control_state))


def _make_control_state(
    document: dict[str, Any] | None = None,
) -> ControlState | ResumableControlState:
    return (
        ControlState(document)
        if document and "offices" in document
        else ResumableControlState(document)
    )


class _FixedBits:
    """Stands in for a random generator: a folder that is only read needs no new identity."""

    @staticmethod
    def getrandbits(count: int) -> int:
        """Returns 0."""
        return 0

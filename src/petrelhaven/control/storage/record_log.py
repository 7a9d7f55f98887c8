"""An append-only log over a few preallocated files, written one after the other."""

import json
from collections.abc import Callable
from typing import Any, Protocol

from petrelhaven.control.storage.record_format import (
    FILE_HEADER_BYTES,
    LogRecord,
    contains_record,
    encode_file_header,
    encode_record,
    read_file_header,
    read_record,
)
from petrelhaven.runtime.errors import Damaged, DiskRefused

__all__ = ["Disk", "RecordLog", "log_file_names", "readable_documents"]

LOG_FILE_COUNT = 4
LOG_FILE_BYTES = 1 << 20
_SLACK = 64


class Disk(Protocol):
    """What the log needs of a disk; a write that is not fully synced raises OSError."""

    def read(self, name: str) -> bytes:
        """All bytes of a file; empty if there is none."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Writes and syncs."""

    def remove(self, name: str) -> None:
        """Removes a file; a removal may come undone at a loss of power."""


def log_file_names(count: int = LOG_FILE_COUNT) -> list[str]:
    """The names of a log's files."""
    return [f"ring-{index}" for index in range(count)]


def _encode(document: dict[str, Any]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()


def _scan(raw: bytes, generation: int) -> list[LogRecord]:
    """The intact records of a file from its first on, up to the first that is not intact."""
    records: list[LogRecord] = []
    offset = FILE_HEADER_BYTES
    while record := read_record(raw, offset):
        if record.generation != generation or records and record.number != records[-1].number + 1:
            break
        records.append(record)
        offset = record.end
    return records


def readable_documents(files: list[bytes]) -> list[dict[str, Any]]:
    """What can still be read of damaged files: the newest readable state, oldest record first."""
    firsts = [
        (record.generation, raw) for raw in files if (record := read_record(raw, FILE_HEADER_BYTES))
    ]
    if not firsts:
        return []
    generation, raw = max(firsts, key=lambda first: first[0])
    return [json.loads(record.body) for record in _scan(raw, generation)]


class RecordLog:
    """Every file opens with a snapshot of the state, so that older files may be written over.

    A record counts once its write and its sync have succeeded. One that the disk refuses changes
    neither number nor place: the next one is written over what it left. After a loss of power the
    last write may be there, missing or torn in any part and is dropped unless it is intact. A bad
    record is damage only where a later record proves that it had been synced; damage is raised,
    never read past.

    A switch to the next file writes zeros, then the snapshot, then the lead, each synced before
    the next. Until the lead is intact the file before it holds everything; once a switch has
    begun, nothing more goes to the file before.
    """

    def __init__(self, disk: Disk, count: int = LOG_FILE_COUNT, size: int = LOG_FILE_BYTES) -> None:
        """Writes to `count` files of `size` bytes each; reads nothing before `load`."""
        self._disk, self._size = disk, size
        self._names = log_file_names(count)
        self._generation = self._offset = self._number = 0
        self._last, self._last_offset = b"", 0
        self._leftover_bytes = 0
        self._switching = False
        self._may_be_unsynced = False
        self.torn = False

    @property
    def may_be_unsynced(self) -> bool:
        """True from `load` until what was read is known to be synced.

        The process that wrote it may have died before its sync.
        """
        return self._may_be_unsynced

    def load(self) -> list[dict[str, Any]]:
        """The documents since the newest intact snapshot, oldest first; empty for a new disk."""
        files = [self._read(name) for name in self._names]
        index_by_generation = {
            generation: index
            for index, raw in enumerate(files)
            if (generation := read_file_header(raw))
        }
        if not index_by_generation:
            self._expect_unused(files)
            return []
        self._generation = max(index_by_generation)
        raw = files[index_by_generation[self._generation]]
        if self._index(self._generation) != index_by_generation[self._generation]:
            raise Damaged(
                f"{self._names[index_by_generation[self._generation]]}: lead of another file"
            )
        self._expect_no_later_lap(files)
        records = _scan(raw, self._generation)
        if not records:
            raise Damaged(f"{self._name()}: first record")
        self._take(raw, records)
        return [json.loads(record.body) for record in records]

    def _expect_unused(self, files: list[bytes]) -> None:
        """Files without any lead are new, or left by a first start that was cut short."""
        firsts = [
            record.generation for raw in files if (record := read_record(raw, FILE_HEADER_BYTES))
        ]
        if any(any(raw) for raw in files[1:]) or contains_record(
            files[0], FILE_HEADER_BYTES + 1, 1
        ):
            self._generation = max(firsts, default=0)
            raise Damaged("no whole lead")

    def _expect_no_later_lap(self, files: list[bytes]) -> None:
        """A record behind the next lap's snapshot proves that its lead had been synced."""
        later = self._generation + 1
        if any(contains_record(raw, FILE_HEADER_BYTES + 1, later) for raw in files):
            self._generation = later
            raise Damaged(f"{self._name()}: lead")

    def _take(self, raw: bytes, records: list[LogRecord]) -> None:
        last = records[-1]
        if contains_record(raw, last.end, self._generation):
            raise Damaged(f"{self._name()}: record at {last.end}")
        self._size = max(self._size, len(raw))
        self._number, self._offset = last.number, last.end
        first = len(records) == 1
        self._last_offset = 0 if first else last.offset
        self._last = raw[:FILE_HEADER_BYTES] if first else raw[last.offset : last.end]
        self._leftover_bytes = len(raw[last.end :].rstrip(b"\0"))
        self.torn = self._leftover_bytes > 0
        self._may_be_unsynced = True

    def append(self, document: dict[str, Any], snapshot: Callable[[], dict[str, Any]]) -> None:
        """Adds `document`.

        A full file is left first; the next one opens with `snapshot()`, the state before it.
        """
        body = _encode(document)
        raw = encode_record(self._generation, self._number + 1, body)
        if (
            self._generation == 0
            or self._switching
            or self._offset + len(raw) + _SLACK > self._size
        ):
            self._switch_file(snapshot(), len(raw))
            raw = encode_record(self._generation, self._number + 1, body)
        elif self._may_be_unsynced:
            self.ensure_synced(snapshot)
        self._leftover_bytes = max(self._leftover_bytes, len(raw))
        self._write(self._name(), self._offset, raw)
        self._last, self._last_offset = raw, self._offset
        self._leftover_bytes -= len(raw)
        self._offset += len(raw)
        self._number += 1

    def restart(self, snapshot: dict[str, Any]) -> None:
        """Starts anew with `snapshot` in the next file; older files stay for a while."""
        if self._generation == 0:
            self._clear()
        self._switch_file(snapshot, 0)

    def ensure_synced(self, snapshot: Callable[[], dict[str, Any]]) -> None:
        """Syncs what is known: finishes a switch of files, or writes the last record anew."""
        if self._switching:
            self._switch_file(snapshot(), 0)
            return
        if self._leftover_bytes:
            self._write(self._name(), self._offset, bytes(self._leftover_bytes))
            self._leftover_bytes = 0
        self._write(self._name(), self._last_offset, self._last)
        self._may_be_unsynced = False

    def _switch_file(self, snapshot: dict[str, Any], room: int) -> None:
        self._switching = True
        generation, number = self._generation + 1, self._number + 1
        raw = encode_record(generation, number, _encode(snapshot))
        lead = encode_file_header(generation)
        size = max(self._size, 2 * (len(raw) + room))
        name = self._names[self._index(generation)]
        self._write(name, 0, bytes(max(size, len(self._read(name)))))
        self._write(name, FILE_HEADER_BYTES, raw)
        self._write(name, 0, lead)
        self._generation, self._number, self._size = generation, number, size
        self._offset = FILE_HEADER_BYTES + len(raw)
        self._last, self._last_offset, self._leftover_bytes = lead, 0, 0
        self._switching = self._may_be_unsynced = False

    def _clear(self) -> None:
        """Zeroes what a first start that was cut short, or files without any lead, have left."""
        for name in self._names:
            raw = self._read(name)
            if any(raw):
                self._write(name, 0, bytes(len(raw)))

    def _index(self, generation: int) -> int:
        return (generation - 1) % len(self._names)

    def _name(self) -> str:
        return self._names[self._index(self._generation)]

    def _read(self, name: str) -> bytes:
        try:
            return self._disk.read(name)
        except OSError as error:
            raise DiskRefused(f"{name}: {error.strerror}") from error

    def _write(self, name: str, offset: int, data: bytes) -> None:
        try:
            self._disk.write(name, offset, data)
        except OSError as error:
            raise DiskRefused(f"{name}: {error.strerror}") from error

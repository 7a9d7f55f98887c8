"""An append-only log over a few preallocated files, which are filled in turn."""

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
_RESERVED_BYTES = 64


class Disk(Protocol):
    """The disk operations of the log; a write that isn't completely synced raises OSError."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file, or nothing if it doesn't exist."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Writes `data` at `offset` and syncs it."""

    def remove(self, name: str) -> None:
        """Removes a file; a loss of power may undo the removal."""


def log_file_names(count: int = LOG_FILE_COUNT) -> list[str]:
    """Returns the names of a log's files."""
    return [f"ring-{index}" for index in range(count)]


def _encode(document: dict[str, Any]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()


def _scan(raw: bytes, generation: int) -> list[LogRecord]:
    """Returns the records of a file up to the first that isn't intact."""
    records: list[LogRecord] = []
    offset = FILE_HEADER_BYTES
    while record := read_record(raw, offset):
        if record.generation != generation or records and record.number != records[-1].number + 1:
            break
        records.append(record)
        offset = record.end
    return records


def readable_documents(files: list[bytes]) -> list[dict[str, Any]]:
    """Returns the readable entries of the newest file, oldest first.

    The files may be damaged: the newest one is that of the highest generation whose first record
    is intact.
    """
    first_records = [
        (record.generation, raw) for raw in files if (record := read_record(raw, FILE_HEADER_BYTES))
    ]
    if not first_records:
        return []
    generation, raw = max(first_records, key=lambda first: first[0])
    return [json.loads(record.body) for record in _scan(raw, generation)]


class RecordLog:
    """A log of JSON documents that keeps the newest complete state.

    The first record of every file is a snapshot of the state, so older files may be overwritten.

    A record is stored once its write and its sync have succeeded. A record that the disk refuses
    uses up neither its number nor its offset: the next one overwrites it. After a loss of power
    the last write may be present, missing or torn, and is dropped unless it is intact. A record
    that isn't intact is damage only if a later record proves that it had been synced; damage
    raises `Damaged` and is never skipped.

    A switch to the next file writes zeros, then the snapshot, then the file header, and syncs each
    before the next. Until the file header is intact the previous file has the complete state, so
    nothing more is written to that file once a switch has begun.

    Attributes:
        torn: Whether `load` dropped the rest of an incomplete write.
    """

    def __init__(self, disk: Disk, count: int = LOG_FILE_COUNT, size: int = LOG_FILE_BYTES) -> None:
        """Uses `count` files of `size` bytes each; `load` reads them."""
        self._disk, self._size = disk, size
        self._names = log_file_names(count)
        self._generation = self._offset = self._number = 0
        self._last_write, self._last_offset = b"", 0
        self._leftover_bytes = 0
        self._switching = False
        self._may_be_unsynced = False
        self.torn = False

    @property
    def may_be_unsynced(self) -> bool:
        """Whether the last record that `load` read may not be synced yet.

        The process that wrote it may have ended between the write and the sync.
        """
        return self._may_be_unsynced

    def load(self) -> list[dict[str, Any]]:
        """Returns the newest snapshot and the documents after it, or nothing for an empty disk.

        Raises:
            Damaged: A synced record isn't intact any more.
        """
        files = [self._read(name) for name in self._names]
        index_by_generation = {
            generation: index
            for index, raw in enumerate(files)
            if (generation := read_file_header(raw))
        }
        if not index_by_generation:
            self._require_unused(files)
            return []
        self._generation = max(index_by_generation)
        raw = files[index_by_generation[self._generation]]
        if self._file_index(self._generation) != index_by_generation[self._generation]:
            raise Damaged(
                f"{self._names[index_by_generation[self._generation]]}: header of another file"
            )
        self._require_no_later_generation(files)
        records = _scan(raw, self._generation)
        if not records:
            raise Damaged(f"{self._file_name()}: first record isn't intact")
        self._continue_after(raw, records)
        return [json.loads(record.body) for record in records]

    def _require_unused(self, files: list[bytes]) -> None:
        """Raises Damaged unless the files are empty or of an interrupted first start."""
        generations = [
            record.generation for raw in files if (record := read_record(raw, FILE_HEADER_BYTES))
        ]
        if any(any(raw) for raw in files[1:]) or contains_record(
            files[0], FILE_HEADER_BYTES + 1, 1
        ):
            self._generation = max(generations, default=0)
            raise Damaged("no file has an intact file header")

    def _require_no_later_generation(self, files: list[bytes]) -> None:
        """Raises Damaged if a file header of a later generation was lost.

        A record after the snapshot of that generation proves that its file header was synced.
        """
        next_generation = self._generation + 1
        if any(contains_record(raw, FILE_HEADER_BYTES + 1, next_generation) for raw in files):
            self._generation = next_generation
            raise Damaged(f"{self._file_name()}: file header isn't intact")

    def _continue_after(self, raw: bytes, records: list[LogRecord]) -> None:
        last = records[-1]
        if contains_record(raw, last.end, self._generation):
            raise Damaged(f"{self._file_name()}: record at byte {last.end} isn't intact")
        self._size = max(self._size, len(raw))
        self._number, self._offset = last.number, last.end
        only_snapshot = len(records) == 1
        self._last_offset = 0 if only_snapshot else last.offset
        self._last_write = raw[:FILE_HEADER_BYTES] if only_snapshot else raw[last.offset : last.end]
        self._leftover_bytes = len(raw[last.end :].rstrip(b"\0"))
        self.torn = self._leftover_bytes > 0
        self._may_be_unsynced = True

    def append(self, document: dict[str, Any], snapshot: Callable[[], dict[str, Any]]) -> None:
        """Writes and syncs `document`.

        If the file is full, the next one is started first, with `snapshot()`, which returns the
        state before `document`.
        """
        body = _encode(document)
        raw = encode_record(self._generation, self._number + 1, body)
        if (
            self._generation == 0
            or self._switching
            or self._offset + len(raw) + _RESERVED_BYTES > self._size
        ):
            self._switch_file(snapshot(), len(raw))
            raw = encode_record(self._generation, self._number + 1, body)
        elif self._may_be_unsynced:
            self.ensure_synced(snapshot)
        self._leftover_bytes = max(self._leftover_bytes, len(raw))
        self._write(self._file_name(), self._offset, raw)
        self._last_write, self._last_offset = raw, self._offset
        self._leftover_bytes -= len(raw)
        self._offset += len(raw)
        self._number += 1

    def restart(self, snapshot: dict[str, Any]) -> None:
        """Starts the next file with `snapshot`; older files stay until they are overwritten."""
        if self._generation == 0:
            self._clear_files()
        self._switch_file(snapshot, 0)

    def ensure_synced(self, snapshot: Callable[[], dict[str, Any]]) -> None:
        """Ensures that everything read or written is synced.

        Completes an interrupted switch of files, or writes the last record again.
        """
        if self._switching:
            self._switch_file(snapshot(), 0)
            return
        if self._leftover_bytes:
            self._write(self._file_name(), self._offset, bytes(self._leftover_bytes))
            self._leftover_bytes = 0
        self._write(self._file_name(), self._last_offset, self._last_write)
        self._may_be_unsynced = False

    def _switch_file(self, snapshot: dict[str, Any], reserved_bytes: int) -> None:
        self._switching = True
        generation, number = self._generation + 1, self._number + 1
        raw = encode_record(generation, number, _encode(snapshot))
        header = encode_file_header(generation)
        size = max(self._size, 2 * (len(raw) + reserved_bytes))
        name = self._names[self._file_index(generation)]
        self._write(name, 0, bytes(max(size, len(self._read(name)))))
        self._write(name, FILE_HEADER_BYTES, raw)
        self._write(name, 0, header)
        self._generation, self._number, self._size = generation, number, size
        self._offset = FILE_HEADER_BYTES + len(raw)
        self._last_write, self._last_offset, self._leftover_bytes = header, 0, 0
        self._switching = self._may_be_unsynced = False

    def _clear_files(self) -> None:
        """Fills every file with zeros that an interrupted first start or lost file headers left."""
        for name in self._names:
            raw = self._read(name)
            if any(raw):
                self._write(name, 0, bytes(len(raw)))

    def _file_index(self, generation: int) -> int:
        return (generation - 1) % len(self._names)

    def _file_name(self) -> str:
        return self._names[self._file_index(self._generation)]

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

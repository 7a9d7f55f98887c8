"""How records lie in a log file: a header, a JSON body and an end byte, guarded by checksums."""

import struct
import zlib
from dataclasses import dataclass

__all__ = [
    "FILE_HEADER_BYTES",
    "LogRecord",
    "encode_file_header",
    "encode_record",
    "contains_record",
    "read_file_header",
    "read_record",
]

_MAGIC = b"PETREL01"
_LEAD = struct.Struct(">8sQI")
_HEADER = struct.Struct(">IIQQI")
_CHECKED = struct.Struct(">IIQQ")
_NUMBER = struct.Struct(">Q")
_CHECKSUM = struct.Struct(">I")
_END = b"\xa5"
_LAP_OFFSET = 8

FILE_HEADER_BYTES = _LEAD.size


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One complete record of a file: `offset` is its first byte, `end` the byte after it."""

    generation: int
    number: int
    body: bytes
    offset: int
    end: int


def encode_file_header(generation: int) -> bytes:
    """The first bytes of a file; they are written last and say that its first record is synced."""
    lead = struct.pack(">8sQ", _MAGIC, generation)
    return lead + _CHECKSUM.pack(zlib.crc32(lead))


def read_file_header(raw: bytes) -> int | None:
    """The lap that the file's lead names; None if the lead is missing, torn or damaged."""
    if len(raw) < FILE_HEADER_BYTES:
        return None
    magic: bytes
    generation: int
    checksum: int
    magic, generation, checksum = _LEAD.unpack(raw[:FILE_HEADER_BYTES])
    if magic != _MAGIC or zlib.crc32(raw[: FILE_HEADER_BYTES - _CHECKSUM.size]) != checksum:
        return None
    return generation


def encode_record(generation: int, number: int, body: bytes) -> bytes:
    """The bytes of a record."""
    header = _CHECKED.pack(len(body), zlib.crc32(body), generation, number)
    return header + _CHECKSUM.pack(zlib.crc32(header)) + body + _END


def read_record(raw: bytes, offset: int) -> LogRecord | None:
    """The record at `offset`; None unless header, body and end byte are all intact."""
    start = offset + _HEADER.size
    if offset < 0 or start > len(raw):
        return None
    length, body_checksum, generation, number, checksum = _HEADER.unpack(raw[offset:start])
    if zlib.crc32(raw[offset : start - _CHECKSUM.size]) != checksum:
        return None
    end = start + length
    if raw[end : end + 1] != _END:
        return None
    body = raw[start:end]
    if zlib.crc32(body) != body_checksum:
        return None
    return LogRecord(generation, number, body, offset, end + 1)


def contains_record(raw: bytes, start: int, generation: int, least_number: int = 0) -> bool:
    """Returns whether a record of `generation` begins at `start` or later."""
    pattern = _NUMBER.pack(generation)
    at = raw.find(pattern, start + _LAP_OFFSET)
    while at >= 0:
        record = read_record(raw, at - _LAP_OFFSET)
        if record and record.generation == generation and record.number >= least_number:
            return True
        at = raw.find(pattern, at + 1)
    return False

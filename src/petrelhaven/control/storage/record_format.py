"""How records lie in a log file: a header, a JSON body and an end byte, guarded by checksums."""

import struct
import zlib
from dataclasses import dataclass

__all__ = [
    "LEAD_SIZE",
    "LogRecord",
    "encode_lead",
    "encode_record",
    "holds_record",
    "read_lead",
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

LEAD_SIZE = _LEAD.size


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One complete record of a file: `offset` is its first byte, `end` the byte after it."""

    lap: int
    number: int
    body: bytes
    offset: int
    end: int


def encode_lead(lap: int) -> bytes:
    """The first bytes of a file; they are written last and say that its first record is synced."""
    lead = struct.pack(">8sQ", _MAGIC, lap)
    return lead + _CHECKSUM.pack(zlib.crc32(lead))


def read_lead(raw: bytes) -> int | None:
    """The lap that the file's lead names; None if the lead is missing, torn or damaged."""
    if len(raw) < LEAD_SIZE:
        return None
    magic: bytes
    lap: int
    checksum: int
    magic, lap, checksum = _LEAD.unpack(raw[:LEAD_SIZE])
    if magic != _MAGIC or zlib.crc32(raw[: LEAD_SIZE - _CHECKSUM.size]) != checksum:
        return None
    return lap


def encode_record(lap: int, number: int, body: bytes) -> bytes:
    """The bytes of a record."""
    header = _CHECKED.pack(len(body), zlib.crc32(body), lap, number)
    return header + _CHECKSUM.pack(zlib.crc32(header)) + body + _END


def read_record(raw: bytes, offset: int) -> LogRecord | None:
    """The record at `offset`; None unless header, body and end byte are all intact."""
    start = offset + _HEADER.size
    if offset < 0 or start > len(raw):
        return None
    length, body_checksum, lap, number, checksum = _HEADER.unpack(raw[offset:start])
    if zlib.crc32(raw[offset : start - _CHECKSUM.size]) != checksum:
        return None
    end = start + length
    if raw[end : end + 1] != _END:
        return None
    body = raw[start:end]
    if zlib.crc32(body) != body_checksum:
        return None
    return LogRecord(lap, number, body, offset, end + 1)


def holds_record(raw: bytes, start: int, lap: int, least_number: int = 0) -> bool:
    """Whether a record of `lap`, numbered `least_number` or more, begins at `start` or later."""
    pattern = _NUMBER.pack(lap)
    at = raw.find(pattern, start + _LAP_OFFSET)
    while at >= 0:
        record = read_record(raw, at - _LAP_OFFSET)
        if record and record.lap == lap and record.number >= least_number:
            return True
        at = raw.find(pattern, at + 1)
    return False

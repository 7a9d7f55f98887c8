"""The binary layout of a log file.

A file starts with a file header: magic bytes, the generation of the file and a checksum. Records
follow: each has a header with checksums, a JSON body and an end byte. Every switch to another file
begins a new generation.
"""

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
_FILE_HEADER = struct.Struct(">8sQI")
_RECORD_HEADER = struct.Struct(">IIQQI")
_CHECKED_FIELDS = struct.Struct(">IIQQ")
_GENERATION = struct.Struct(">Q")
_CHECKSUM = struct.Struct(">I")
_END_BYTE = b"\xa5"
_GENERATION_OFFSET = 8

FILE_HEADER_BYTES = _FILE_HEADER.size


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One intact record of a file.

    Attributes:
        generation: The generation of the file.
        number: Rises by one with each record, also from file to file.
        body: The JSON document.
        offset: The position of its first byte.
        end: The position after its last byte.
    """

    generation: int
    number: int
    body: bytes
    offset: int
    end: int


def encode_file_header(generation: int) -> bytes:
    """Returns a file header.

    It is written last: an intact one proves that the file's first record is synced.
    """
    header = struct.pack(">8sQ", _MAGIC, generation)
    return header + _CHECKSUM.pack(zlib.crc32(header))


def read_file_header(raw: bytes) -> int | None:
    """Returns the generation in the file header, or None if the header isn't intact."""
    if len(raw) < FILE_HEADER_BYTES:
        return None
    magic: bytes
    generation: int
    checksum: int
    magic, generation, checksum = _FILE_HEADER.unpack(raw[:FILE_HEADER_BYTES])
    if magic != _MAGIC or zlib.crc32(raw[: FILE_HEADER_BYTES - _CHECKSUM.size]) != checksum:
        return None
    return generation


def encode_record(generation: int, number: int, body: bytes) -> bytes:
    """Returns the bytes of a record."""
    header = _CHECKED_FIELDS.pack(len(body), zlib.crc32(body), generation, number)
    return header + _CHECKSUM.pack(zlib.crc32(header)) + body + _END_BYTE


def read_record(raw: bytes, offset: int) -> LogRecord | None:
    """Returns the record at `offset`, or None unless header, body and end byte are intact."""
    start = offset + _RECORD_HEADER.size
    if offset < 0 or start > len(raw):
        return None
    length, body_checksum, generation, number, checksum = _RECORD_HEADER.unpack(raw[offset:start])
    if zlib.crc32(raw[offset : start - _CHECKSUM.size]) != checksum:
        return None
    end = start + length
    if raw[end : end + 1] != _END_BYTE:
        return None
    body = raw[start:end]
    if zlib.crc32(body) != body_checksum:
        return None
    return LogRecord(generation, number, body, offset, end + 1)


def contains_record(raw: bytes, start: int, generation: int, min_number: int = 0) -> bool:
    """Returns whether an intact record of `generation` begins at `start` or later.

    Records with a number below `min_number` don't count.
    """
    pattern = _GENERATION.pack(generation)
    position = raw.find(pattern, start + _GENERATION_OFFSET)
    while position >= 0:
        record = read_record(raw, position - _GENERATION_OFFSET)
        if record and record.generation == generation and record.number >= min_number:
            return True
        position = raw.find(pattern, position + 1)
    return False

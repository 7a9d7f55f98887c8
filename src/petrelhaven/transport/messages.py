"""Encoding and decoding of messages between the system's processes."""

import io
import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, cast

import fastavro

from petrelhaven.runtime.errors import Malformed, UnknownKind, VersionMismatch
from petrelhaven.transport.contracts import KINDS, Shape

__all__ = ["CALL", "FAULT", "KINDS", "RESULT", "DATAGRAM", "VERSION", "Message", "pack", "unpack"]

VERSION = 3
CALL, RESULT, FAULT, DATAGRAM = 0, 1, 2, 3

_COMPRESSION_THRESHOLD_BYTES = 1_024
_MAX_BODY_BYTES = 16 << 20
_MAX_REPORTED_KIND_CHARS = 40
_ENVELOPE_SCHEMA = fastavro.parse_schema(
    {
        "type": "record",
        "name": "head",
        "fields": [
            {"name": "v", "type": "int"},
            {"name": "id", "type": "long"},
            {"name": "flow", "type": "int"},
            {"name": "kind", "type": "string"},
            {"name": "thin", "type": "boolean"},
            {"name": "body", "type": "bytes"},
        ],
    }
)
_FAULT_SHAPE = Shape("fault_res", "doc:doc")


@dataclass(frozen=True, slots=True)
class Message:
    """One message.

    Attributes:
        kind: the kind of the message, one of `MessageKind`.
        flow: CALL, RESULT, FAULT, or DATAGRAM, which has no answer.
        number: the number of the call on its connection; its answer has the same number.
        body: the fields of the message.
    """

    kind: str
    flow: int
    number: int
    body: dict[str, Any]


def _shape_of(kind: str, flow: int) -> Shape:
    if flow == FAULT:
        return _FAULT_SHAPE
    contract = KINDS.get(kind)
    if contract is None:
        raise UnknownKind(kind)
    return contract.result if flow == RESULT else contract.request


def pack(kind: str, flow: int, number: int, body: Mapping[str, Any]) -> bytes:
    """Encodes one message.

    Args:
        kind: one of `MessageKind`.
        flow: CALL, RESULT, FAULT or DATAGRAM.
        number: the number of the call on its connection; 0 for a datagram.
        body: the fields that the contract of `kind` declares.

    Raises:
        UnknownKind: there is no contract for `kind`.
    """
    shape = _shape_of(kind, flow)
    if shape.documents:
        body = dict(body)
        for field in shape.documents:
            body[field] = json.dumps(body[field], separators=(",", ":"))
    written = io.BytesIO()
    fastavro.schemaless_writer(written, shape.schema, body)
    raw = written.getvalue()
    compressed = len(raw) > _COMPRESSION_THRESHOLD_BYTES
    if compressed:
        raw = zlib.compress(raw, 1)
    head = {
        "v": VERSION,
        "id": number,
        "flow": flow,
        "kind": kind,
        "thin": compressed,
        "body": raw,
    }
    packed = io.BytesIO()
    fastavro.schemaless_writer(packed, _ENVELOPE_SCHEMA, head)
    return packed.getvalue()


def _decompress(raw: bytes) -> bytes:
    stream = zlib.decompressobj()
    decompressed = stream.decompress(raw, _MAX_BODY_BYTES)
    if stream.unconsumed_tail or not stream.eof:
        raise ValueError("length")
    return decompressed


def _read_envelope(raw: bytes) -> dict[str, Any]:
    try:
        head = cast(dict[str, Any], fastavro.schemaless_reader(io.BytesIO(raw), _ENVELOPE_SCHEMA))
    except Exception as error:
        raise Malformed(f"head: {type(error).__name__}") from None
    if head["v"] != VERSION:
        more = {
            "id": head["id"],
            "flow": head["flow"],
            "kind": head["kind"][:_MAX_REPORTED_KIND_CHARS],
        }
        raise VersionMismatch(f"message version {head['v']}", details=more)
    return head


def unpack(raw: bytes) -> Message:
    """Decodes one message.

    Raises:
        VersionMismatch: the message has another protocol version.
        UnknownKind: this version has no such kind of message.
        Malformed: `raw` is not a message, or its body does not match its contract.
    """
    head = _read_envelope(raw)
    shape = _shape_of(head["kind"], head["flow"])
    try:
        written = _decompress(head["body"]) if head["thin"] else head["body"]
        record = fastavro.schemaless_reader(io.BytesIO(written), shape.schema)
        body = cast(dict[str, Any], record)
        for field in shape.documents:
            body[field] = json.loads(body[field])
    except Exception as error:
        raise Malformed(f"{head['kind']}: {type(error).__name__}") from None
    if head["flow"] == FAULT and not isinstance(body["doc"], dict):
        raise Malformed(f"{head['kind']}: fault")
    return Message(head["kind"], head["flow"], head["id"], body)

"""Messages between the system's own processes as bytes, and back."""

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

_COMPRESS_ABOVE = 1_024
_LARGEST_BODY = 16 << 20
_LONGEST_KIND = 40
_HEAD = fastavro.parse_schema(
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
        kind: its kind, one of `MessageKind`.
        flow: CALL, RESULT, FAULT, or DATAGRAM for a datagram that nobody answers.
        number: the call's number on its connection, which its answer repeats.
        body: its fields.
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
    """The bytes of one message.

    Args:
        kind: one of `MessageKind`.
        flow: CALL, RESULT, FAULT or DATAGRAM.
        number: the call's number on its connection; 0 for a datagram.
        body: the fields that the contract of `kind` names.

    Raises:
        UnknownKind: no contract has this kind.
    """
    shape = _shape_of(kind, flow)
    if shape.documents:
        body = dict(body)
        for field in shape.documents:
            body[field] = json.dumps(body[field], separators=(",", ":"))
    written = io.BytesIO()
    fastavro.schemaless_writer(written, shape.schema, body)
    raw = written.getvalue()
    compressed = len(raw) > _COMPRESS_ABOVE
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
    fastavro.schemaless_writer(packed, _HEAD, head)
    return packed.getvalue()


def _decompress(raw: bytes) -> bytes:
    stream = zlib.decompressobj()
    out = stream.decompress(raw, _LARGEST_BODY)
    if stream.unconsumed_tail or not stream.eof:
        raise ValueError("length")
    return out


def _read_head(raw: bytes) -> dict[str, Any]:
    try:
        head = cast(dict[str, Any], fastavro.schemaless_reader(io.BytesIO(raw), _HEAD))
    except Exception as error:
        raise Malformed(f"head: {type(error).__name__}") from None
    if head["v"] != VERSION:
        more = {"id": head["id"], "flow": head["flow"], "kind": head["kind"][:_LONGEST_KIND]}
        raise VersionMismatch(f"message version {head['v']}", details=more)
    return head


def unpack(raw: bytes) -> Message:
    """The message that `raw` holds.

    Raises:
        VersionMismatch: it is of another version of this protocol.
        UnknownKind: this version has no such kind of message.
        Malformed: it is not a message, or its body is not as its contract says.
    """
    head = _read_head(raw)
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

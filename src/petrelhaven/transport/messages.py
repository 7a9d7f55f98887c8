"""What the system's own processes say to each other: one avro contract a kind of message."""

import io
import json
import zlib

import fastavro

from petrelhaven.runtime.errors import Malformed, Unspoken, Unversed

__all__ = ["VERSION", "KINDS", "pack", "unpack"]

VERSION = 3
_SMALL = 1_024
_MOST = 16 << 20
_PLAIN = {"long", "string", "boolean", "int", "bytes"}


def _schema(name, text):
    fs = []
    for w in text.split():
        n, t = w.split(":")
        if t == "doc":
            a = "string"
        elif t == "strings":
            a = {"type": "array", "items": "string"}
        elif t == "longs":
            a = {"type": "map", "values": "long"}
        else:
            assert t in _PLAIN, t
            a = t
        fs.append({"name": n, "type": a})
    docs = tuple(w.split(":")[0] for w in text.split() if w.endswith(":doc"))
    return fastavro.parse_schema({"type": "record", "name": name, "fields": fs}), docs


def _contract(kind, ask, res="ok:boolean"):
    s = kind.replace(".", "_")
    KINDS[kind] = (_schema(s + "_ask", ask), _schema(s + "_res", res))


KINDS = {}
# kith: probes, second opinions
_contract("kith.probe", "nonce:long src:string news:doc")
_contract("kith.ack", "nonce:long src:string news:doc")
_contract("kith.ask", "nonce:long src:string to:string news:doc")
_contract("kith.join", "src:string news:doc", "news:doc")
# helm: votes, views, chain
_contract(
    "vote.prepare",
    "num:long who:string ids:doc",
    "ok:boolean num:long who:string value:doc seen:long",
)
_contract("vote.accept", "num:long who:string ids:doc value:doc", "ok:boolean seen:long")
_contract(
    "view.ask",
    "name:string",
    "name:string disk:string fresh:boolean view:doc done:long held:long commit:long",
)
_contract("disk.turned", "name:string refuses:boolean")
_contract("view.learn", "view:doc")
_contract("view.confirm", "name:string n:long tied:long", "ok:boolean view:doc")
_contract(
    "chain.append",
    "view:long prev:long mark:long recs:doc frame:doc done:boolean",
    "held:long mark:long commit:long",
)
_contract("chain.enter", "rec:doc force:boolean", "seq:long forced:boolean doc:doc")
_contract("chain.read", "what:doc", "doc:doc")
_contract("chain.force", "seq:long", "acked:longs live:longs floor:long commit:long")
_contract("edge.frame", "name:string", "frame:doc")
_contract("duty.heard", "name:string", "doc:doc")
# control to edges
_contract("edge.hold", "edge:string inc:long applied:long", "ok:boolean note:string")
_contract("edge.push", "frame:doc recs:doc commit:long", "applied:long acked:long")
_contract(
    "edge.lease",
    "edge:string inc:long boot:string applied:long acked:long",
    "ok:boolean us:long need:long",
)
_contract(
    "edge.enter",
    "edge:string inc:long state:string boot:string hall:string addr:string http:string",
    "seq:long",
)
# an edge's tie, cores among themselves about members
_contract(
    "tie.pulse",
    "name:string seq:long cores:long doubts:doc",
    "ok:boolean us:long need:long view:long edges:long cores:doc",
)
_contract("tie.wall", "name:string", "ok:boolean lo:long hi:long")
_contract("wall.read", "name:string", "wall:long")
_contract("warden.doubt", "group:string member:string how:string")
_contract("warden.look", "member:string addr:string group:string", "how:string")
# edges among themselves
_contract("span.deliver", "sid:string ask:doc", "res:doc")
_contract(
    "span.keep",
    "sid:string to:string epoch:long ver:long home:string state:doc",
    "ok:boolean epoch:long",
)
_contract(
    "span.take",
    "sid:string to:string epoch:long ver:long home:string state:doc",
    "ok:boolean epoch:long",
)
_contract("span.drop", "sid:string epoch:long")
_contract(
    "span.cede",
    "sid:string to:string me:string epoch:long ver:long want:long got:strings",
    "ok:boolean epoch:long",
)
_contract("span.seen", "rows:strings", "rows:doc")
_contract("creed.relay", "to:string kind:string us:long body:doc", "body:doc")
_contract("creed.belief", "who:string", "doc:doc")

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
_FAULT = _schema("fault_res", "doc:doc")
CALL, RESULT, FAULT, TELL = 0, 1, 2, 3


def _pick(kind, flow):
    if flow == FAULT:
        return _FAULT
    k = KINDS.get(kind)
    if k is None:
        raise Unspoken(kind)
    return k[1] if flow == RESULT else k[0]


def pack(kind, flow, num, body):
    """The bytes of one message."""
    sch, docs = _pick(kind, flow)
    if docs:
        body = dict(body)
        for d in docs:
            body[d] = json.dumps(body[d], separators=(",", ":"))
    b = io.BytesIO()
    fastavro.schemaless_writer(b, sch, body)
    raw = b.getvalue()
    thin = len(raw) > _SMALL
    if thin:
        raw = zlib.compress(raw, 1)
    o = io.BytesIO()
    head = {"v": VERSION, "id": num, "flow": flow, "kind": kind, "thin": thin, "body": raw}
    fastavro.schemaless_writer(o, _HEAD, head)
    return o.getvalue()


def _thick(raw):
    d = zlib.decompressobj()
    out = d.decompress(raw, _MOST)
    if d.unconsumed_tail or not d.eof:
        raise ValueError("length")
    return out


def unpack(raw):
    """(kind, flow, number, body) of one message; Malformed, Unversed or Unspoken by type."""
    try:
        h = fastavro.schemaless_reader(io.BytesIO(raw), _HEAD)
    except Exception as e:
        raise Malformed(f"head: {type(e).__name__}") from None
    if h["v"] != VERSION:
        raise Unversed(
            f"message version {h['v']}",
            more={"id": h["id"], "flow": h["flow"], "kind": h["kind"][:40]},
        )
    sch, docs = _pick(h["kind"], h["flow"])
    try:
        body = fastavro.schemaless_reader(
            io.BytesIO(_thick(h["body"]) if h["thin"] else h["body"]), sch
        )
        for d in docs:
            body[d] = json.loads(body[d])
    except Exception as e:
        raise Malformed(f"{h['kind']}: {type(e).__name__}") from None
    return h["kind"], h["flow"], h["id"], body

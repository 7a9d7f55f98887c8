"""The messages between the system's own processes: one avro contract for each kind.

Each contract also says whether a call of its kind may run more than once. The transport follows
that property: a call that may not be repeated leaves a process once, whatever its answer.
"""

import enum
import functools
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import fastavro

from petrelhaven.transport.message_kinds import MessageKind

__all__ = ["KINDS", "Contract", "Repeat", "Shape", "repeat_of"]

_PLAIN_TYPES = frozenset({"long", "string", "boolean", "int", "bytes"})
_COMPOSED_TYPES = {
    "doc": "string",
    "strings": {"type": "array", "items": "string"},
    "longs": {"type": "map", "values": "long"},
}
_DONE = "ok:boolean"


class Repeat(enum.Enum):
    """Whether a call may run more than once for one request of its caller."""

    SAFE = "safe"
    """Running it again, also late, changes nothing: it reads, or numbers make it void."""
    NEVER = "never"
    """It is sent once. After a silence or a reset its outcome is reported as unknown."""
    CARRIED = "carried"
    """It carries another call, and that call's property holds."""


@functools.cache
def _parsed(name: str, fields: str) -> tuple[Any, tuple[str, ...]]:
    """The avro schema that `fields` describes, and which of them are JSON documents."""
    pairs = [declaration.split(":") for declaration in fields.split()]
    declared = []
    for field, kind in pairs:
        assert kind in _PLAIN_TYPES or kind in _COMPOSED_TYPES, kind
        declared.append({"name": field, "type": _COMPOSED_TYPES.get(kind, kind)})
    schema = fastavro.parse_schema({"type": "record", "name": name, "fields": declared})
    return schema, tuple(field for field, kind in pairs if kind == "doc")


@dataclass(frozen=True, slots=True)
class Shape:
    """The fields of one body, as `name:type` with blanks between them.

    The avro schema is parsed at its first use, since no node uses all of them.
    """

    name: str
    fields: str

    @property
    def schema(self) -> Any:  # noqa: ANN401
        """Its avro schema."""
        return _parsed(self.name, self.fields)[0]

    @property
    def documents(self) -> tuple[str, ...]:
        """Which of its fields are JSON documents."""
        return _parsed(self.name, self.fields)[1]


@dataclass(frozen=True, slots=True)
class Contract:
    """One kind of message.

    Attributes:
        kind: its name on the wire, one of `MessageKind`.
        request: the body of a call, or of a datagram.
        result: the body of the answer.
        repeat: whether a call may run more than once.
    """

    kind: str
    request: Shape
    result: Shape
    repeat: Repeat


KINDS: dict[str, Contract] = {}
"""The contract of each kind of message."""


def _contract(kind: str, repeat: Repeat, request: str, result: str = _DONE) -> None:
    name = kind.replace(".", "_")
    KINDS[kind] = Contract(
        kind, Shape(f"{name}_ask", request), Shape(f"{name}_res", result), repeat
    )


def repeat_of(kind: str, body: Mapping[str, Any]) -> Repeat:
    """Whether the call of `kind` with `body` may be repeated; an unknown kind never is."""
    contract = KINDS.get(kind)
    if contract is None:
        return Repeat.NEVER
    if contract.repeat is Repeat.CARRIED:
        return repeat_of(body["kind"], body["body"])
    return contract.repeat


# Membership: probes and second opinions (datagrams may arrive twice in any case), joining.
_contract(MessageKind.PEER_PROBE, Repeat.SAFE, "nonce:long src:string news:doc")
_contract(MessageKind.PEER_ACKNOWLEDGE, Repeat.SAFE, "nonce:long src:string news:doc")
_contract(MessageKind.PEER_PROBE_FOR, Repeat.SAFE, "nonce:long src:string to:string news:doc")
_contract(MessageKind.PEER_JOIN, Repeat.SAFE, "src:string news:doc", "news:doc")

# Control: the view register. A ballot is numbered, and a voter's promise only grows.
_contract(
    MessageKind.REGISTER_PREPARE,
    Repeat.SAFE,
    "num:long who:string ids:doc",
    "ok:boolean num:long who:string value:doc seen:long",
)
_contract(
    MessageKind.REGISTER_ACCEPT,
    Repeat.SAFE,
    "num:long who:string ids:doc value:doc",
    "ok:boolean seen:long",
)
_contract(
    MessageKind.VIEW_READ,
    Repeat.SAFE,
    "name:string",
    "name:string disk:string fresh:boolean view:doc done:long held:long commit:long "
    "up_us:long granted_us:longs",
)
_contract(MessageKind.VIEW_LEARN, Repeat.SAFE, "view:doc")
_contract(
    MessageKind.VIEW_CONFIRM,
    Repeat.SAFE,
    "name:string n:long tied:long",
    "ok:boolean view:doc boot:long clock:long",
)
# A late one would hold for a while again; the sender repeats it by itself while it is true.
_contract(MessageKind.DISK_STATE_CHANGED, Repeat.NEVER, "name:string refuses:boolean")

# Control: the chain. Records are numbered by the head, so an append is void the second time;
# entering a record is not.
_contract(
    MessageKind.CHAIN_APPEND,
    Repeat.SAFE,
    "view:long prev:long mark:long recs:doc frame:doc done:boolean",
    "held:long mark:long commit:long",
)
_contract(
    MessageKind.CHAIN_ENTER,
    Repeat.NEVER,
    "rec:doc force:boolean bound:doc",
    "seq:long forced:boolean doc:doc",
)
_contract(MessageKind.CHAIN_READ, Repeat.SAFE, "what:doc", "doc:doc")
_contract(
    MessageKind.CHAIN_IN_FORCE,
    Repeat.SAFE,
    "seq:long",
    "acked:longs live:longs floor:long commit:long",
)
_contract(MessageKind.PROXY_SNAPSHOT, Repeat.SAFE, "name:string", "frame:doc")
_contract(MessageKind.PLANNER_OBSERVATIONS, Repeat.SAFE, "name:string", "doc:doc")

# Control nodes and proxies. A lease belongs to the connection it was asked over, pushes are
# numbered, and a proxy counts its lease from when it asked.
_contract(
    MessageKind.PROXY_CONNECT,
    Repeat.SAFE,
    "edge:string inc:long applied:long",
    "ok:boolean note:string",
)
_contract(
    MessageKind.PROXY_PUSH, Repeat.SAFE, "frame:doc recs:doc commit:long", "applied:long acked:long"
)
_contract(
    MessageKind.PROXY_LEASE,
    Repeat.SAFE,
    "edge:string inc:long boot:string applied:long acked:long",
    "ok:boolean us:long need:long",
)
_contract(
    MessageKind.PROXY_ENTER,
    Repeat.NEVER,
    "edge:string inc:long state:string boot:string hall:string addr:string http:string",
    "seq:long",
)
_contract(
    MessageKind.LEASE_RENEW,
    Repeat.SAFE,
    "name:string seq:long cores:long doubts:doc",
    "ok:boolean us:long age:long need:long view:long edges:long cores:doc",
)
# Numbers of an account only grow, and a copy that counts twice counts too much, never too little.
_contract(MessageKind.QUOTA_REPORT, Repeat.SAFE, "name:string rows:doc", "rows:doc")
_contract(MessageKind.QUOTA_COUNT, Repeat.SAFE, "view:long rows:doc", "rows:doc")
_contract(MessageKind.QUOTA_COPY, Repeat.SAFE, "view:long life:long number:long bound:doc rows:doc")
_contract(
    MessageKind.QUOTA_FETCH,
    Repeat.SAFE,
    "view:long tenants:strings",
    "view:long rows:doc",
)
_contract(MessageKind.AGREED_TIME_READ, Repeat.SAFE, "name:string", "ok:boolean lo:long hi:long")
_contract(MessageKind.WALL_CLOCK_READ, Repeat.SAFE, "name:string", "wall:long")

# Control: suspected members. A check costs the member a connection and takes its whole bound:
# it is not repeated.
_contract(MessageKind.MEMBER_SUSPECT, Repeat.SAFE, "group:string member:string how:string")
_contract(
    MessageKind.MEMBER_CHECK, Repeat.NEVER, "member:string addr:string group:string", "how:string"
)

# Proxies among themselves. A statement runs once; the states of a session are numbered by its
# epoch and version.
_contract(MessageKind.SESSION_DELIVER, Repeat.NEVER, "sid:string ask:doc", "res:doc")
_contract(
    MessageKind.REPLICA_KEEP,
    Repeat.SAFE,
    "sid:string to:string epoch:long ver:long home:string state:doc",
    "ok:boolean epoch:long",
)
_contract(
    MessageKind.SESSION_TAKE,
    Repeat.SAFE,
    "sid:string to:string epoch:long ver:long home:string state:doc",
    "ok:boolean epoch:long",
)
_contract(MessageKind.REPLICA_DROP, Repeat.SAFE, "sid:string epoch:long")
_contract(
    MessageKind.SESSION_CEDE,
    Repeat.SAFE,
    "sid:string to:string me:string epoch:long ver:long want:long got:strings",
    "ok:boolean epoch:long",
)
_contract(MessageKind.REPLICA_VERSIONS, Repeat.SAFE, "rows:strings", "rows:doc")

# Any node: calls through a third one, and what a node believes of another.
_contract(MessageKind.RELAY, Repeat.CARRIED, "to:string kind:string us:long body:doc", "body:doc")
_contract(MessageKind.NODE_REPORTED_STATE, Repeat.SAFE, "who:string", "doc:doc")

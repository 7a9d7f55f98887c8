"""Contracts of the messages between the system's processes, one for each kind.

A contract defines the Avro schemas of request and result. It also states whether a call of its kind
may run more than once. The transport follows this property: a call that may not be repeated is sent
once, whatever the answer.
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
_ACKNOWLEDGEMENT = "ok:boolean"


class Repeat(enum.Enum):
    """Whether a call may run more than once for one request of its caller."""

    SAFE = "safe"
    """A repetition, even a late one, has no effect: the call only reads or is numbered."""
    NEVER = "never"
    """The call is sent once. After a timeout or a reset its outcome is reported as unknown."""
    CARRIED = "carried"
    """The call carries another call, whose property applies."""


@functools.cache
def _parse_fields(name: str, fields: str) -> tuple[Any, tuple[str, ...]]:
    """Returns the Avro schema that `fields` declares and the names of the JSON documents."""
    pairs = [declaration.split(":") for declaration in fields.split()]
    declared = []
    for field, kind in pairs:
        assert kind in _PLAIN_TYPES or kind in _COMPOSED_TYPES, kind
        declared.append({"name": field, "type": _COMPOSED_TYPES.get(kind, kind)})
    schema = fastavro.parse_schema({"type": "record", "name": name, "fields": declared})
    return schema, tuple(field for field, kind in pairs if kind == "doc")


@dataclass(frozen=True, slots=True)
class Shape:
    """The fields of one message body, declared as `name:type` and separated by spaces.

    The Avro schema is parsed at its first use, since no node uses all of them.
    """

    name: str
    fields: str

    @property
    def schema(self) -> Any:  # noqa: ANN401
        """The Avro schema of the body."""
        return _parse_fields(self.name, self.fields)[0]

    @property
    def documents(self) -> tuple[str, ...]:
        """The names of the fields that are JSON documents."""
        return _parse_fields(self.name, self.fields)[1]


@dataclass(frozen=True, slots=True)
class Contract:
    """The contract of one kind of message.

    Attributes:
        kind: the name of the kind in messages, one of `MessageKind`.
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


def _add_contract(kind: str, repeat: Repeat, request: str, result: str = _ACKNOWLEDGEMENT) -> None:
    name = kind.replace(".", "_")
    KINDS[kind] = Contract(
        kind, Shape(f"{name}_ask", request), Shape(f"{name}_res", result), repeat
    )


def repeat_of(kind: str, body: Mapping[str, Any]) -> Repeat:
    """Returns whether a call of `kind` with `body` may be repeated; NEVER for unknown kinds."""
    contract = KINDS.get(kind)
    if contract is None:
        return Repeat.NEVER
    if contract.repeat is Repeat.CARRIED:
        return repeat_of(body["kind"], body["body"])
    return contract.repeat


# Membership: direct and indirect probes (datagrams, which may arrive twice anyway), joining.
_add_contract(MessageKind.PEER_PROBE, Repeat.SAFE, "nonce:long src:string news:doc")
_add_contract(MessageKind.PEER_ACKNOWLEDGE, Repeat.SAFE, "nonce:long src:string news:doc")
_add_contract(MessageKind.PEER_PROBE_FOR, Repeat.SAFE, "nonce:long src:string to:string news:doc")
_add_contract(MessageKind.PEER_JOIN, Repeat.SAFE, "src:string news:doc", "news:doc")

# Control: the view register. Ballots are numbered, and a voter's promised ballot only increases.
_add_contract(
    MessageKind.REGISTER_PREPARE,
    Repeat.SAFE,
    "num:long who:string ids:doc",
    "ok:boolean num:long who:string value:doc seen:long",
)
_add_contract(
    MessageKind.REGISTER_ACCEPT,
    Repeat.SAFE,
    "num:long who:string ids:doc value:doc",
    "ok:boolean seen:long",
)
_add_contract(
    MessageKind.VIEW_READ,
    Repeat.SAFE,
    "name:string",
    "name:string disk:string fresh:boolean view:doc done:long held:long commit:long "
    "up_us:long granted_us:longs",
)
_add_contract(MessageKind.VIEW_LEARN, Repeat.SAFE, "view:doc")
_add_contract(
    MessageKind.VIEW_CONFIRM,
    Repeat.SAFE,
    "name:string n:long tied:long",
    "ok:boolean view:doc boot:long clock:long",
)
# A late repetition would take effect for a while although the state has changed since. The sender
# sends a new call periodically while the state lasts.
_add_contract(MessageKind.DISK_STATE_CHANGED, Repeat.NEVER, "name:string refuses:boolean")

# Control: the chain. The head numbers the records, so a repeated append has no effect. A repeated
# request to add a record would add it twice.
_add_contract(
    MessageKind.CHAIN_APPEND,
    Repeat.SAFE,
    "view:long prev:long mark:long recs:doc frame:doc done:boolean",
    "held:long mark:long commit:long",
)
_add_contract(
    MessageKind.CHAIN_ENTER,
    Repeat.NEVER,
    "rec:doc force:boolean bound:doc",
    "seq:long forced:boolean doc:doc",
)
_add_contract(MessageKind.CHAIN_READ, Repeat.SAFE, "what:doc", "doc:doc")
_add_contract(
    MessageKind.CHAIN_IN_FORCE,
    Repeat.SAFE,
    "seq:long",
    "acked:longs live:longs floor:long commit:long",
)
_add_contract(MessageKind.PROXY_SNAPSHOT, Repeat.SAFE, "name:string", "frame:doc")
_add_contract(MessageKind.PLANNER_OBSERVATIONS, Repeat.SAFE, "name:string", "doc:doc")

# Control nodes and proxies. A lease belongs to the connection over which it was requested, the
# records of a push are numbered, and a proxy measures its lease from the time of the request.
_add_contract(
    MessageKind.PROXY_CONNECT,
    Repeat.SAFE,
    "edge:string inc:long applied:long",
    "ok:boolean note:string",
)
_add_contract(
    MessageKind.PROXY_PUSH, Repeat.SAFE, "frame:doc recs:doc commit:long", "applied:long acked:long"
)
_add_contract(
    MessageKind.PROXY_LEASE,
    Repeat.SAFE,
    "edge:string inc:long boot:string applied:long acked:long",
    "ok:boolean us:long need:long",
)
_add_contract(
    MessageKind.PROXY_ENTER,
    Repeat.NEVER,
    "edge:string inc:long state:string boot:string hall:string addr:string http:string",
    "seq:long",
)
_add_contract(
    MessageKind.LEASE_RENEW,
    Repeat.SAFE,
    "name:string seq:long cores:long doubts:doc",
    "ok:boolean us:long age:long need:long view:long edges:long cores:doc",
)
# The counters of an account only increase, and a copy that is applied twice counts too much, never
# too little.
_add_contract(MessageKind.QUOTA_REPORT, Repeat.SAFE, "name:string rows:doc", "rows:doc")
_add_contract(MessageKind.QUOTA_COUNT, Repeat.SAFE, "view:long rows:doc", "rows:doc")
_add_contract(
    MessageKind.QUOTA_COPY, Repeat.SAFE, "view:long life:long number:long bound:doc rows:doc"
)
_add_contract(
    MessageKind.QUOTA_FETCH,
    Repeat.SAFE,
    "view:long tenants:strings",
    "view:long rows:doc",
)
_add_contract(
    MessageKind.AGREED_TIME_READ, Repeat.SAFE, "name:string", "ok:boolean lo:long hi:long"
)
_add_contract(MessageKind.WALL_CLOCK_READ, Repeat.SAFE, "name:string", "wall:long")

# Control: suspected members. A check uses a connection of the member and may take its full timeout,
# so it is not repeated.
_add_contract(MessageKind.MEMBER_SUSPECT, Repeat.SAFE, "group:string member:string how:string")
_add_contract(
    MessageKind.MEMBER_CHECK, Repeat.NEVER, "member:string addr:string group:string", "how:string"
)

# Between proxies. A statement must run only once. The states of a session are numbered by its epoch
# and version.
_add_contract(MessageKind.SESSION_DELIVER, Repeat.NEVER, "sid:string ask:doc", "res:doc")
_add_contract(
    MessageKind.REPLICA_KEEP,
    Repeat.SAFE,
    "sid:string to:string epoch:long ver:long home:string state:doc",
    "ok:boolean epoch:long",
)
_add_contract(
    MessageKind.SESSION_TAKE,
    Repeat.SAFE,
    "sid:string to:string epoch:long ver:long home:string state:doc",
    "ok:boolean epoch:long",
)
_add_contract(MessageKind.REPLICA_DROP, Repeat.SAFE, "sid:string epoch:long")
_add_contract(
    MessageKind.SESSION_CEDE,
    Repeat.SAFE,
    "sid:string to:string me:string epoch:long ver:long want:long got:strings",
    "ok:boolean epoch:long",
)
_add_contract(MessageKind.REPLICA_VERSIONS, Repeat.SAFE, "rows:strings", "rows:doc")

# Any node: relayed calls, and the state that a node reports about another.
_add_contract(
    MessageKind.RELAY, Repeat.CARRIED, "to:string kind:string us:long body:doc", "body:doc"
)
_add_contract(MessageKind.NODE_REPORTED_STATE, Repeat.SAFE, "who:string", "doc:doc")

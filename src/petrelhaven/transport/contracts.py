"""What the system's own processes say to each other: one avro contract for each kind of message.

Each contract also says whether a call of its kind may run more than once. The transport follows
that property: a call that may not be repeated leaves a process once, whatever its answer.
"""

import enum
import functools
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import fastavro

__all__ = ["KINDS", "RELAY", "Contract", "Repeat", "Shape", "repeat_of"]

RELAY = "creed.relay"

_PLAIN_TYPES = frozenset({"long", "string", "boolean", "int", "bytes"})
_COMPOSED_TYPES = {
    "doc": "string",
    "strings": {"type": "array", "items": "string"},
    "longs": {"type": "map", "values": "long"},
}
_DONE = "ok:boolean"


class Repeat(enum.Enum):
    """Whether a call may run more than once for one wish of its caller."""

    SAFE = "safe"
    """Running it again, also late, changes nothing: it reads, or numbers make it void."""
    NEVER = "never"
    """It is sent once. After a silence or a reset its outcome is unknown, and said so."""
    CARRIED = "carried"
    """It carries another call, and that call's property holds."""


@functools.cache
def _parsed(name: str, fields: str) -> tuple[Any, tuple[str, ...]]:
    """The avro schema that `fields` describes, and which of them are JSON documents."""
    pairs = [word.split(":") for word in fields.split()]
    declared = []
    for field, kind in pairs:
        assert kind in _PLAIN_TYPES or kind in _COMPOSED_TYPES, kind
        declared.append({"name": field, "type": _COMPOSED_TYPES.get(kind, kind)})
    schema = fastavro.parse_schema({"type": "record", "name": name, "fields": declared})
    return schema, tuple(field for field, kind in pairs if kind == "doc")


@dataclass(frozen=True, slots=True)
class Shape:
    """One body: words of the form `name:type`. Parsed at its first use, for few nodes use all."""

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
    """One kind of message: what is asked and answered, and whether the call may be repeated."""

    kind: str
    ask: Shape
    result: Shape
    repeat: Repeat


KINDS: dict[str, Contract] = {}


def _contract(kind: str, repeat: Repeat, ask: str, result: str = _DONE) -> None:
    name = kind.replace(".", "_")
    KINDS[kind] = Contract(kind, Shape(f"{name}_ask", ask), Shape(f"{name}_res", result), repeat)


def repeat_of(kind: str, body: Mapping[str, Any]) -> Repeat:
    """Whether this very call may be repeated; what nobody declared is never repeated."""
    contract = KINDS.get(kind)
    if contract is None:
        return Repeat.NEVER
    if contract.repeat is Repeat.CARRIED:
        return repeat_of(body["kind"], body["body"])
    return contract.repeat


# Membership: probes and second opinions (datagrams may arrive twice in any case), joining.
_contract("kith.probe", Repeat.SAFE, "nonce:long src:string news:doc")
_contract("kith.ack", Repeat.SAFE, "nonce:long src:string news:doc")
_contract("kith.ask", Repeat.SAFE, "nonce:long src:string to:string news:doc")
_contract("kith.join", Repeat.SAFE, "src:string news:doc", "news:doc")

# Control: the view register. A ballot is numbered, and a voter's promise only grows.
_contract(
    "vote.prepare",
    Repeat.SAFE,
    "num:long who:string ids:doc",
    "ok:boolean num:long who:string value:doc seen:long",
)
_contract(
    "vote.accept",
    Repeat.SAFE,
    "num:long who:string ids:doc value:doc",
    "ok:boolean seen:long",
)
_contract(
    "view.ask",
    Repeat.SAFE,
    "name:string",
    "name:string disk:string fresh:boolean view:doc done:long held:long commit:long "
    "up_us:long granted_us:longs",
)
_contract("view.learn", Repeat.SAFE, "view:doc")
_contract(
    "view.confirm",
    Repeat.SAFE,
    "name:string n:long tied:long",
    "ok:boolean view:doc boot:long clock:long",
)
# Heard late it would hold for a while again; the teller repeats it by itself while it is true.
_contract("disk.turned", Repeat.NEVER, "name:string refuses:boolean")

# Control: the chain. Records are numbered by the head, so an append is void the second time;
# entering a record is not.
_contract(
    "chain.append",
    Repeat.SAFE,
    "view:long prev:long mark:long recs:doc frame:doc done:boolean",
    "held:long mark:long commit:long",
)
_contract(
    "chain.enter",
    Repeat.NEVER,
    "rec:doc force:boolean bound:doc",
    "seq:long forced:boolean doc:doc",
)
_contract("chain.read", Repeat.SAFE, "what:doc", "doc:doc")
_contract(
    "chain.force",
    Repeat.SAFE,
    "seq:long",
    "acked:longs live:longs floor:long commit:long",
)
_contract("edge.frame", Repeat.SAFE, "name:string", "frame:doc")
_contract("duty.heard", Repeat.SAFE, "name:string", "doc:doc")

# Control and edges. A hold belongs to the connection it came over, pushes are numbered, and an
# edge counts its lease from when it asked.
_contract("edge.hold", Repeat.SAFE, "edge:string inc:long applied:long", "ok:boolean note:string")
_contract("edge.push", Repeat.SAFE, "frame:doc recs:doc commit:long", "applied:long acked:long")
_contract(
    "edge.lease",
    Repeat.SAFE,
    "edge:string inc:long boot:string applied:long acked:long",
    "ok:boolean us:long need:long",
)
_contract(
    "edge.enter",
    Repeat.NEVER,
    "edge:string inc:long state:string boot:string hall:string addr:string http:string",
    "seq:long",
)
_contract(
    "tie.pulse",
    Repeat.SAFE,
    "name:string seq:long cores:long doubts:doc",
    "ok:boolean us:long age:long need:long view:long edges:long cores:doc",
)
_contract("tie.wall", Repeat.SAFE, "name:string", "ok:boolean lo:long hi:long")
_contract("wall.read", Repeat.SAFE, "name:string", "wall:long")

# Control: doubts about members. A look costs the member a connection and takes its whole bound:
# it is not repeated.
_contract("warden.doubt", Repeat.SAFE, "group:string member:string how:string")
_contract("warden.look", Repeat.NEVER, "member:string addr:string group:string", "how:string")

# Edges among themselves. A statement runs once; what is said of a session is numbered by its
# epoch and version.
_contract("span.deliver", Repeat.NEVER, "sid:string ask:doc", "res:doc")
_contract(
    "span.keep",
    Repeat.SAFE,
    "sid:string to:string epoch:long ver:long home:string state:doc",
    "ok:boolean epoch:long",
)
_contract(
    "span.take",
    Repeat.SAFE,
    "sid:string to:string epoch:long ver:long home:string state:doc",
    "ok:boolean epoch:long",
)
_contract("span.drop", Repeat.SAFE, "sid:string epoch:long")
_contract(
    "span.cede",
    Repeat.SAFE,
    "sid:string to:string me:string epoch:long ver:long want:long got:strings",
    "ok:boolean epoch:long",
)
_contract("span.seen", Repeat.SAFE, "rows:strings", "rows:doc")

# Any node: calls through a third one, and what a node believes of another.
_contract(RELAY, Repeat.CARRIED, "to:string kind:string us:long body:doc", "body:doc")
_contract("creed.belief", Repeat.SAFE, "who:string", "doc:doc")

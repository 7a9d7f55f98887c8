"""What a control node writes to its log: typed entries and their JSON documents."""

from dataclasses import dataclass
from typing import Any

__all__ = [
    "ChainRecord",
    "Entry",
    "ViewCompleted",
    "StateReplaced",
    "Snapshot",
    "Vote",
    "from_document",
    "empty_vote",
    "to_document",
]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Everything that a core remembers: the first record of every file."""

    disk: str
    name: str
    vote: dict[str, Any]
    done: int
    control_state: dict[str, Any]
    entered_view: int


@dataclass(frozen=True, slots=True)
class Vote:
    """The highest promise and the last accepted view of this node."""

    vote: dict[str, Any]
    done: int | None = None


@dataclass(frozen=True, slots=True)
class ViewCompleted:
    """Everything of a view was handed over to this core."""

    view: int


@dataclass(frozen=True, slots=True)
class ChainRecord:
    """A numbered record of the chain and the view in which it was entered."""

    seq: int
    view: int
    record: dict[str, Any]


@dataclass(frozen=True, slots=True)
class StateReplaced:
    """The control state was replaced by that of another core."""

    control_state: dict[str, Any]
    entered_view: int


Entry = Snapshot | Vote | ViewCompleted | ChainRecord | StateReplaced


def empty_vote() -> dict[str, Any]:
    """The vote of a core that has neither promised nor accepted anything."""
    return {"num": 0, "who": "", "anum": 0, "awho": "", "value": None, "ids": None}


def to_document(entry: Entry) -> dict[str, Any]:
    """The JSON document of an entry."""
    match entry:
        case Snapshot(disk, name, vote, done, control_state, entered_view):
            return {
                "t": "frame",
                "disk": disk,
                "name": name,
                "vote": vote,
                "done": done,
                "realm": control_state,
                "mark": entered_view,
            }
        case Vote(vote, None):
            return {"t": "vote", "vote": vote}
        case Vote(vote, done):
            return {"t": "vote", "vote": vote, "done": done}
        case ViewCompleted(view):
            return {"t": "done", "n": view}
        case ChainRecord(seq, view, record):
            return {"t": "rec", "seq": seq, "view": view, "rec": record}
        case StateReplaced(control_state, entered_view):
            return {"t": "reset", "realm": control_state, "mark": entered_view}
    raise TypeError(type(entry).__name__)


def from_document(document: dict[str, Any]) -> Entry | None:
    """The entry of a JSON document; None for one that says nothing more than its frame (`id`)."""
    match document:
        case {"t": "frame"}:
            return Snapshot(
                document["disk"],
                document["name"],
                {**empty_vote(), **document["vote"]},
                document["done"],
                document["realm"],
                document["mark"],
            )
        case {"t": "vote"}:
            return Vote({**empty_vote(), **document["vote"]}, document.get("done"))
        case {"t": "done"}:
            return ViewCompleted(document["n"])
        case {"t": "rec"}:
            return ChainRecord(document["seq"], document["view"], document["rec"])
        case {"t": "reset"}:
            return StateReplaced(document["realm"], document["mark"])
    return None

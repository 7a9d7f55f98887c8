"""The entries of a control node's log, as typed values and as JSON documents.

The keys of the documents are part of the stored data.
"""

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
    """The complete state of a control node; the first entry of every file.

    Attributes:
        disk_id: The identity of the node's disk.
        name: The node's name.
        vote: The highest promise and the last accepted view.
        complete_view: The newest view of which the node has every record.
        control_state: The document of the control state.
        entered_view: The view in which the last record was entered.
    """

    disk_id: str
    name: str
    vote: dict[str, Any]
    complete_view: int
    control_state: dict[str, Any]
    entered_view: int


@dataclass(frozen=True, slots=True)
class Vote:
    """A promise or an accepted view.

    Attributes:
        vote: The highest promise and the last accepted view.
        complete_view: The new newest complete view; None if it is unchanged.
    """

    vote: dict[str, Any]
    complete_view: int | None = None


@dataclass(frozen=True, slots=True)
class ViewCompleted:
    """The node has every record of a view."""

    view: int


@dataclass(frozen=True, slots=True)
class ChainRecord:
    """A numbered record of the chain, with the view in which it was entered."""

    seq: int
    view: int
    record: dict[str, Any]


@dataclass(frozen=True, slots=True)
class StateReplaced:
    """The control state was replaced with another control node's."""

    control_state: dict[str, Any]
    entered_view: int


Entry = Snapshot | Vote | ViewCompleted | ChainRecord | StateReplaced


def empty_vote() -> dict[str, Any]:
    """Returns the vote of a node that has neither promised nor accepted a view."""
    return {"num": 0, "who": "", "anum": 0, "awho": "", "value": None, "ids": None}


def to_document(entry: Entry) -> dict[str, Any]:
    """Returns the JSON document of an entry."""
    match entry:
        case Snapshot(disk_id, name, vote, complete_view, control_state, entered_view):
            return {
                "t": "frame",
                "disk": disk_id,
                "name": name,
                "vote": vote,
                "done": complete_view,
                "realm": control_state,
                "mark": entered_view,
            }
        case Vote(vote, None):
            return {"t": "vote", "vote": vote}
        case Vote(vote, complete_view):
            return {"t": "vote", "vote": vote, "done": complete_view}
        case ViewCompleted(view):
            return {"t": "done", "n": view}
        case ChainRecord(seq, view, record):
            return {"t": "rec", "seq": seq, "view": view, "rec": record}
        case StateReplaced(control_state, entered_view):
            return {"t": "reset", "realm": control_state, "mark": entered_view}
    raise TypeError(type(entry).__name__)


def from_document(document: dict[str, Any]) -> Entry | None:
    """Reads the entry of a JSON document.

    Returns None for other kinds: older versions wrote an `id` entry, whose content the snapshot has
    too.
    """
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

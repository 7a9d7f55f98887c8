"""What operators' interfaces of control nodes and proxies have in common: queries and answers."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from petrelhaven.runtime.errors import Malformed, NoRoute, NotReady

if TYPE_CHECKING:
    from petrelhaven.control.interface.contracts import Document, RawResponse

__all__ = [
    "EVENTS_CONTENT_TYPE",
    "confirmation_headers",
    "configuration_response",
    "leadership_response",
    "leadership_history",
    "parse_lost_nodes",
    "parse_query_number",
    "readiness_response",
]

EVENTS_CONTENT_TYPE = "application/cloudevents-batch+json"

_NUMBER = re.compile(r"[0-9]{1,18}")
_GROUP_SHOWN = 60


def parse_query_number(
    query: Mapping[str, str], name: str, default: int | None = None
) -> int | None:
    """A whole number of a query, or `default` where it is not given.

    Raises:
        Malformed: it is no whole number.
    """
    text = query.get(name)
    if text is None:
        return default
    if not _NUMBER.fullmatch(text):
        raise Malformed(f"{name} must be a whole number")
    return int(text)


def leadership_history(
    state: Document, query: Mapping[str, str], wait_reason: str | None = None
) -> Document:
    """A leadership of a group, the one before it, and which are still stored.

    Args:
        state: the control state's document.
        query: `group`, and `n` for the number of a leadership other than the last one.
        wait_reason: what the failover coordinator waits for in this group, if it does.

    Raises:
        NoRoute: there is no such group, or its leadership of that number is not stored any more.
    """
    group, number = query.get("group", ""), parse_query_number(query, "n")
    if group not in state["offices"]:
        raise NoRoute(f"no office of {group[:_GROUP_SHOWN]}")
    past = state["past"].get(group) or [state["offices"][group]]
    if number is None:
        return leadership_response(past, len(past) - 1, wait_reason)
    for index, leadership in enumerate(past):
        if leadership["n"] == number:
            return leadership_response(past, index, wait_reason)
    raise NoRoute(f"office {number} of {group[:_GROUP_SHOWN]} is not kept")


def leadership_response(past: Sequence[Document], index: int, wait_reason: str | None) -> Document:
    """The answer that shows the leadership at `index` of the `past` ones of a group."""
    return {
        "epoch": past[index],
        "replaced": past[index - 1] if index else None,
        "waiting": wait_reason,
        "kept": [leadership["n"] for leadership in past],
    }


def configuration_response(text: str, is_confirmed: bool) -> RawResponse:
    """The answer that hands a configuration back byte for byte."""
    return 200, text.encode(), tuple(confirmation_headers(is_confirmed).items())


def confirmation_headers(is_confirmed: bool) -> dict[str, str]:
    """The header that says whether a majority of the control nodes confirms an answer."""
    return {"Confirmed-By-Majority": "yes" if is_confirmed else "no"}


def parse_lost_nodes(document: object) -> list[str]:
    """The names in an order to form the chain anew.

    Raises:
        Malformed: there are none.
    """
    lost = document.get("lost") if isinstance(document, dict) else None
    if not isinstance(lost, list) or not all(isinstance(name, str) for name in lost):
        raise Malformed("lost must be a list of names of cores")
    return lost


def readiness_response(is_ready: bool) -> Document:
    """The answer of a control node that is ready.

    Raises:
        NotReady: it is not.
    """
    if not is_ready:
        raise NotReady("not ruling yet")
    return {"ready": True}

"""Queries and responses that the operators' interfaces of control nodes and proxies share."""

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
_MAX_SHOWN_GROUP_LENGTH = 60


def parse_query_number(
    query: Mapping[str, str], name: str, default: int | None = None
) -> int | None:
    """Returns a query parameter as a whole number, or `default` if it is missing.

    Raises:
        Malformed: the parameter isn't a whole number.
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
    """Returns a leadership of a group, the one before it, and the numbers of the stored ones.

    Args:
        state: the control state's document.
        query: `group`, and optionally `n`, the number of the leadership; the default is the last.
        wait_reason: why the failover coordinator waits in this group, or None.

    Raises:
        NoRoute: there is no such group, or its leadership `n` is no longer stored.
    """
    group, number = query.get("group", ""), parse_query_number(query, "n")
    if group not in state["offices"]:
        raise NoRoute(f"group {group[:_MAX_SHOWN_GROUP_LENGTH]} has no leadership")
    past = state["past"].get(group) or [state["offices"][group]]
    if number is None:
        return leadership_response(past, len(past) - 1, wait_reason)
    for index, leadership in enumerate(past):
        if leadership["n"] == number:
            return leadership_response(past, index, wait_reason)
    raise NoRoute(f"leadership {number} of {group[:_MAX_SHOWN_GROUP_LENGTH]} is no longer stored")


def leadership_response(past: Sequence[Document], index: int, wait_reason: str | None) -> Document:
    """Returns the response for the leadership at `index` of a group's stored leaderships."""
    return {
        "epoch": past[index],
        "replaced": past[index - 1] if index else None,
        "waiting": wait_reason,
        "kept": [leadership["n"] for leadership in past],
    }


def configuration_response(text: str, is_confirmed: bool) -> RawResponse:
    """Returns a response with the unchanged text of a configuration."""
    return 200, text.encode(), tuple(confirmation_headers(is_confirmed).items())


def confirmation_headers(is_confirmed: bool) -> dict[str, str]:
    """Returns the header that says whether a majority of control nodes confirms a response."""
    return {"Confirmed-By-Majority": "yes" if is_confirmed else "no"}


def parse_lost_nodes(document: object) -> list[str]:
    """Returns the names of the lost control nodes in an order to reform the chain.

    Raises:
        Malformed: the order has no list of names.
    """
    lost = document.get("lost") if isinstance(document, dict) else None
    if not isinstance(lost, list) or not all(isinstance(name, str) for name in lost):
        raise Malformed("lost must be a list of control node names")
    return lost


def readiness_response(is_ready: bool) -> Document:
    """Returns the response of a control node that is ready.

    Raises:
        NotReady: the control node isn't ready.
    """
    if not is_ready:
        raise NotReady("the control node is not ready to accept orders")
    return {"ready": True}

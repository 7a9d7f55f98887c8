"""Validates operators' requests about embargoes and turns them into records for the chain."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from petrelhaven.control.configuration.embargoes import EmbargoRule, rule_faults
from petrelhaven.control.configuration.faults import ROOT, ConfigurationFault, invalid_document
from petrelhaven.control.embargo.records import ACTIONS, Action, EmbargoRecord

__all__ = ["EmbargoChangeRequest", "EmbargoQuery", "parse_change_request", "parse_query"]

_FIELDS_BY_ACTION: dict[Action, tuple[str, ...]] = {
    "add": ("name", "group", "thing", "prefix", "until", "zone", "early"),
    "move": ("name", "until", "zone"),
    "lift": ("name",),
}
_COMMON_FIELDS = {"do", "by", "gone", "n"}
_LIST_FIELDS = ("early", "gone")
_QUERY_FIELDS = ("group", "thing", "visitor")
_MAX_FIELD_LENGTH_SHOWN = 40
_PLACEHOLDER_RECORD_KEY = "x"
"""The record key in requests that only name a rule, so that they pass the checks of a rule."""


@dataclass(frozen=True, slots=True)
class EmbargoChangeRequest:
    """A request that changes a rule.

    Attributes:
        record: the record that makes the change.
        gone_proxies: names of permanently removed proxies, which need not know of embargoes.
    """

    record: EmbargoRecord
    gone_proxies: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EmbargoQuery:
    """A query whether a client may read a record of a group now."""

    group: str
    record_key: str
    client: str


def parse_change_request(document: object) -> EmbargoChangeRequest:
    """Validates a request to change a rule, and returns it with its record.

    Raises:
        Invalid: the request is declined; `details` lists every fault with its field.
    """
    if not isinstance(document, dict):
        raise invalid_document("embargo declined", [ConfigurationFault(ROOT, "must be an object")])
    action = document.get("do")
    if action not in ACTIONS:
        fault = ConfigurationFault("do", "must be add, move or lift")
        raise invalid_document("embargo declined", [fault])
    faults = list(_field_faults(document, action))
    if faults:
        raise invalid_document("embargo declined", faults)
    rule = _make_rule(document, action)
    faults = [fault for fault in rule_faults(rule) if action != "lift" or fault.path != "until"]
    if faults:
        raise invalid_document("embargo declined", faults)
    record = EmbargoRecord.from_operator(action, rule, document.get("n", 0), document.get("by", ""))
    return EmbargoChangeRequest(record, tuple(document.get("gone", ())))


def parse_query(document: dict[str, Any]) -> EmbargoQuery:
    """Validates a query.

    Raises:
        Invalid: the query is declined; `details` lists every fault with its field.
    """
    faults = [
        ConfigurationFault(field, "must be a string")
        for field in _QUERY_FIELDS
        if not isinstance(document.get(field, ""), str)
    ]
    if not faults and not document.get("thing"):
        faults = [ConfigurationFault("thing", "missing")]
    if faults:
        raise invalid_document("question declined", faults)
    return EmbargoQuery(document.get("group", ""), document["thing"], document.get("visitor", ""))


def _field_faults(document: dict[str, Any], action: Action) -> Iterator[ConfigurationFault]:
    fields = _FIELDS_BY_ACTION[action]
    for field in sorted(set(document) - _COMMON_FIELDS - set(fields)):
        yield ConfigurationFault(str(field)[:_MAX_FIELD_LENGTH_SHOWN], "unknown field")
    for field in ("by", *fields):
        if field not in _LIST_FIELDS and not isinstance(document.get(field, ""), str):
            yield ConfigurationFault(field, "must be a string")
    for field in _LIST_FIELDS:
        if not _is_string_list(document.get(field, [])):
            yield ConfigurationFault(field, "must be a list of strings")
    number = document.get("n", 0)
    if type(number) is not int or number < 0:
        yield ConfigurationFault("n", "must be a whole number")


def _is_string_list(value: object) -> bool:
    return isinstance(value, list) and all(isinstance(item, str) for item in value)


def _make_rule(document: dict[str, Any], action: Action) -> EmbargoRule:
    return EmbargoRule(
        name=document.get("name", ""),
        group=document.get("group", ""),
        until=document.get("until", ""),
        thing=document.get("thing", "") if action == "add" else _PLACEHOLDER_RECORD_KEY,
        prefix=document.get("prefix", ""),
        zone=document.get("zone", ""),
        early=document.get("early", []),
    )

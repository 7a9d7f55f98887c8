"""Operators' calls about embargoes: their documents, checked, as records for the chain."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from petrelhaven.control.configuration.embargoes import EmbargoRule, rule_faults
from petrelhaven.control.configuration.faults import ROOT, ConfigurationFault, declined
from petrelhaven.control.embargo.records import ACTIONS, Action, EmbargoRecord

__all__ = ["EmbargoCall", "EmbargoQuestion", "parse_change_request", "parse_question"]

_FIELDS: dict[Action, tuple[str, ...]] = {
    "add": ("name", "group", "thing", "prefix", "until", "zone", "early"),
    "move": ("name", "until", "zone"),
    "lift": ("name",),
}
_COMMON_FIELDS = {"do", "by", "gone", "n"}
_LIST_FIELDS = ("early", "gone")
_QUESTION_FIELDS = ("group", "thing", "visitor")
_FIELD_SHOWN = 40
_ANY_THING = "x"
"""Stands for the thing in calls that name the rule alone, so that the checks of a rule fit them."""


@dataclass(frozen=True, slots=True)
class EmbargoCall:
    """A call that changes a rule; `gone_proxies` are those that need not know of embargoes."""

    record: EmbargoRecord
    gone_proxies: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EmbargoQuestion:
    """The question whether a client may see a thing of a group now."""

    group: str
    thing: str
    client: str


def parse_change_request(document: object) -> EmbargoCall:
    """Checks an operator's call and makes a record of it.

    Raises:
        Invalid: it is declined; `details` names every fault by its field.
    """
    if not isinstance(document, dict):
        raise declined("embargo declined", [ConfigurationFault(ROOT, "must be an object")])
    action = document.get("do")
    if action not in ACTIONS:
        fault = ConfigurationFault("do", "must be add, move or lift")
        raise declined("embargo declined", [fault])
    faults = list(_field_faults(document, action))
    if faults:
        raise declined("embargo declined", faults)
    rule = _rule(document, action)
    faults = [fault for fault in rule_faults(rule) if action != "lift" or fault.path != "until"]
    if faults:
        raise declined("embargo declined", faults)
    record = EmbargoRecord.of(action, rule, document.get("n", 0), document.get("by", ""))
    return EmbargoCall(record, tuple(document.get("gone", ())))


def parse_question(document: dict[str, Any]) -> EmbargoQuestion:
    """Checks an operator's question.

    Raises:
        Invalid: it is declined; `details` names every fault by its field.
    """
    faults = [
        ConfigurationFault(field, "must be a string")
        for field in _QUESTION_FIELDS
        if not isinstance(document.get(field, ""), str)
    ]
    if not faults and not document.get("thing"):
        faults = [ConfigurationFault("thing", "missing")]
    if faults:
        raise declined("question declined", faults)
    return EmbargoQuestion(
        document.get("group", ""), document["thing"], document.get("visitor", "")
    )


def _field_faults(document: dict[str, Any], action: Action) -> Iterator[ConfigurationFault]:
    fields = _FIELDS[action]
    for field in sorted(set(document) - _COMMON_FIELDS - set(fields)):
        yield ConfigurationFault(str(field)[:_FIELD_SHOWN], "unknown field")
    for field in ("by", *fields):
        if field not in _LIST_FIELDS and not isinstance(document.get(field, ""), str):
            yield ConfigurationFault(field, "must be a string")
    for field in _LIST_FIELDS:
        if not _is_list_of_strings(document.get(field, [])):
            yield ConfigurationFault(field, "must be a list of strings")
    number = document.get("n", 0)
    if type(number) is not int or number < 0:
        yield ConfigurationFault("n", "must be a whole number")


def _is_list_of_strings(value: object) -> bool:
    return isinstance(value, list) and all(isinstance(item, str) for item in value)


def _rule(document: dict[str, Any], action: Action) -> EmbargoRule:
    return EmbargoRule(
        name=document.get("name", ""),
        group=document.get("group", ""),
        until=document.get("until", ""),
        thing=document.get("thing", "") if action == "add" else _ANY_THING,
        prefix=document.get("prefix", ""),
        zone=document.get("zone", ""),
        early=document.get("early", []),
    )

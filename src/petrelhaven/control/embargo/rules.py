"""What embargo records, and configurations with embargoes, do to the control state."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from petrelhaven.control.configuration.faults import ConfigurationFault, declined
from petrelhaven.control.embargo.records import (
    Change,
    EmbargoRecord,
    PlacedRule,
    Rule,
    rules_of,
    scope_of,
)
from petrelhaven.runtime.errors import Conflict, Duplicate, Stale, TooLarge
from petrelhaven.runtime.instant import format_instant

if TYPE_CHECKING:
    from collections.abc import Mapping

    from petrelhaven.control.state.record import Document

__all__ = [
    "apply_configuration",
    "apply_embargo_record",
    "check_configuration",
    "check_embargo_record",
    "report",
]

_STORED_BYTES = 2 << 20
"""Bound on all placed rules together, as JSON."""
_PAST_CHANGES = 64


def check_embargo_record(state: Document, record: EmbargoRecord) -> None:
    """Checks whether an embargo record may be applied now.

    Args:
        state: the control state's document.
        record: the record.

    Raises:
        Invalid: its group is not one in which records may be embargoed.
        Duplicate: it changes nothing.
        Stale: it rests on a rule that has another content, or is not there.
        Conflict: the rule was changed in between.
        TooLarge: there are too many rules.
    """
    stored = state.get("embargoes", {}).get(record.name)
    before = None if stored is None else PlacedRule.from_document(stored)
    if record.rule is not None:
        _check_added(state, record, record.rule, before)
    else:
        _check_changed(record, before)


def _check_added(
    state: Document, record: EmbargoRecord, rule: Rule, before: PlacedRule | None
) -> None:
    name = record.name
    if rule.group not in scope_of(state):
        message = f"group {rule.group} is not named in the manifest's embargoing"
        raise declined("embargo declined", [ConfigurationFault("group", message)])
    if before is not None:
        if Rule.to_document(before) == rule.to_document():
            raise Duplicate(f"embargo {name} stands already", details={"n": before.change})
        raise Stale(
            f"embargo {name} stands with another content; move or lift it",
            details={"n": before.change},
        )
    stored = sum(_size(rule_document) for rule_document in state.get("embargoes", {}).values())
    if stored + _size(record.to_document()) > _STORED_BYTES:
        raise TooLarge("no room for one more embargo; lift old ones, or place one on a prefix")


def _check_changed(record: EmbargoRecord, before: PlacedRule | None) -> None:
    name = record.name
    if before is None:
        if record.action == "lift":
            raise Duplicate(f"no embargo {name} stands")
        raise Stale(f"no embargo {name}")
    if record.next_change and record.next_change != before.change + 1:
        raise Conflict(f"embargo {name} was changed meanwhile", details={"n": before.change})
    if record.release is not None and record.release.until_us == before.until_us:
        raise Duplicate(f"embargo {name} is released then already", details={"n": before.change})


def check_configuration(state: Document, section: Mapping[str, Any] | None) -> None:
    """Checks what a configuration's record says of embargoes against the rules that are placed.

    Raises:
        Invalid: it no longer names a group for which a rule is placed.
    """
    scope = section["scope"] if section is not None else ()
    groups = {rule["group"] for rule in state.get("embargoes", {}).values()}
    missing = sorted(groups - set(scope))
    if missing:
        raise declined(
            "manifest declined",
            [
                ConfigurationFault(
                    "embargoing", f"embargoes are placed for group {group}; lift them first"
                )
                for group in missing
            ],
        )


def apply_embargo_record(state: Document, record: EmbargoRecord, seq: int) -> None:
    """Applies an embargo record, number `seq`, which has been checked."""
    rules = state.setdefault("embargoes", {})
    past = state.setdefault("embargo_past", [])
    stored = rules.get(record.name)
    before = None if stored is None else PlacedRule.from_document(stored)
    if record.rule is not None:
        rules[record.name] = record.rule.placed(1, record.by, seq).to_document()
    elif record.release is not None:
        assert before is not None, record.name
        rules[record.name] = before.moved(record.release, record.by, seq).to_document()
    else:
        rules.pop(record.name, None)
    change = Change(
        seq=seq,
        action=record.action,
        name=record.name,
        by=record.by,
        before_us=before.until_us if before is not None else 0,
        until_us=record.release.until_us if record.release is not None else 0,
    )
    past.append(change.to_document())
    del past[:-_PAST_CHANGES]


def apply_configuration(state: Document, section: Mapping[str, Any] | None, seq: int) -> None:
    """Notes for each group since which record its records may be embargoed.

    Args:
        state: the control state's document.
        section: what the configuration's record says of embargoes; None while they are off.
        seq: the number of that record.
    """
    before = state.get("embargo_since", {})
    scope = section["scope"] if section is not None else ()
    now = {group: before.get(group, seq) for group in scope}
    if before or now:
        state["embargo_since"] = now


def report(state: Document) -> dict[str, Any]:
    """What `petrelhavenctl embargo list` shows of a control state."""
    return {
        "scope": scope_of(state),
        "past": state.get("embargo_past", []),
        "rules": [
            {
                "source": key.source,
                "name": key.name,
                **rule.to_document(),
                "release": format_instant(rule.until_us),
            }
            for key, rule in rules_of(state)
        ],
    }


def _size(document: Document) -> int:
    return len(json.dumps(document))

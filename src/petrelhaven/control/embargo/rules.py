"""Checks embargo records and configurations against the control state, and applies them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from petrelhaven.control.configuration.faults import ConfigurationFault, invalid_document
from petrelhaven.control.embargo.records import (
    EmbargoRecord,
    PlacedRule,
    Rule,
    RuleChange,
    embargoed_groups,
    stored_rules,
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
    "rules_report",
]

_MAX_STORED_BYTES = 2 << 20
"""The maximum size of all placed rules together, as JSON."""
_MAX_PAST_CHANGES = 64


def check_embargo_record(state: Document, record: EmbargoRecord) -> None:
    """Checks whether an embargo record may be applied now.

    Args:
        state: the control state's document.
        record: the record.

    Raises:
        Invalid: the configuration does not list the rule's group as embargoed.
        Duplicate: the record would change nothing.
        Stale: the rule has other contents or does not exist.
        Conflict: the rule was changed in the meantime.
        TooLarge: the stored rules would exceed their maximum size.
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
    if rule.group not in embargoed_groups(state):
        message = f"group {rule.group} is not named in the manifest's embargoing"
        raise invalid_document("embargo declined", [ConfigurationFault("group", message)])
    if before is not None:
        if Rule.to_document(before) == rule.to_document():
            raise Duplicate(f"embargo {name} stands already", details={"n": before.change})
        raise Stale(
            f"embargo {name} stands with another content; move or lift it",
            details={"n": before.change},
        )
    stored_bytes = sum(
        _json_size(rule_document) for rule_document in state.get("embargoes", {}).values()
    )
    if stored_bytes + _json_size(record.to_document()) > _MAX_STORED_BYTES:
        raise TooLarge(
            "no space for another embargo; lift old ones, or use one prefix rule instead of many"
        )


def _check_changed(record: EmbargoRecord, before: PlacedRule | None) -> None:
    name = record.name
    if before is None:
        if record.action == "lift":
            raise Duplicate(f"no embargo {name} stands")
        raise Stale(f"no embargo {name}")
    if record.next_change and record.next_change != before.change + 1:
        raise Conflict(f"embargo {name} was changed meanwhile", details={"n": before.change})
    if record.release is not None and record.release.until_us == before.until_us:
        raise Duplicate(
            f"embargo {name} already has this release time", details={"n": before.change}
        )


def check_configuration(state: Document, section: Mapping[str, Any] | None) -> None:
    """Checks the embargo section of a configuration against the placed rules.

    Raises:
        Invalid: the configuration no longer names a group that has a placed rule.
    """
    configured = section["scope"] if section is not None else ()
    in_use = {rule["group"] for rule in state.get("embargoes", {}).values()}
    missing = sorted(in_use - set(configured))
    if missing:
        raise invalid_document(
            "manifest declined",
            [
                ConfigurationFault(
                    "embargoing", f"embargoes are placed for group {group}; lift them first"
                )
                for group in missing
            ],
        )


def apply_embargo_record(state: Document, record: EmbargoRecord, seq: int) -> None:
    """Applies a checked embargo record with the sequence number `seq`."""
    rules = state.setdefault("embargoes", {})
    past = state.setdefault("embargo_past", [])
    stored = rules.get(record.name)
    before = None if stored is None else PlacedRule.from_document(stored)
    if record.rule is not None:
        rules[record.name] = record.rule.to_placed(1, record.by, seq).to_document()
    elif record.release is not None:
        assert before is not None, record.name
        rules[record.name] = before.with_release(record.release, record.by, seq).to_document()
    else:
        rules.pop(record.name, None)
    change = RuleChange(
        seq=seq,
        action=record.action,
        name=record.name,
        by=record.by,
        before_us=before.until_us if before is not None else 0,
        until_us=record.release.until_us if record.release is not None else 0,
    )
    past.append(change.to_document())
    del past[:-_MAX_PAST_CHANGES]


def apply_configuration(state: Document, section: Mapping[str, Any] | None, seq: int) -> None:
    """Stores, for each group, the record since which its records may be embargoed.

    Args:
        state: the control state's document.
        section: the embargo section of the configuration; None if embargoes are disabled.
        seq: the sequence number of the configuration's record.
    """
    previous = state.get("embargo_since", {})
    groups = section["scope"] if section is not None else ()
    since = {group: previous.get(group, seq) for group in groups}
    if previous or since:
        state["embargo_since"] = since


def rules_report(state: Document) -> dict[str, Any]:
    """Returns the part of a control state that `petrelhavenctl embargo list` shows."""
    return {
        "scope": embargoed_groups(state),
        "past": state.get("embargo_past", []),
        "rules": [
            {
                "source": key.source,
                "name": key.name,
                **rule.to_document(),
                "release": format_instant(rule.until_us),
            }
            for key, rule in stored_rules(state)
        ],
    }


def _json_size(document: Document) -> int:
    return len(json.dumps(document))

"""Embargo rules as the control state stores them, and the records that change them.

The names of their fields on disk and on links are those of `to_document` and `from_document`.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar, Literal, NamedTuple, cast

from petrelhaven.control.state.record import KIND, Document
from petrelhaven.runtime.instant import parse_instant

if TYPE_CHECKING:
    from petrelhaven.control.configuration.document import Configuration
    from petrelhaven.control.configuration.embargoes import EmbargoRule

__all__ = [
    "ACTIONS",
    "Action",
    "Change",
    "EmbargoRecord",
    "Limits",
    "PlacedRule",
    "Release",
    "Rule",
    "RuleKey",
    "configuration_fields",
    "limits_of",
    "rules_of",
    "scope_of",
]

Action = Literal["add", "move", "lift"]
ACTIONS: tuple[Action, ...] = ("add", "move", "lift")


class RuleKey(NamedTuple):
    """What a rule is found by; from `manifest` (the configuration) or `placed` (a record)."""

    source: str
    name: str


@dataclass(frozen=True, slots=True)
class Release:
    """A release time: the moment in microseconds of UTC, and how the operator wrote it."""

    until_us: int
    until_text: str
    zone: str

    @classmethod
    def of(cls, rule: EmbargoRule) -> Release:
        """The release time of a checked rule."""
        return cls(parse_instant(rule.until, rule.zone), rule.until, rule.zone)

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> Release:
        """Reads a stored rule's or record's release time."""
        return cls(document["until"], document["said"], document["zone"])

    def to_document(self) -> Document:
        """The fields as they are stored."""
        return {"until": self.until_us, "said": self.until_text, "zone": self.zone}


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule with its release time, as `Release` describes it.

    Either `thing` or `prefix` is set; `early` names clients that are exempt.
    """

    group: str
    record_key: str
    prefix: str
    until_us: int
    until_text: str
    zone: str
    exempt_clients: tuple[str, ...]

    @classmethod
    def of(cls, rule: EmbargoRule) -> Rule:
        """The rule that an operator wrote; it has been checked."""
        moment = parse_instant(rule.until, rule.zone)
        early = tuple(sorted(set(rule.early)))
        return cls(rule.group, rule.thing, rule.prefix, moment, rule.until, rule.zone, early)

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> Rule:
        """Reads a stored rule."""
        return cls(
            document["group"],
            document["thing"],
            document["prefix"],
            document["until"],
            document["said"],
            document["zone"],
            tuple(document["early"]),
        )

    @property
    def release(self) -> Release:
        """Its release time."""
        return Release(self.until_us, self.until_text, self.zone)

    def to_document(self) -> Document:
        """The fields as they are stored."""
        return {
            "group": self.group,
            "thing": self.record_key,
            "prefix": self.prefix,
            **self.release.to_document(),
            "early": list(self.exempt_clients),
        }

    def placed(self, change: int, by: str, seq: int) -> PlacedRule:
        """This rule as the record number `seq` of `by` leaves it, its change number `change`."""
        return PlacedRule(
            self.group,
            self.record_key,
            self.prefix,
            self.until_us,
            self.until_text,
            self.zone,
            self.exempt_clients,
            change,
            by,
            seq,
        )


@dataclass(frozen=True, slots=True)
class PlacedRule(Rule):
    """A rule that was placed by a record.

    Attributes:
        change: how often it has been changed, from 1.
        by: who changed it last.
        seq: the number of the record that changed it last.
    """

    change: int
    by: str
    seq: int

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> PlacedRule:
        """Reads a stored rule."""
        rule = Rule.from_document(document)
        return rule.placed(document["n"], document["by"], document["seq"])

    def to_document(self) -> Document:
        """The fields as they are stored."""
        fields = Rule.to_document(self)
        return {**fields, "n": self.change, "by": self.by, "seq": self.seq}

    def moved(self, release: Release, by: str, seq: int) -> PlacedRule:
        """This rule with another release time."""
        return dataclasses.replace(
            self,
            until_us=release.until_us,
            until_text=release.until_text,
            zone=release.zone,
            change=self.change + 1,
            by=by,
            seq=seq,
        )


@dataclass(frozen=True, slots=True)
class EmbargoRecord:
    """A record that adds, moves or lifts one rule.

    Attributes:
        action: what it does.
        name: the name of the rule.
        rule: the rule to add; None in other records.
        release: the new release time of a record that adds or moves; None where it lifts.
        next_change: which change of the rule this is meant to be; 0 where that does not matter.
        by: who asked for it.
    """

    kind: ClassVar[str] = "embargo"
    action: Action
    name: str
    rule: Rule | None
    release: Release | None
    next_change: int
    by: str

    @classmethod
    def of(cls, action: Action, written: EmbargoRule, next_change: int, by: str) -> EmbargoRecord:
        """The record for an operator's call, whose fields have been checked."""
        rule = Rule.of(written) if action == "add" else None
        release = None if action == "lift" else Release.of(written)
        return cls(action, written.name, rule, release, next_change, by)

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> EmbargoRecord:
        """Reads a record of the chain."""
        action = cast(Action, document["do"])
        return cls(
            action,
            document["name"],
            Rule.from_document(document) if action == "add" else None,
            None if action == "lift" else Release.from_document(document),
            document["n"],
            document["by"],
        )

    def to_document(self) -> Document:
        """The record as the chain carries it."""
        fields: Document = {}
        if self.rule is not None:
            fields = self.rule.to_document()
        elif self.release is not None:
            fields = self.release.to_document()
        return {
            KIND: self.kind,
            "do": self.action,
            "name": self.name,
            **fields,
            "n": self.next_change,
            "by": self.by,
        }


@dataclass(frozen=True, slots=True)
class Change:
    """A past change of a rule: its record, and the release times before and after (0: none)."""

    seq: int
    action: Action
    name: str
    by: str
    before_us: int
    until_us: int

    def to_document(self) -> Document:
        """The fields as they are stored."""
        return {
            "seq": self.seq,
            "do": self.action,
            "name": self.name,
            "by": self.by,
            "was": self.before_us,
            "until": self.until_us,
        }


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the configuration in microseconds, which `document.Bounds` describes."""

    wall_us: int
    skew_us: int
    spread_us: int


def configuration_fields(configuration: Configuration) -> Document:
    """What a record of `configuration` carries of embargoes: nothing where it has none."""
    if not configuration.has_embargoes:
        return {}
    from petrelhaven.control.configuration.embargoes import embargo_rules

    rules = {written.name: Rule.of(written) for written in embargo_rules(configuration)}
    groups = {*configuration.embargoing, *(rule.group for rule in rules.values())}
    bounds = configuration.bounds
    return {
        "embargo": {
            "scope": sorted(groups),
            "rules": {name: rule.to_document() for name, rule in rules.items()},
            "wall_us": bounds.wall_us,
            "skew_us": bounds.skew_us,
            "spread_us": bounds.spread_us,
        }
    }


def _section(state: Document) -> Document:
    """What the configuration in force says of embargoes; empty while they are off."""
    return (state["manifest"] or {}).get("embargo") or {}


def scope_of(state: Document) -> list[str]:
    """The groups of a control state in which records may be embargoed, sorted."""
    scope: list[str] = _section(state).get("scope", [])
    return scope


def limits_of(state: Document) -> Limits | None:
    """The limits in force, or None while embargoes are off."""
    section = _section(state)
    if not section:
        return None
    return Limits(section["wall_us"], section["skew_us"], section["spread_us"])


def rules_of(state: Document) -> Iterator[tuple[RuleKey, Rule]]:
    """All rules of a control state."""
    for name, document in _section(state).get("rules", {}).items():
        yield RuleKey("manifest", name), Rule.from_document(document)
    for name, document in state.get("embargoes", {}).items():
        yield RuleKey("placed", name), PlacedRule.from_document(document)

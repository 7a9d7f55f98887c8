"""Embargo rules as stored in the control state, and the records that change them.

`to_document` and `from_document` define the field names in stored data and in messages.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar, Literal, NamedTuple, cast

from petrelhaven.control.state.record import KIND_KEY, Document
from petrelhaven.runtime.instant import parse_instant

if TYPE_CHECKING:
    from petrelhaven.control.configuration.document import Configuration
    from petrelhaven.control.configuration.embargoes import EmbargoRule

__all__ = [
    "ACTIONS",
    "Action",
    "EmbargoBounds",
    "EmbargoRecord",
    "PlacedRule",
    "ReleaseTime",
    "Rule",
    "RuleChange",
    "RuleKey",
    "configuration_fields",
    "embargo_bounds",
    "embargoed_groups",
    "stored_rules",
]

Action = Literal["add", "move", "lift"]
ACTIONS: tuple[Action, ...] = ("add", "move", "lift")


class RuleKey(NamedTuple):
    """Identifies a rule by its name and its source.

    The source is `manifest` for rules of the configuration, `placed` for rules added by a record.
    """

    source: str
    name: str


@dataclass(frozen=True, slots=True)
class ReleaseTime:
    """When a rule ends, in microseconds of UTC, and the text and zone that the operator gave."""

    until_us: int
    until_text: str
    zone: str

    @classmethod
    def from_rule(cls, rule: EmbargoRule) -> ReleaseTime:
        """Returns the release time of a validated rule."""
        return cls(parse_instant(rule.until, rule.zone), rule.until, rule.zone)

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> ReleaseTime:
        """Reads the release time of a stored rule or record."""
        return cls(document["until"], document["said"], document["zone"])

    def to_document(self) -> Document:
        """Returns the fields as they are stored."""
        return {"until": self.until_us, "said": self.until_text, "zone": self.zone}


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule with its release time, whose fields are those of `ReleaseTime`.

    Either `record_key` or `prefix` is set. `exempt_clients` names clients that may read early.
    """

    group: str
    record_key: str
    prefix: str
    until_us: int
    until_text: str
    zone: str
    exempt_clients: tuple[str, ...]

    @classmethod
    def from_operator(cls, rule: EmbargoRule) -> Rule:
        """Converts a validated rule from an operator."""
        until_us = parse_instant(rule.until, rule.zone)
        exempt = tuple(sorted(set(rule.early)))
        return cls(rule.group, rule.thing, rule.prefix, until_us, rule.until, rule.zone, exempt)

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
    def release(self) -> ReleaseTime:
        """The release time of this rule."""
        return ReleaseTime(self.until_us, self.until_text, self.zone)

    def to_document(self) -> Document:
        """Returns the fields as they are stored."""
        return {
            "group": self.group,
            "thing": self.record_key,
            "prefix": self.prefix,
            **self.release.to_document(),
            "early": list(self.exempt_clients),
        }

    def to_placed(self, change: int, by: str, seq: int) -> PlacedRule:
        """Returns this rule as a placed one, with the fields of `PlacedRule`."""
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
    """A rule that was added by a record.

    Attributes:
        change: the number of its latest change, starting at 1.
        by: who made the latest change.
        seq: the sequence number of the record with the latest change.
    """

    change: int
    by: str
    seq: int

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> PlacedRule:
        """Reads a stored rule."""
        rule = Rule.from_document(document)
        return rule.to_placed(document["n"], document["by"], document["seq"])

    def to_document(self) -> Document:
        """Returns the fields as they are stored."""
        fields = Rule.to_document(self)
        return {**fields, "n": self.change, "by": self.by, "seq": self.seq}

    def with_release(self, release: ReleaseTime, by: str, seq: int) -> PlacedRule:
        """Returns this rule with another release time, as its next change."""
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
    """A record that adds a rule, moves its release time, or lifts it.

    Attributes:
        action: the kind of change.
        name: the name of the rule.
        rule: the rule to add; None for other actions.
        release: the new release time; None for `lift`.
        next_change: the expected number of this change; 0 if any number is accepted.
        by: who requested the change.
    """

    kind: ClassVar[str] = "embargo"
    action: Action
    name: str
    rule: Rule | None
    release: ReleaseTime | None
    next_change: int
    by: str

    @classmethod
    def from_operator(
        cls, action: Action, operator_rule: EmbargoRule, next_change: int, by: str
    ) -> EmbargoRecord:
        """Creates the record for an operator's request with validated fields."""
        rule = Rule.from_operator(operator_rule) if action == "add" else None
        release = None if action == "lift" else ReleaseTime.from_rule(operator_rule)
        return cls(action, operator_rule.name, rule, release, next_change, by)

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> EmbargoRecord:
        """Reads a record from the chain."""
        action = cast(Action, document["do"])
        return cls(
            action,
            document["name"],
            Rule.from_document(document) if action == "add" else None,
            None if action == "lift" else ReleaseTime.from_document(document),
            document["n"],
            document["by"],
        )

    def to_document(self) -> Document:
        """Returns the record as stored in the chain."""
        fields: Document = {}
        if self.rule is not None:
            fields = self.rule.to_document()
        elif self.release is not None:
            fields = self.release.to_document()
        return {
            KIND_KEY: self.kind,
            "do": self.action,
            "name": self.name,
            **fields,
            "n": self.next_change,
            "by": self.by,
        }


@dataclass(frozen=True, slots=True)
class RuleChange:
    """A past change of a rule, with the release times before and after it (0 if there is none)."""

    seq: int
    action: Action
    name: str
    by: str
    before_us: int
    until_us: int

    def to_document(self) -> Document:
        """Returns the fields as they are stored."""
        return {
            "seq": self.seq,
            "do": self.action,
            "name": self.name,
            "by": self.by,
            "was": self.before_us,
            "until": self.until_us,
        }


@dataclass(frozen=True, slots=True)
class EmbargoBounds:
    """Bounds of the configuration in microseconds, documented at `document.Bounds`."""

    wall_us: int
    skew_us: int
    spread_us: int


def configuration_fields(configuration: Configuration) -> Document:
    """Returns the embargo fields for a record of `configuration`; empty if it has no embargoes."""
    if not configuration.has_embargoes:
        return {}
    from petrelhaven.control.configuration.embargoes import embargo_rules

    rules = {rule.name: Rule.from_operator(rule) for rule in embargo_rules(configuration)}
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


def _configuration_section(state: Document) -> Document:
    """Returns the embargo section of the active configuration; empty if embargoes are disabled."""
    return (state["manifest"] or {}).get("embargo") or {}


def embargoed_groups(state: Document) -> list[str]:
    """Returns the groups in which records may be embargoed, sorted."""
    groups: list[str] = _configuration_section(state).get("scope", [])
    return groups


def embargo_bounds(state: Document) -> EmbargoBounds | None:
    """Returns the active bounds, or None if embargoes are disabled."""
    section = _configuration_section(state)
    if not section:
        return None
    return EmbargoBounds(section["wall_us"], section["skew_us"], section["spread_us"])


def stored_rules(state: Document) -> Iterator[tuple[RuleKey, Rule]]:
    """Yields all rules of a control state with their keys."""
    for name, document in _configuration_section(state).get("rules", {}).items():
        yield RuleKey("manifest", name), Rule.from_document(document)
    for name, document in state.get("embargoes", {}).items():
        yield RuleKey("placed", name), PlacedRule.from_document(document)

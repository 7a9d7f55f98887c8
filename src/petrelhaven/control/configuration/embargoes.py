"""Embargo rules as operators write them, in a configuration or a request, and their validation.

A rule withholds records until a release time. `control.embargo` puts rules into the control state.
The module is loaded only where embargoes are used, since time zone data costs memory.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass

from petrelhaven.control.configuration.document import Configuration
from petrelhaven.control.configuration.faults import ConfigurationFault, join_path
from petrelhaven.control.configuration.type_check import type_faults
from petrelhaven.control.configuration.validation import NAME_EXPECTED
from petrelhaven.runtime.instant import parse_instant
from petrelhaven.runtime.limits import NAME

__all__ = ["EmbargoRule", "embargo_faults", "embargo_rules", "rule_faults"]

_MAX_RECORD_KEY_BYTES = 512
_MAX_EARLY_CLIENTS = 32
_MAX_CLIENT_NAME_LENGTH = 128


@dataclass(slots=True)
class EmbargoRule:
    """An embargo rule as an operator writes it.

    Attributes:
        name: the name of the rule.
        group: the database group of the records.
        until: the release time: an RFC 3339 instant, or a local time in `zone`.
        thing: key of the one record that it covers; either this or `prefix` is given.
        prefix: key prefix of the records that it covers.
        zone: an IANA time zone, if `until` has no offset.
        early: names of clients that may see the records before the release.
    """

    name: str
    group: str
    until: str
    thing: str = ""
    prefix: str = ""
    zone: str = ""
    early: list[str] = dataclasses.field(default_factory=list)


def embargo_faults(configuration: Configuration) -> Iterator[ConfigurationFault]:
    """Yields the faults of a configuration's embargoes."""
    groups = {group.name for group in configuration.groups}
    names: set[str] = set()
    for index, document in enumerate(configuration.embargoes):
        path = f"embargoes[{index}]"
        wrong_types = list(type_faults(EmbargoRule, document, path))
        yield from wrong_types
        if wrong_types:
            continue
        rule = EmbargoRule(**document)
        if rule.group not in groups:
            yield ConfigurationFault(f"{path}.group", f"no group {rule.group}")
        if rule.name in names:
            yield ConfigurationFault(f"{path}.name", f"duplicate name {rule.name}")
        names.add(rule.name)
        yield from rule_faults(rule, path)
    for index, group in enumerate(configuration.embargoing):
        if group not in groups:
            yield ConfigurationFault(f"embargoing[{index}]", f"no group {group}")
    if configuration.bounds.wall_us <= 2 * configuration.bounds.skew_us:
        yield ConfigurationFault("bounds.wall_us", "must be above twice skew_us")


def embargo_rules(configuration: Configuration) -> list[EmbargoRule]:
    """Returns the embargo rules of a validated configuration."""
    return [EmbargoRule(**document) for document in configuration.embargoes]


def rule_faults(rule: EmbargoRule, path: str = "") -> Iterator[ConfigurationFault]:
    """Yields the faults of one rule, whose types are valid, at `path` of its document."""
    if not NAME.fullmatch(rule.name):
        yield ConfigurationFault(join_path(path, "name"), NAME_EXPECTED)
    if bool(rule.thing) == bool(rule.prefix):
        yield ConfigurationFault(
            join_path(path, "thing"), "exactly one of thing and prefix is required"
        )
    for field, text in (("thing", rule.thing), ("prefix", rule.prefix)):
        if len(text.encode("utf-8", "surrogatepass")) > _MAX_RECORD_KEY_BYTES:
            message = f"must be at most {_MAX_RECORD_KEY_BYTES} bytes"
            yield ConfigurationFault(join_path(path, field), message)
    if len(rule.early) > _MAX_EARLY_CLIENTS or not all(map(_is_client_name, rule.early)):
        message = f"must be at most {_MAX_EARLY_CLIENTS} client names of 1 to 128 characters"
        yield ConfigurationFault(join_path(path, "early"), message)
    try:
        parse_instant(rule.until, rule.zone)
    except ValueError as error:
        yield ConfigurationFault(join_path(path, "until"), str(error))


def _is_client_name(name: str) -> bool:
    return 0 < len(name) <= _MAX_CLIENT_NAME_LENGTH

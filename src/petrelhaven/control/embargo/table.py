"""An index of embargo rules that finds the rules covering a record."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Generic, TypeVar

from sortedcontainers import SortedDict

if TYPE_CHECKING:
    from collections.abc import MutableMapping

    from petrelhaven.control.embargo.records import Rule

__all__ = ["RuleTable"]

Key = TypeVar("Key")


class RuleTable(Generic[Key]):
    """Rules stored under a key, indexed by record key and by prefix."""

    def __init__(self, rules: Iterable[tuple[Key, Rule]] = ()) -> None:
        """Creates a table with the given rules."""
        self._rules: dict[Key, Rule] = {}
        self._rules_by_record_key: dict[str, dict[str, dict[Key, Rule]]] = {}
        self._rules_by_prefix: dict[str, SortedDict] = {}
        for key, rule in rules:
            self.put(key, rule)

    def __len__(self) -> int:
        """Returns the number of rules."""
        return len(self._rules)

    def put(self, key: Key, rule: Rule) -> None:
        """Adds a rule, replacing the one stored under this key."""
        self.drop(key)
        self._rules[key] = rule
        self._index(rule).setdefault(rule.record_key or rule.prefix, {})[key] = rule

    def drop(self, key: Key) -> None:
        """Removes a rule if it exists."""
        rule = self._rules.pop(key, None)
        if rule is None:
            return
        index, pattern = self._index(rule), rule.record_key or rule.prefix
        del index[pattern][key]
        if not index[pattern]:
            del index[pattern]

    def _index(self, rule: Rule) -> MutableMapping[str, dict[Key, Rule]]:
        """Returns the index for the rule's group and its kind (record key or prefix)."""
        if rule.record_key:
            return self._rules_by_record_key.setdefault(rule.group, {})
        if rule.group not in self._rules_by_prefix:
            self._rules_by_prefix[rule.group] = SortedDict()
        index: MutableMapping[str, dict[Key, Rule]] = self._rules_by_prefix[rule.group]
        return index

    def covering(self, group: str, record_key: str) -> Iterator[tuple[Key, Rule]]:
        """Yields the rules that cover a record of `group`, with their keys."""
        exact = self._rules_by_record_key.get(group, {}).get(record_key)
        if exact:
            yield from exact.items()
        index = self._rules_by_prefix.get(group)
        upper = record_key
        while index:
            position = index.bisect_right(upper)
            if not position:
                return
            prefix, rules = index.peekitem(position - 1)
            if record_key.startswith(prefix):
                yield from rules.items()
                upper = prefix[:-1]
            else:
                # any remaining prefix of `record_key` is also a prefix of this one
                upper = os.path.commonprefix([prefix, upper])
            if not upper:
                return

    def latest_release(
        self, group: str, record_keys: Iterable[str], client: str, now_us: int
    ) -> tuple[Key, Rule] | None:
        """Finds the rule withholding any of the records from `client` that is released last.

        Args:
            group: the group of the records.
            record_keys: the record key in each form in which a member may parse the statement.
            client: the client's name; rules may exempt it.
            now_us: the earliest possible true time, in microseconds of UTC.

        Returns:
            The rule with its key, or None if no rule withholds the records.
        """
        latest: tuple[Key, Rule] | None = None
        for record_key in record_keys:
            for key, rule in self.covering(group, record_key):
                if rule.until_us <= now_us or client in rule.exempt_clients:
                    continue
                if latest is None or rule.until_us > latest[1].until_us:
                    latest = (key, rule)
        return latest

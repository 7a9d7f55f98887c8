"""An index of embargo rules by the records that they cover."""

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
    """Rules by a key that says where they come from, found by thing and by prefix."""

    def __init__(self, rules: Iterable[tuple[Key, Rule]] = ()) -> None:
        """Takes the rules to begin with."""
        self._rules: dict[Key, Rule] = {}
        self._things: dict[str, dict[str, dict[Key, Rule]]] = {}
        self._prefixes: dict[str, SortedDict] = {}
        for key, rule in rules:
            self.put(key, rule)

    def __len__(self) -> int:
        """How many rules there are."""
        return len(self._rules)

    def put(self, key: Key, rule: Rule) -> None:
        """Adds a rule, in place of the one under this key if there is one."""
        self.drop(key)
        self._rules[key] = rule
        self._index(rule).setdefault(rule.record_key or rule.prefix, {})[key] = rule

    def drop(self, key: Key) -> None:
        """Takes a rule out, if it is there."""
        rule = self._rules.pop(key, None)
        if rule is None:
            return
        index, entry = self._index(rule), rule.record_key or rule.prefix
        del index[entry][key]
        if not index[entry]:
            del index[entry]

    def _index(self, rule: Rule) -> MutableMapping[str, dict[Key, Rule]]:
        """The index of the rule's group and kind."""
        if rule.record_key:
            return self._things.setdefault(rule.group, {})
        if rule.group not in self._prefixes:
            self._prefixes[rule.group] = SortedDict()
        index: MutableMapping[str, dict[Key, Rule]] = self._prefixes[rule.group]
        return index

    def covering(self, group: str, thing: str) -> Iterator[tuple[Key, Rule]]:
        """Yields the rules that cover `thing` of `group`, with their keys."""
        exact = self._things.get(group, {}).get(thing)
        if exact:
            yield from exact.items()
        index = self._prefixes.get(group)
        bound = thing
        while index:
            position = index.bisect_right(bound)
            if not position:
                return
            prefix, rules = index.peekitem(position - 1)
            if thing.startswith(prefix):
                yield from rules.items()
                bound = prefix[:-1]
            else:
                # a shorter prefix of `thing` that sorts before this one is a prefix of it too
                bound = os.path.commonprefix([prefix, bound])
            if not bound:
                return

    def latest_release(
        self, group: str, things: Iterable[str], client: str, now_us: int
    ) -> tuple[Key, Rule] | None:
        """Of the rules that withhold `things` from `client`, the one that is released last.

        Args:
            group: the group of the records.
            things: names of records, in each way that a member may read them.
            client: the client's name, which may be exempt.
            now_us: true time in microseconds of UTC.

        Returns:
            The rule with its key, or None if nothing is withheld.
        """
        latest: tuple[Key, Rule] | None = None
        for thing in things:
            for key, rule in self.covering(group, thing):
                if rule.until_us <= now_us or client in rule.exempt_clients:
                    continue
                if latest is None or rule.until_us > latest[1].until_us:
                    latest = (key, rule)
        return latest

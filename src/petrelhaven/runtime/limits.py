"""Descriptors that validate the values of attributes on assignment."""

from __future__ import annotations

import re
from typing import Any

__all__ = ["NAME", "IntegerRange", "TextPattern"]

NAME = re.compile(r"[a-z][a-z0-9-]{0,31}")
"""The pattern of names of nodes, zones and groups."""


class _ValidatedField:
    """Validates values on assignment and stores them in the attribute `_` + its name.

    Assigning an invalid value raises ValueError.
    """

    __slots__ = ("_name", "_attribute")

    def __set_name__(self, owner: type, name: str) -> None:
        self._name, self._attribute = name, "_" + name

    def __get__(self, instance: object | None, owner: type | None = None) -> Any:  # noqa: ANN401
        return self if instance is None else getattr(instance, self._attribute)

    def __set__(self, instance: object, value: object) -> None:
        fault = self.fault(value)
        if fault:
            raise ValueError(f"{self._name}: {fault}")
        setattr(instance, self._attribute, value)

    def fault(self, value: object) -> str | None:
        """Returns what is wrong with `value`, or None if it is valid."""
        raise NotImplementedError


class IntegerRange(_ValidatedField):
    """An integer within inclusive bounds."""

    __slots__ = ("lowest", "highest")

    def __init__(self, lowest: int, highest: int) -> None:
        """Accepts integers from `lowest` to `highest`, both included."""
        self.lowest, self.highest = lowest, highest

    def fault(self, value: object) -> str | None:
        """Returns what is wrong with `value`, or None if it is valid."""
        if type(value) is not int:
            return "must be a whole number"
        if not self.lowest <= value <= self.highest:
            return f"must be from {self.lowest} to {self.highest}"
        return None


class TextPattern(_ValidatedField):
    """A string that matches a pattern."""

    __slots__ = ("pattern", "description")

    def __init__(self, pattern: re.Pattern[str], description: str) -> None:
        """Accepts strings that `pattern` matches fully; faults name `description` as expected."""
        self.pattern, self.description = pattern, description

    def fault(self, value: object) -> str | None:
        """Returns what is wrong with `value`, or None if it is valid."""
        if not isinstance(value, str) or not self.pattern.fullmatch(value):
            return f"must be {self.description}"
        return None

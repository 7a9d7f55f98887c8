"""Descriptors for fields whose values are checked when they are set."""

from __future__ import annotations

import re
from typing import Any

__all__ = ["NAME", "IntegerRange", "TextPattern"]

NAME = re.compile(r"[a-z][a-z0-9-]{0,31}")


class _Checked:
    """A field whose values are checked when they are set, and stored under `_` and its name.

    Setting a wrong value raises ValueError.
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
        """What is wrong with `value`, or None."""
        raise NotImplementedError


class IntegerRange(_Checked):
    """A whole number within bounds."""

    __slots__ = ("lowest", "highest")

    def __init__(self, lowest: int, highest: int) -> None:
        """Takes numbers from `lowest` to `highest`, both included."""
        self.lowest, self.highest = lowest, highest

    def fault(self, value: object) -> str | None:
        """What is wrong with `value`, or None."""
        if type(value) is not int:
            return "must be a whole number"
        if not self.lowest <= value <= self.highest:
            return f"must be from {self.lowest} to {self.highest}"
        return None


class TextPattern(_Checked):
    """A text that matches a pattern."""

    __slots__ = ("pattern", "description")

    def __init__(self, pattern: re.Pattern[str], description: str) -> None:
        """Takes texts that `pattern` matches as a whole; faults call them `description`."""
        self.pattern, self.description = pattern, description

    def fault(self, value: object) -> str | None:
        """What is wrong with `value`, or None."""
        if not isinstance(value, str) or not self.pattern.fullmatch(value):
            return f"must be {self.description}"
        return None

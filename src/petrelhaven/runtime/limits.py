"""Descriptors for checked fields."""

from __future__ import annotations

import re
from typing import Any

__all__ = ["NAME", "IntegerRange", "TextPattern"]

NAME = re.compile(r"[a-z][a-z0-9-]{0,31}")


class _Checked:
    """A field whose values are checked when they are set; kept under `_` and its name."""

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

    __slots__ = ("lo", "hi", "std")

    def __init__(self, lo: int, hi: int, std: int | None = None) -> None:
        """Takes numbers from `lo` to `hi`; `std` is the default."""
        self.lo, self.hi, self.std = lo, hi, std

    def fault(self, value: object) -> str | None:
        """What is wrong with `value`, or None."""
        if type(value) is not int:
            return "must be a whole number"
        if not self.lo <= value <= self.hi:
            return f"must be from {self.lo} to {self.hi}"
        return None


class TextPattern(_Checked):
    """A word that matches a pattern."""

    __slots__ = ("rx", "what", "std")

    def __init__(self, rx: re.Pattern[str], what: str, std: str | None = None) -> None:
        """Takes words that `rx` matches whole, which `what` describes; `std` is the default."""
        self.rx, self.what, self.std = rx, what, std

    def fault(self, value: object) -> str | None:
        """What is wrong with `value`, or None."""
        if not isinstance(value, str) or not self.rx.fullmatch(value):
            return f"must be {self.what}"
        return None

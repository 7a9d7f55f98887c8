"""Descriptors for checked fields."""

import re

__all__ = ["NAME", "Whole", "Word"]

NAME = re.compile(r"[a-z][a-z0-9-]{0,31}")


class _Checked:
    __slots__ = ("_n", "_pub", "_at")

    def __set_name__(self, owner, name):
        self._pub, self._at = name, "_" + name

    def __get__(self, o, owner=None):
        return self if o is None else getattr(o, self._at)

    def __set__(self, o, v):
        w = self.fault(v)
        if w:
            raise ValueError(f"{self._pub}: {w}")
        setattr(o, self._at, v)


class Whole(_Checked):
    """A whole number within bounds."""

    __slots__ = ("lo", "hi", "std")

    def __init__(self, lo, hi, std=None):
        self.lo, self.hi, self.std = lo, hi, std

    def fault(self, v):
        """What is wrong with `v`, or None."""
        if type(v) is not int:
            return "must be a whole number"
        if not self.lo <= v <= self.hi:
            return f"must be from {self.lo} to {self.hi}"


class Word(_Checked):
    """A word that matches a pattern."""

    __slots__ = ("rx", "what", "std")

    def __init__(self, rx, what, std=None):
        self.rx, self.what, self.std = rx, what, std

    def fault(self, v):
        """What is wrong with `v`, or None."""
        if not isinstance(v, str) or not self.rx.fullmatch(v):
            return f"must be {self.what}"

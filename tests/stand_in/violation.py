from typing import NamedTuple

__all__ = ["Violation"]


class Violation(NamedTuple):
    """A broken rule and what was seen."""

    rule: str
    what: str

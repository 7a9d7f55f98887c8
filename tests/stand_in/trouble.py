from typing import NamedTuple

__all__ = ["Trouble"]


class Trouble(NamedTuple):
    """A span of trouble; `machines` tells whether it struck machines of the system, `planned` whether it was work."""

    at: float
    until: float
    name: str
    machines: bool = True
    planned: bool = False

import math
from dataclasses import dataclass

__all__ = ["Freeze"]


@dataclass
class Freeze:
    """A span in which the processes of a machine stood still; `until` is infinite while they do."""

    machine: str
    at: float
    until: float = math.inf

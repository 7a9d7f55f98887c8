"""The part of a configured route that a proxy uses."""

from dataclasses import dataclass
from typing import Any

__all__ = ["Route"]


@dataclass(frozen=True, slots=True)
class Route:
    """A database name that clients connect to, and how its statements run.

    Attributes:
        host: The database name.
        group: The group that serves it.
        reads: `strong`, or `browsing` for reads that accept stale data.
        timeout_us: The time limit of a statement, in microseconds.
        aim_us: The target latency of a statement, in microseconds.
        stale_us: How old the result of a browsing read may be, in microseconds.
        public: Whether it serves clients without an API key.
    """

    host: str
    group: str
    reads: str
    timeout_us: int
    aim_us: int
    stale_us: int
    public: bool = False

    @property
    def browsing(self) -> bool:
        """Whether reads accept results that are up to `stale_us` old."""
        return self.reads == "browsing"

    @classmethod
    def from_configuration(cls, row: dict[str, Any]) -> "Route":
        """Creates a route from a row of the configuration, with defaults filled in."""
        return cls(
            row["host"],
            row["group"],
            row["reads"],
            row["timeout_us"],
            row["aim_us"],
            row["stale_us"],
            row["public"],
        )

"""What a proxy uses of a configured route."""

from dataclasses import dataclass
from typing import Any

__all__ = ["Route"]


@dataclass(frozen=True, slots=True)
class Route:
    """A database name that clients connect to; times in microseconds."""

    host: str
    group: str
    reads: str
    timeout_us: int
    aim_us: int
    stale_us: int
    public: bool = False

    @property
    def browsing(self) -> bool:
        """Whether reads may be as old as `stale_us`."""
        return self.reads == "browsing"

    @classmethod
    def from_configuration(cls, row: dict[str, Any]) -> "Route":
        """The route that a configuration's row, defaults filled in, describes."""
        return cls(
            row["host"],
            row["group"],
            row["reads"],
            row["timeout_us"],
            row["aim_us"],
            row["stale_us"],
            row["public"],
        )

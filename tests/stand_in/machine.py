from dataclasses import dataclass, field
from pathlib import Path

from .process import Process

__all__ = ["Machine"]


@dataclass(eq=False)
class Machine:
    """One machine of the system: its place, its address and its processes by role."""

    name: str
    node_class: str
    ip: str
    zone: str
    region: str
    disk: Path | None = None
    processes: dict[str, Process] = field(default_factory=dict)
    serves: dict[str, list[str]] = field(default_factory=dict)

    def does_serve(self, who):
        """Whether one of its roles may be called by `who`."""
        return any(who in s for s in self.serves.values())

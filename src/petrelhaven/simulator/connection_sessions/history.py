"""Everything that clients, members and operators of a simulated fleet saw."""

from typing import NamedTuple

__all__ = ["History", "KeyRefusal"]


class KeyRefusal(NamedTuple):
    """A proxy's DENIED, which came `at`, to what a client that showed `key` asked then."""

    asked: float
    at: float
    node: str
    key: str
    is_public: bool


class History:
    """Lists of what happened, in seconds of virtual time."""

    __slots__ = (
        "attempts",
        "runs",
        "entries",
        "drained",
        "evacuations",
        "troubles",
        "key_refusals",
    )

    def __init__(self):
        self.attempts, self.runs, self.entries = [], [], []
        self.drained = {}
        self.evacuations = []
        self.troubles = []
        self.key_refusals = []

    def trouble(self, at, until, *names):
        """Machines (or `core` as a whole) were in trouble from `at` until `until`."""
        self.troubles.append((at, until, frozenset(names)))

    def in_touch(self, name, at, contact):
        """Whether machine `name` and the core had no trouble in the `contact` seconds before `at`."""
        return not any(
            t <= at and u >= at - contact and (name in ns or "core" in ns)
            for t, u, ns in self.troubles
        )

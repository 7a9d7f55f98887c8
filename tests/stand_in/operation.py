from dataclasses import dataclass

__all__ = ["Operation"]


@dataclass(eq=False)
class Operation:
    """What became of one operation over all its tries; one that its client left is not owed."""

    started: float
    route: object
    served: bool = False
    left: bool = False
    ended: float | None = None
    tries: int = 0
    last: str = ""
    key: str | None = None

    @property
    def in_aim(self):
        """Whether it was served within the route's aim, its own pauses not counted."""
        return self.served and (self.ended - self.started) * 1000 <= self.route.target_ms

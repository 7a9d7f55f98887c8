from dataclasses import dataclass

__all__ = ["Evacuation"]


@dataclass(eq=False)
class Evacuation:
    """A zone that is asked to get nothing more, from its acknowledgement until it is taken back."""

    zone: str
    acked_at: float
    finished_at: float | None = None

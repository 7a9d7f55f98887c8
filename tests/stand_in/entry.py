from dataclasses import dataclass

__all__ = ["Entry"]


@dataclass(eq=False)
class Entry:
    """One commit in a service's log; `writes` holds the id, thing and data of each write."""

    service: str
    term: int
    number: int
    writes: tuple
    before: "Entry | None" = None
    synced: bool = False
    acked_at: float | None = None
    cut_at: float | None = None

from dataclasses import dataclass, field

from .entry import Entry

__all__ = ["Run"]


@dataclass(eq=False)
class Run:
    """One read, write or commit that a member ran: where, inside what, on which log, under whose name, and what it
    answered."""

    at: float
    arrived: float
    service: str
    member: str
    zone: str
    connection: int
    transaction: int | None
    id: str
    text: str
    kind: str
    log: Entry | None = None
    shape: str | None = None
    values: dict = field(default_factory=dict)
    stamp: str = ""
    rows: tuple = ()
    who: str = ""

from dataclasses import dataclass, field

__all__ = ["Statement"]


@dataclass(eq=False)
class Statement:
    """One statement as its client saw it; `outcome` is a code, `ok`, `cut`, `silent` or empty while it is open."""

    id: str
    text: str
    sent: float
    shape: str | None = None
    writes: bool = False
    values: dict = field(default_factory=dict)
    ended: float | None = None
    outcome: str = ""
    stamp: str = ""
    rows: tuple = ()

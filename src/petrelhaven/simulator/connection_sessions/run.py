"""One read, write or commit that a simulated member ran."""

from typing import Any

__all__ = ["Run"]


class Run:
    """Where it ran, inside what, on which log, and what was answered; `sent` is when the order left `node`."""

    __slots__ = (
        "at",
        "sent",
        "node",
        "group",
        "member",
        "zone",
        "connection",
        "transaction",
        "num",
        "kind",
        "text",
        "shape",
        "values",
        "tip",
        "stamp",
        "rows",
        "who",
    )

    at: float
    sent: float
    node: Any
    group: str
    member: str
    zone: str
    connection: Any
    transaction: Any
    num: str
    kind: str
    text: str
    shape: Any
    values: Any
    tip: Any
    stamp: str
    rows: Any
    who: str

    def __init__(self, **kw):
        for k, v in kw.items():
            setattr(self, k, v)

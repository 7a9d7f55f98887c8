"""One read, write or commit that a simulated member ran."""

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

    def __init__(self, **kw):
        for k, v in kw.items():
            setattr(self, k, v)

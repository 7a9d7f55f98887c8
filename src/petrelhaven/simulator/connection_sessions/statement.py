"""One statement as its client sent it, with what came of it."""

__all__ = ["Statement"]


class Statement:
    """`values` and `shape` are what its client had acknowledged; `outcome` is `ok`, a code, `cut` or `silent`."""

    __slots__ = (
        "num",
        "verb",
        "text",
        "shape",
        "values",
        "sent",
        "ended",
        "outcome",
        "stamp",
        "rows",
    )

    def __init__(self, num, verb, text, shape, values, sent):
        self.num, self.verb, self.text, self.shape, self.values, self.sent = (
            num,
            verb,
            text,
            shape,
            values,
            sent,
        )
        self.ended = self.outcome = self.stamp = None
        self.rows = ()

    @property
    def writes(self):
        """Whether it writes."""
        return self.verb == "write" or self.shape is not None and self.shape.startswith("put")

__all__ = ["PROMISES", "Refusal"]

PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"})
"""The codes which promise that nothing of the try is kept."""


class Refusal(Exception):
    """A statement that ends in an ERROR."""

    def __init__(self, code, text="-"):
        super().__init__(f"{code} {text}")
        self.code, self.text = code, text

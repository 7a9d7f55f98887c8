from typing import NamedTuple

__all__ = ["Answer"]


class Answer(NamedTuple):
    """What came back for one statement; `code` is empty on success."""

    rows: tuple
    code: str
    text: str
    state: str
    position: str

    @property
    def stamp(self):
        """The stamp of a success."""
        return "" if self.code else self.text

"""Places in a member's log, as proxies compare them."""

__all__ = ["LogPosition", "Position"]

Position = tuple[int, int]
"""On the held path: (term, number). A later one holds everything that an earlier one holds."""

LogPosition = int | Position
"""On either path; a place is compared only with places of the same path."""

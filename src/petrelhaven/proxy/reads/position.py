"""Places in a member's log, as proxies of the held path compare them."""

__all__ = ["Position"]

Position = tuple[int, int]
"""(term, number): a later one holds everything that an earlier one holds."""

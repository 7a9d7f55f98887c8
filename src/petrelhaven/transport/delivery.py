"""How a request came to this node, as far as its receiver can know."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Delivery"]


def _nobody_left() -> bool:
    return False


@dataclass(frozen=True, slots=True)
class Delivery:
    """Signs that a request was held up on its way.

    A request carries no time, and a receiver sees when bytes arrive, not when they were sent. But
    a caller that gives a call up closes its connection, or the late answer would be taken for that
    of its next call; so behind a request that was held up and given up stands its caller's end.

    Attributes:
        opening_us: From the start of the connection to its first byte, in microseconds; 0 for any
            request but the first of a connection, whose caller may have rested meanwhile.
        transfer_us: From the first byte of the request to its last, in microseconds.
        has_caller_left: Whether the caller has closed its end by now.
    """

    opening_us: int = 0
    transfer_us: int = 0
    has_caller_left: Callable[[], bool] = _nobody_left

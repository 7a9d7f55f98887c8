"""How a request was delivered, as far as its receiver can observe."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Delivery"]


def _caller_is_connected() -> bool:
    return False


@dataclass(frozen=True, slots=True)
class Delivery:
    """Signs that a request was delayed in the network.

    A request carries no timestamp, and a receiver sees when bytes arrive, not when they were sent.
    But a caller that abandons a request closes its connection, because otherwise the late answer
    would be taken as the answer to its next request. So a request that was delayed and abandoned
    is followed by the end of its connection.

    Attributes:
        opening_us: Time from the start of the connection to its first byte, in microseconds. 0 for
            every later request of a connection, since its caller may have been idle before it.
        transfer_us: Time from the first byte of the request to its last, in microseconds.
        has_caller_left: Returns whether the caller has closed its end of the connection.
    """

    opening_us: int = 0
    transfer_us: int = 0
    has_caller_left: Callable[[], bool] = _caller_is_connected

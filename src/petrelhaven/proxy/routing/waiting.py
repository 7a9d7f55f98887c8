"""Waiting for the first of several futures."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from petrelhaven.runtime.clock import Clock

__all__ = ["wait_for_first"]


def wait_for_first(
    clock: Clock, futures: Iterable[asyncio.Future[Any]], limit_us: int
) -> asyncio.Future[None]:
    """Returns a future that completes with the first of `futures` or after `limit_us`.

    None of `futures` is cancelled.
    """
    first = asyncio.get_running_loop().create_future()

    def finish(*_: object) -> None:
        if not first.done():
            first.set_result(None)

    timer = clock.later(limit_us, finish)
    for future in futures:
        if future.done():
            finish()
        else:
            future.add_done_callback(finish)
    first.add_done_callback(lambda _: timer.cancel())
    return first

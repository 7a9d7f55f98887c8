"""Forwards proxies' reports to counting nodes, batching the reports of several proxies."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from petrelhaven.limits.reports import AccountReport, Grant
from petrelhaven.runtime.errors import Fault, NotReady

if TYPE_CHECKING:
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks

__all__ = ["ReportRelay", "ReportRow"]

_BATCH_DELAY_US = 15_000

ReportRow = tuple[str, AccountReport]
"""A report, preceded by the name of the proxy that sent it."""
SendReports = Callable[[str, list[ReportRow]], Awaitable[list[Grant | None]]]
"""Sends reports to a node and returns its grants in the same order; None for a missing grant."""


class _Batch:
    """Reports that are sent to one node in a single message."""

    __slots__ = ("rows", "answers")

    def __init__(self) -> None:
        self.rows: list[ReportRow] = []
        self.answers: list[asyncio.Future[Grant | None]] = []


class ReportRelay:
    """Batches reports per counting node."""

    def __init__(self, clock: Clock, tasks: BackgroundTasks, send: SendReports) -> None:
        """Creates a relay that sends each batch with `send`."""
        self._clock, self._tasks, self._send = clock, tasks, send
        self._batches: dict[str, _Batch] = {}

    def submit(self, node: str, row: ReportRow) -> asyncio.Future[Grant | None]:
        """Adds a report to the batch for `node`; the future yields its grant, or None."""
        batch = self._batches.get(node)
        if batch is None:
            batch = self._batches[node] = _Batch()
            self._clock.later(_BATCH_DELAY_US, lambda: self._flush(node))
        answer: asyncio.Future[Grant | None] = asyncio.get_running_loop().create_future()
        batch.rows.append(row)
        batch.answers.append(answer)
        return answer

    def _flush(self, node: str) -> None:
        batch = self._batches.pop(node)
        if self._tasks.spawn(self._deliver(node, batch)) is None:
            _resolve(batch, [None] * len(batch.rows))

    async def _deliver(self, node: str, batch: _Batch) -> None:
        grants: list[Grant | None] = [None] * len(batch.rows)
        try:
            received = await self._send(node, batch.rows)
            if len(received) != len(grants):
                raise NotReady("the number of grants differs from the number of reports")
            grants = received
        except Fault:
            pass
        finally:
            _resolve(batch, grants)


def _resolve(batch: _Batch, grants: list[Grant | None]) -> None:
    for answer, grant in zip(batch.answers, grants, strict=True):
        if not answer.done():
            answer.set_result(grant)

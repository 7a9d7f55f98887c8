"""Passes proxies' reports on to counting nodes, several proxies' in one message."""

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

_COALESCE_US = 15_000

ReportRow = tuple[str, AccountReport]
"""A report with the name of the proxy that sent it."""
Send = Callable[[str, list[ReportRow]], Awaitable[list[Grant | None]]]
"""Sends reports to a node; its grants in the same order, None where it grants nothing."""


class _Batch:
    """Reports that go to one node together."""

    __slots__ = ("rows", "answers")

    def __init__(self) -> None:
        self.rows: list[ReportRow] = []
        self.answers: list[asyncio.Future[Grant | None]] = []


class ReportRelay:
    """Collects reports by the node that counts their tenants."""

    def __init__(self, clock: Clock, tasks: BackgroundTasks, send: Send) -> None:
        """Sends each batch with `send`."""
        self._clock, self._tasks, self._send = clock, tasks, send
        self._batches: dict[str, _Batch] = {}

    def submit(self, node: str, row: ReportRow) -> asyncio.Future[Grant | None]:
        """The grant that `node` answers to a report, or None."""
        batch = self._batches.get(node)
        if batch is None:
            batch = self._batches[node] = _Batch()
            self._clock.later(_COALESCE_US, lambda: self._flush(node))
        answer: asyncio.Future[Grant | None] = asyncio.get_running_loop().create_future()
        batch.rows.append(row)
        batch.answers.append(answer)
        return answer

    def _flush(self, node: str) -> None:
        batch = self._batches.pop(node)
        if self._tasks.spawn(self._deliver(node, batch)) is None:
            _answer(batch, [None] * len(batch.rows))

    async def _deliver(self, node: str, batch: _Batch) -> None:
        grants: list[Grant | None] = [None] * len(batch.rows)
        try:
            answered = await self._send(node, batch.rows)
            if len(answered) != len(grants):
                raise NotReady("another number of grants than of reports")
            grants = answered
        except Fault:
            pass
        finally:
            _answer(batch, grants)


def _answer(batch: _Batch, grants: list[Grant | None]) -> None:
    for answer, grant in zip(batch.answers, grants, strict=True):
        if not answer.done():
            answer.set_result(grant)

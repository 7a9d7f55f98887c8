"""Selects the path of a statement: read, write, or inside a transaction."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.proxy.routing.member_calls import MemberCalls
from petrelhaven.proxy.routing.read_path import ReadPath
from petrelhaven.proxy.routing.read_placement import ReadPlacement
from petrelhaven.proxy.routing.transaction_path import TransactionPath
from petrelhaven.proxy.routing.transaction_start import TransactionStart
from petrelhaven.proxy.routing.write_path import WritePath
from petrelhaven.proxy.session.statement import Reply

if TYPE_CHECKING:
    from petrelhaven.proxy.routing.interfaces import Continuation, ProxyServices
    from petrelhaven.proxy.routing.request import Request

__all__ = ["StatementPath"]


class StatementPath:
    """Runs statements as continuations that yield futures to wait for and return the reply."""

    def __init__(self, proxy: ProxyServices) -> None:
        """Creates the paths; they use the clock, the tasks and the counters of `proxy`."""
        calls = MemberCalls(proxy)
        placement = ReadPlacement(proxy)
        self._admission = proxy.admission
        self._reads = ReadPath(proxy, calls, placement)
        self._writes = WritePath(proxy, calls)
        start = TransactionStart(proxy, calls, placement)
        self.transactions = TransactionPath(proxy, calls, start)

    def run(self, request: Request) -> Continuation[Reply]:
        """Returns the continuation of a statement."""
        if request.session.transaction is not None:
            return self.transactions.run(request)
        return self._run_admitted(request)

    def _run_admitted(self, request: Request) -> Continuation[Reply]:
        """Runs a statement outside transactions once its tenant's limit admits it."""
        refusal = yield from self._admission.admit(request)
        if refusal is not None:
            return Reply(code="busy", text=refusal)
        path = self._writes if request.statement.writes else self._reads
        try:
            return (yield from path.run(request))
        finally:
            self._admission.put_back(request)

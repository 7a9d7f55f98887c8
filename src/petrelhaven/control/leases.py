"""Leases of proxies, which decide when a record is in force.

A proxy sends statements only while it has a lease from a control node, and it gets a lease only if
it has applied the newest records. So a record is in force once every proxy has acknowledged it or
no longer has a lease. Leases aren't replicated: each control node has those that it granted. For
some time after a view change, nodes assume that removed nodes may have granted more.

`LeaseTable` is the base class. `ConnectionLeaseTable` is for connection sessions; the table for
resumable sessions is in `control/resumable/leases`.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from petrelhaven.control.consensus.chain import MAX_CLOCK_RATE_RATIO
from petrelhaven.control.state.record import record_kind
from petrelhaven.control.state.records import ConfigurationRecord, SupersededConfiguration
from petrelhaven.control.state_push import ChangeSignal, StatePusher
from petrelhaven.runtime.errors import DeadlineExceeded, Fault, NotReady
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.lease_messages import AcknowledgementReport, NumberedRecord
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    import logbook

    from petrelhaven.control.consensus.chain import Chain
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.channel import Channel

__all__ = ["ConnectionLeaseTable", "LeaseTable", "lease_expiry_us"]

_IN_FORCE_TIMEOUT_US = 15_000_000
_REPORT_TIMEOUT_US = 500_000
_POLL_INTERVAL_US = 40_000

Call = Callable[[str, str, dict[str, Any], int], Awaitable[dict[str, Any]]]
Reports = Sequence[AcknowledgementReport | None]


def lease_expiry_us(lease_us: int, confirmation_validity_us: int) -> int:
    """Returns after how long every lease has expired, for any permitted clock drift.

    Args:
        lease_us: How long a lease lasts from the proxy's request, in microseconds.
        confirmation_validity_us: How long a node grants leases after a confirmation by a majority.
    """
    return int((lease_us + confirmation_validity_us) * MAX_CLOCK_RATE_RATIO)


class LeaseTable:
    """The leases and acknowledgements that one control node has recorded.

    Attributes:
        lease_ends: For each proxy, the clock time at which the lease from this node has expired.
        acknowledged: The newest record that each proxy has acknowledged to this node.
        unknown_leases_end: The clock time at which all leases from earlier views have expired.
        subscribe: Handles `edge.hold`: starts to push records to a proxy.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (parts of one node)
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        chain: Chain,
        call: Call,
        log: logbook.Logger | None,
        certain_expiry_us: int,
    ) -> None:
        """Uses the parts of a control node; `certain_expiry_us` comes from `lease_expiry_us`."""
        self._clock, self._chain, self._call, self._log = clock, chain, call, log
        self._certain_expiry_us = certain_expiry_us
        self.lease_ends: dict[str, int] = {}
        self.acknowledged: dict[str, int] = {}
        self.unknown_leases_end = clock.now() + certain_expiry_us
        self._changed = ChangeSignal()
        self._pusher = StatePusher(
            clock, tasks, chain, self._changed, self.acknowledge, self.condense
        )
        self.subscribe = self._pusher.subscribe
        chain.on_view.append(self._extend_unknown_leases)
        chain.on_commit.append(self._changed.wake)

    def acknowledge(self, proxy: str, seq: int) -> None:
        """Records that `proxy` has applied the records up to `seq`."""
        self.acknowledged[proxy] = max(self.acknowledged.get(proxy, 0), seq)

    def grant(self, proxy: str, lease_us: int) -> None:
        """Records that `proxy` may have a lease for `lease_us` from now."""
        self.lease_ends[proxy] = self._clock.now() + int(lease_us * MAX_CLOCK_RATE_RATIO)

    def condense(self, records: list[NumberedRecord]) -> list[NumberedRecord]:
        """Returns the records of one push, without the content that proxies don't need."""
        return records

    async def report(self, channel: Channel, body: Mapping[str, Any]) -> dict[str, Any]:
        """Handles `chain.force`: returns this node's leases and acknowledgements."""
        now = self._clock.now()
        report = AcknowledgementReport(
            acknowledged=dict(self.acknowledged),
            lease_us={proxy: end - now for proxy, end in self.lease_ends.items() if end > now},
            unknown_leases_us=max(self.unknown_leases_end - now, 0),
            commit=self._chain.committed_seq,
        )
        return report.to_body()

    async def wait_in_force(
        self, seq: int, grace_us: int = 0, timeout_us: int = _IN_FORCE_TIMEOUT_US
    ) -> int:
        """Waits until record `seq` is in force; returns how long that took, in microseconds.

        Args:
            seq: The number of a committed record.
            grace_us: How long proxies may act on the previous record after receiving this one.
            timeout_us: The longest time to wait.

        Raises:
            DeadlineExceeded: It may not be in force yet; it stays committed.
            NotReady: This node has no view.
        """
        started_at = self._clock.now()
        all_expired_at = started_at + self._certain_expiry_us + int(grace_us * MAX_CLOCK_RATE_RATIO)
        while True:
            view = self._chain.view
            if view is None:
                raise NotReady("no view yet")
            event = self._changed.event
            reports = await asyncio.gather(*[self._fetch_report(name, seq) for name in view.chain])
            waited_us = self._clock.now() - started_at
            if self._chain.view is view and self._is_in_force(reports, seq, all_expired_at):
                emit(self._log, Events.RECORD_IN_FORCE, seq=seq, us=waited_us)
                return waited_us
            if waited_us > timeout_us:
                raise DeadlineExceeded("not in force yet; it stays committed")
            with contextlib.suppress(DeadlineExceeded):
                await self._clock.limit(event.wait(), _POLL_INTERVAL_US)

    def _is_in_force(self, reports: Reports, seq: int, all_expired_at: int) -> bool:
        """Returns whether the reports prove that record `seq` is in force.

        Args:
            reports: The report of each node of the chain; None for nodes that didn't answer.
            seq: The record's number.
            all_expired_at: The clock time at which every lease granted before the record has
                expired.
        """
        raise NotImplementedError

    def _extend_unknown_leases(self) -> None:
        end = self._clock.now() + self._certain_expiry_us
        self.unknown_leases_end = max(self.unknown_leases_end, end)

    async def _fetch_report(self, name: str, seq: int) -> AcknowledgementReport | None:
        try:
            answer = await self._call(
                name, MessageKind.CHAIN_IN_FORCE, {"seq": seq}, _REPORT_TIMEOUT_US
            )
        except Fault:
            return None
        return AcknowledgementReport.from_body(answer)


def newest_acknowledged(reports: Sequence[AcknowledgementReport]) -> dict[str, int]:
    """Returns the newest record that each proxy has acknowledged to any of the nodes."""
    newest: dict[str, int] = {}
    for report in reports:
        for proxy, seq in report.acknowledged.items():
            newest[proxy] = max(newest.get(proxy, 0), seq)
    return newest


class ConnectionLeaseTable(LeaseTable):
    """The leases of proxies with connection sessions.

    The control state has no list of proxies. So leases that a lost control node may have granted
    are waited for until they have expired.
    """

    def condense(self, records: list[NumberedRecord]) -> list[NumberedRecord]:
        """Replaces each configuration but the last one of a push with a placeholder."""
        placeholder = SupersededConfiguration().to_document()
        configurations = [seq for seq, record in records if _is_configuration(record)]
        last = max(configurations, default=0)
        return [
            (seq, placeholder if _is_configuration(record) and seq < last else record)
            for seq, record in records
        ]

    def _is_in_force(self, reports: Reports, seq: int, all_expired_at: int) -> bool:
        answered = [report for report in reports if report is not None]
        acknowledged = newest_acknowledged(answered)
        leased = {proxy for report in answered for proxy in report.lease_us}
        if any(acknowledged.get(proxy, 0) < seq for proxy in leased):
            return False
        now = self._clock.now()
        if len(answered) < len(reports):
            return now >= all_expired_at + self._certain_expiry_us
        if all(report.unknown_leases_us == 0 for report in answered):
            return True
        return now >= all_expired_at


def _is_configuration(record: Mapping[str, Any]) -> bool:
    return record_kind(record) == ConfigurationRecord.kind

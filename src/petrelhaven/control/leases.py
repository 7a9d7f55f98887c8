"""Leases of proxies: which may send statements, and when a record is in force.

A proxy sends statements only while it has a lease from a control node, and it gets one only if it
follows the newest records. So a record is in force once each proxy has acknowledged it or its
lease has certainly expired. Control nodes don't agree on leases: each knows those that it granted,
and for a while after a new view it reckons with leases granted by nodes that are gone.

`LeaseTable` is the contract; the tables of the two kinds of sessions differ in who may have a
lease. That of resumable sessions is in `control/resumable/leases`.
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
_REPORT_US = 500_000
_POLL_US = 40_000

Call = Callable[[str, str, dict[str, Any], int], Awaitable[dict[str, Any]]]
Reports = Sequence[AcknowledgementReport | None]


def lease_expiry_us(lease_us: int, confirm_us: int) -> int:
    """After how long a lease has certainly expired, whatever the clocks of the machines drift.

    Args:
        lease_us: How long it lasts from the moment the proxy asked for it, in microseconds.
        confirm_us: How long after a confirmation by a majority a node still grants leases.
    """
    return int((lease_us + confirm_us) * MAX_CLOCK_RATE_RATIO)


class LeaseTable:
    """What one control node knows of leases and acknowledgements.

    Attributes:
        lease_ends: When the lease that this node granted to a proxy has certainly expired.
        acknowledged: The newest record that each proxy has acknowledged to this node.
        unknown_leases_end: When leases granted by nodes of earlier views have certainly expired.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (a node assembles it)
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        chain: Chain,
        call: Call,
        log: logbook.Logger | None,
        certain_expiry_us: int,
    ) -> None:
        """Takes the parts of a control node; `certain_expiry_us` is that of `lease_expiry_us`."""
        self._clock, self._chain, self._call, self._log = clock, chain, call, log
        self._expiry_us = certain_expiry_us
        self.lease_ends: dict[str, int] = {}
        self.acknowledged: dict[str, int] = {}
        self.unknown_leases_end = clock.now() + certain_expiry_us
        self._changed = ChangeSignal()
        self._pusher = StatePusher(
            clock, tasks, chain, self._changed, self.acknowledge, self.condense
        )
        self.subscribe = self._pusher.subscribe
        chain.on_view.append(self._view_changed)
        chain.on_commit.append(self._changed.wake)

    def acknowledge(self, proxy: str, seq: int) -> None:
        """Notes that `proxy` follows the records up to `seq`."""
        self.acknowledged[proxy] = max(self.acknowledged.get(proxy, 0), seq)

    def grant(self, proxy: str, lease_us: int) -> None:
        """Notes that `proxy` may have a lease for `lease_us` from now."""
        self.lease_ends[proxy] = self._clock.now() + int(lease_us * MAX_CLOCK_RATE_RATIO)

    def condense(self, records: list[NumberedRecord]) -> list[NumberedRecord]:
        """The records of one push without what proxies don't need."""
        return records

    async def report(self, channel: Channel, body: Mapping[str, Any]) -> dict[str, Any]:
        """Answers `chain.force`: what this node knows of leases and acknowledgements."""
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
            grace_us: How long proxies may go on under the record before, once they know this one.
            timeout_us: How long to wait at most.

        Raises:
            DeadlineExceeded: It is not known to be in force; it stays committed.
            NotReady: This node knows of no view.
        """
        start = self._clock.now()
        all_expired_at = start + self._expiry_us + int(grace_us * MAX_CLOCK_RATE_RATIO)
        while True:
            view = self._chain.view
            if view is None:
                raise NotReady("no view yet")
            event = self._changed.event
            reports = await asyncio.gather(*[self._ask(name, seq) for name in view.chain])
            waited_us = self._clock.now() - start
            if self._chain.view is view and self._is_in_force(reports, seq, all_expired_at):
                emit(self._log, Events.RECORD_IN_FORCE, seq=seq, us=waited_us)
                return waited_us
            if waited_us > timeout_us:
                raise DeadlineExceeded("not in force yet; it stays committed")
            with contextlib.suppress(DeadlineExceeded):
                await self._clock.limit(event.wait(), _POLL_US)

    def _is_in_force(self, reports: Reports, seq: int, all_expired_at: int) -> bool:
        """Whether the chain's nodes together know that record `seq` is in force.

        Args:
            reports: What each node of the chain knows; None of those that didn't answer.
            seq: The record's number.
            all_expired_at: When each lease granted before the record has expired.
        """
        raise NotImplementedError

    def _view_changed(self) -> None:
        end = self._clock.now() + self._expiry_us
        self.unknown_leases_end = max(self.unknown_leases_end, end)

    async def _ask(self, name: str, seq: int) -> AcknowledgementReport | None:
        try:
            answer = await self._call(name, MessageKind.CHAIN_IN_FORCE, {"seq": seq}, _REPORT_US)
        except Fault:
            return None
        return AcknowledgementReport.from_body(answer)


def newest_acknowledged(reports: Sequence[AcknowledgementReport]) -> dict[str, int]:
    """The newest record that each proxy has acknowledged to any of the nodes."""
    newest: dict[str, int] = {}
    for report in reports:
        for proxy, seq in report.acknowledged.items():
            newest[proxy] = max(newest.get(proxy, 0), seq)
    return newest


class ConnectionLeaseTable(LeaseTable):
    """Leases of proxies with connection sessions.

    No record tells which proxies there are, so those that a lost control node may have granted a
    lease to are waited for by time.
    """

    def condense(self, records: list[NumberedRecord]) -> list[NumberedRecord]:
        """A configuration that a later one in the same push replaces is left out."""
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
            return now >= all_expired_at + self._expiry_us
        if all(report.unknown_leases_us == 0 for report in answered):
            return True
        return now >= all_expired_at


def _is_configuration(record: Mapping[str, Any]) -> bool:
    return record_kind(record) == ConfigurationRecord.kind

"""Leases of proxies with resumable sessions; the control state records these proxies."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from petrelhaven.control.consensus.chain import CONFIRMATION_VALIDITY_US
from petrelhaven.control.leases import (
    Call,
    LeaseTable,
    Reports,
    lease_expiry_us,
    newest_acknowledged,
)
from petrelhaven.transport.lease_messages import LeaseGrant, LeaseRequest

if TYPE_CHECKING:
    import logbook

    from petrelhaven.control.consensus.chain import Chain
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.channel import Channel

__all__ = ["LEASE_EXPIRY_US", "LEASE_US", "ResumableLeaseTable"]

LEASE_US = 1_500_000
LEASE_EXPIRY_US = lease_expiry_us(LEASE_US, CONFIRMATION_VALIDITY_US)


class ResumableLeaseTable(LeaseTable):
    """The leases of proxies with resumable sessions, which register in the control state."""

    def __init__(
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        chain: Chain,
        call: Call,
        log: logbook.Logger | None = None,
    ) -> None:
        """Uses the parts of a control node."""
        super().__init__(clock, tasks, chain, call, log, LEASE_EXPIRY_US)

    async def renew(self, channel: Channel, body: Mapping[str, Any]) -> dict[str, Any]:
        """Handles `edge.lease`: renews the lease if this proxy process is registered."""
        request = LeaseRequest.from_body(body)
        row = self._chain.control_state.doc["edges"].get(request.proxy)
        is_registered = (
            bool(row)
            and row["inc"] == request.incarnation
            and row.get("boot", request.boot) == request.boot
        )
        if is_registered:
            self.acknowledge(request.proxy, request.acknowledged_seq)
            self._changed.wake()
        granted = bool(self._chain.is_confirmed and is_registered and row["state"] != "gone")
        required_seq = self._chain.control_state.seq
        if granted:
            self.grant(request.proxy, LEASE_US)
        return LeaseGrant(granted, LEASE_US, required_seq).to_body()

    def _is_in_force(self, reports: Reports, seq: int, all_expired_at: int) -> bool:
        answered = [report for report in reports if report is not None]
        acknowledged = newest_acknowledged(answered)
        leased = {proxy for report in answered for proxy in report.lease_us}
        behind = {
            proxy for proxy in leased | self._recorded_proxies() if acknowledged.get(proxy, 0) < seq
        }
        now = self._clock.now()
        if len(answered) < len(reports):
            return now >= all_expired_at + self._certain_expiry_us and not behind & leased
        if not behind:
            return True
        no_unknown_leases = all(report.unknown_leases_us == 0 for report in answered)
        return not behind & leased and (no_unknown_leases or now >= all_expired_at)

    def _recorded_proxies(self) -> set[str]:
        """Returns the proxies whose leases are not recorded as expired."""
        rows = self._chain.control_state.doc["edges"].items()
        return {name for name, row in rows if row["state"] != "gone" or not row.get("lapsed")}

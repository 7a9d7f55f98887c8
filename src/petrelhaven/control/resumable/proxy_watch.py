"""Records proxies as gone that can no longer send statements.

A proxy is gone if its peers agree that it is, or if its lease expired long ago.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from petrelhaven.control.resumable.leases import LEASE_EXPIRY_US, LEASE_US
from petrelhaven.control.resumable.records import LeaseExpiryRecord, ProxyRecord
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    from petrelhaven.control.resumable.announcements import NodeReport
    from petrelhaven.control.resumable.duty_tasks import DutyTasks
    from petrelhaven.control.resumable.interfaces import Chain, LeaseTable
    from petrelhaven.membership.roster import Roster
    from petrelhaven.runtime.clock import Clock

__all__ = ["ProxyWatch"]

_NO_LEASE_US = -(1 << 60)
_MAX_REPLICATION_US = LEASE_EXPIRY_US + 2_500_000
_MIN_ACTIVE_US = 300_000
_MAX_SILENCE_US = 2_500_000
_MAX_REMAINING_LEASE_US = 600_000
_GONE = "gone"


@dataclass(frozen=True, slots=True)
class _Proxy:
    """A proxy as recorded in the control state."""

    name: str
    incarnation: int
    zone: str
    is_gone: bool
    is_expiry_recorded: bool

    @classmethod
    def from_row(cls, name: str, row: Mapping[str, Any]) -> _Proxy:
        return cls(
            name, row["inc"], row.get("hall", ""), row["state"] == _GONE, bool(row.get("lapsed"))
        )


class ProxyWatch:
    """Detects lost proxies while this node is the active head."""

    def __init__(  # noqa: PLR0913, PLR0917 (the parts of a control node)
        self,
        clock: Clock,
        chain: Chain,
        lease_table: LeaseTable,
        roster: Roster,
        tasks: DutyTasks,
        log: Any,  # noqa: ANN401 (a logger or None)
    ) -> None:
        """Uses the parts of a control node."""
        self._clock, self._chain, self._lease_table = clock, chain, lease_table
        self._roster, self._tasks, self._log = roster, tasks, log
        # For each zone, when a proxy there was last declared gone (clock microseconds).
        self._zone_loss_times: dict[str, int] = {}
        # When this node first saw each incarnation of a proxy (clock microseconds).
        self._first_seen_at: dict[tuple[str, int], int] = {}

    def check(
        self, reports: Mapping[str, NodeReport], active_us: int, session_replicas: int
    ) -> None:
        """Declares lost proxies gone, and records that the leases of gone proxies have expired.

        Args:
            reports: The reports of the other control nodes.
            active_us: For how long this node has been the active head, in microseconds.
            session_replicas: How many proxies hold a replica of each session. If this many other
                zones lost a proxy recently, no further one is declared gone, since it could hold
                the last replica of a session.
        """
        leases = self._remaining_leases(reports)
        for name, row in sorted(self._chain.control_state.doc["edges"].items()):
            proxy = _Proxy.from_row(name, row)
            if self._tasks.is_busy(("edge", name)):
                continue
            if proxy.is_gone:
                self._start_expiry_record(proxy, active_us)
                continue
            first_seen_at = self._first_seen_at.setdefault(
                (name, proxy.incarnation), self._clock.now()
            )
            is_active_long_enough = active_us >= _MIN_ACTIVE_US
            if (
                is_active_long_enough
                and self._count_recently_affected_zones(proxy.zone) < session_replicas
            ):
                self._declare_if_gone(proxy, leases.get(name), first_seen_at, active_us)

    def _remaining_leases(self, reports: Mapping[str, NodeReport]) -> dict[str, int]:
        """Returns the remaining time of each proxy's newest lease from any control node."""
        now = self._clock.now()
        remaining: dict[str, int] = {}
        for proxy, end in self._lease_table.lease_ends.items():
            remaining[proxy] = max(remaining.get(proxy, _NO_LEASE_US), end - now)
        for report in reports.values():
            for proxy, lease_us in report.leases.items():
                remaining[proxy] = max(
                    remaining.get(proxy, _NO_LEASE_US), lease_us - (now - report.requested_at)
                )
        return remaining

    def _start_expiry_record(self, proxy: _Proxy, active_us: int) -> None:
        """Starts to record the expiry of a lost proxy's lease, unless it is recorded."""
        if not proxy.is_expiry_recorded and active_us > LEASE_EXPIRY_US:
            seq = self._chain.control_state.seq
            self._tasks.start(
                ("edge", proxy.name), self._record_expiry, proxy.name, proxy.incarnation, seq
            )

    def _count_recently_affected_zones(self, zone: str) -> int:
        """Returns how many other zones lost a proxy so recently that replicas may be missing."""
        now = self._clock.now()
        return sum(
            other_zone != zone and now - declared_at < _MAX_REPLICATION_US
            for other_zone, declared_at in self._zone_loss_times.items()
        )

    def _declare_if_gone(
        self, proxy: _Proxy, lease_us: int | None, first_seen_at: int, active_us: int
    ) -> None:
        """Declares a proxy gone if its peers agree that it is, or if its lease expired long ago."""
        now = self._clock.now()
        granted_us = lease_us if lease_us is not None else _NO_LEASE_US
        remaining_us = max(granted_us, first_seen_at + 2 * LEASE_US - now)
        state = self._roster.state(proxy.name)
        peer = self._roster.peers.get(proxy.name)
        is_lost = (
            state == _GONE
            and peer is not None
            and peer.incarnation >= proxy.incarnation
            and (lease_us if lease_us is not None else 0) < _MAX_REMAINING_LEASE_US
        )
        is_silent = (
            remaining_us < -_MAX_SILENCE_US
            and active_us > _MAX_SILENCE_US
            and self._lease_table.unknown_leases_end <= now
        )
        if not is_lost and not is_silent:
            return
        self._zone_loss_times[proxy.zone] = now
        emit(
            self._log,
            Events.PROXY_GONE,
            edge=proxy.name,
            incarnation=proxy.incarnation,
            kith=state,
            lease_us=remaining_us,
        )
        self._tasks.start(
            ("edge", proxy.name), self._declare_gone, proxy.name, proxy.incarnation, state
        )

    async def _declare_gone(self, name: str, incarnation: int, peer_state: str | None) -> None:
        """Records that a proxy is gone, then that its lease has expired."""
        record = ProxyRecord(
            name=name,
            incarnation=incarnation,
            state=_GONE,
            cause=f"kith: {peer_state}, no lease",
            by=self._chain.node_name,
        )
        seq = await self._chain.append_record(record.to_document())
        await self._record_expiry(name, incarnation, seq)

    async def _record_expiry(self, name: str, incarnation: int, seq: int) -> None:
        """Records that a proxy's lease has expired, once record `seq` is in force."""
        await self._lease_table.wait_in_force(seq)
        await self._chain.append_record(LeaseExpiryRecord(name, incarnation).to_document())

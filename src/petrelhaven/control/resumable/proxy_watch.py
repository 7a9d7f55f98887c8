"""Declares proxies gone that have certainly stopped: peers miss them, or their leases are over."""

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

_NEVER = -(1 << 60)
_REPLICATE_US = LEASE_EXPIRY_US + 2_500_000
_SETTLING_US = 300_000
_SILENT_US = 2_500_000
_LEASE_REMAINDER_US = 600_000
_GONE = "gone"


@dataclass(frozen=True, slots=True)
class _Proxy:
    """A proxy as the control state has it."""

    name: str
    incarnation: int
    zone: str
    is_gone: bool
    has_lapsed: bool

    @classmethod
    def from_row(cls, name: str, row: Mapping[str, Any]) -> _Proxy:
        return cls(
            name, row["inc"], row.get("hall", ""), row["state"] == _GONE, bool(row.get("lapsed"))
        )


class ProxyWatch:
    """Watches the proxies while this node is the active head."""

    def __init__(  # noqa: PLR0913, PLR0917 (the parts of a control node)
        self,
        clock: Clock,
        chain: Chain,
        lease_table: LeaseTable,
        roster: Roster,
        tasks: DutyTasks,
        log: Any,  # noqa: ANN401 (a logger or None)
    ) -> None:
        """Has declared no proxy gone yet."""
        self._clock, self._chain, self._lease_table = clock, chain, lease_table
        self._roster, self._tasks, self._log = roster, tasks, log
        self._declared: dict[str, int] = {}
        self._first_seen: dict[tuple[str, int], int] = {}

    def check(
        self, reports: Mapping[str, NodeReport], acting_us: int, session_replicas: int
    ) -> None:
        """Declares proxies gone, and records the expiry of the leases of those that are.

        Args:
            reports: What the other control nodes have heard.
            acting_us: For how long this node has been the active head.
            session_replicas: How many proxies hold a replica of each session: where as many were
                declared gone lately in other zones, the last replica could be on the next one.
        """
        leases = self._lease_ends(reports)
        for name, row in sorted(self._chain.control_state.doc["edges"].items()):
            proxy = _Proxy.from_row(name, row)
            if self._tasks.is_busy(("edge", name)):
                continue
            if proxy.is_gone:
                self._record_expiry(proxy, acting_us)
                continue
            first_seen = self._first_seen.setdefault((name, proxy.incarnation), self._clock.now())
            is_settled = acting_us >= _SETTLING_US
            if is_settled and self._declared_lately_beside(proxy.zone) < session_replicas:
                self._check_proxy(proxy, leases.get(name), first_seen, acting_us)

    def _lease_ends(self, reports: Mapping[str, NodeReport]) -> dict[str, int]:
        """For how long the lease of each proxy still runs, by any control node."""
        now = self._clock.now()
        left: dict[str, int] = {}
        for proxy, end in self._lease_table.lease_ends.items():
            left[proxy] = max(left.get(proxy, _NEVER), end - now)
        for report in reports.values():
            for proxy, left_us in report.leases.items():
                left[proxy] = max(left.get(proxy, _NEVER), left_us - (now - report.at))
        return left

    def _record_expiry(self, proxy: _Proxy, acting_us: int) -> None:
        if not proxy.has_lapsed and acting_us > LEASE_EXPIRY_US:
            seq = self._chain.control_state.seq
            self._tasks.start(
                ("edge", proxy.name), self._expire, proxy.name, proxy.incarnation, seq
            )

    def _declared_lately_beside(self, zone: str) -> int:
        """How many other zones lost a proxy so lately that sessions may lack a replica."""
        now = self._clock.now()
        return sum(
            other != zone and now - at < _REPLICATE_US for other, at in self._declared.items()
        )

    def _check_proxy(
        self, proxy: _Proxy, lease_us: int | None, first_seen: int, acting_us: int
    ) -> None:
        """Declares a proxy gone if peers agree that it is, or if its lease is long over."""
        now = self._clock.now()
        granted_us = lease_us if lease_us is not None else _NEVER
        left_us = max(granted_us, first_seen + 2 * LEASE_US - now)
        state = self._roster.state(proxy.name)
        peer = self._roster.peers.get(proxy.name)
        is_lost = (
            state == _GONE
            and peer is not None
            and peer.incarnation >= proxy.incarnation
            and (lease_us if lease_us is not None else 0) < _LEASE_REMAINDER_US
        )
        is_silent = (
            left_us < -_SILENT_US
            and acting_us > _SILENT_US
            and self._lease_table.unknown_leases_end <= now
        )
        if not is_lost and not is_silent:
            return
        self._declared[proxy.zone] = now
        emit(
            self._log,
            Events.PROXY_GONE,
            edge=proxy.name,
            incarnation=proxy.incarnation,
            kith=state,
            lease_us=left_us,
        )
        self._tasks.start(
            ("edge", proxy.name), self._declare_gone, proxy.name, proxy.incarnation, state
        )

    async def _declare_gone(self, name: str, incarnation: int, peer_state: str | None) -> None:
        record = ProxyRecord(
            name=name,
            incarnation=incarnation,
            state=_GONE,
            cause=f"kith: {peer_state}, no lease",
            by=self._chain.node_name,
        )
        seq = await self._chain.append_record(record.to_document())
        await self._expire(name, incarnation, seq)

    async def _expire(self, name: str, incarnation: int, seq: int) -> None:
        """Records that a proxy's lease has certainly expired, once record `seq` is in force."""
        await self._lease_table.wait_in_force(seq)
        await self._chain.append_record(LeaseExpiryRecord(name, incarnation).to_document())

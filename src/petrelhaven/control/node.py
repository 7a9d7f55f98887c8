"""The control node for connection sessions: failover, and leases over core connections."""

from __future__ import annotations

import contextlib
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, cast

from petrelhaven.control.announcements import Announcements
from petrelhaven.control.base_node import BaseControlNode, ControlNodeIdentity, NodeResources
from petrelhaven.control.configuration.parser_loader import ParserLoader
from petrelhaven.control.connected_proxies import ConnectedProxies
from petrelhaven.control.consensus.member_maintenance import MemberMaintenance
from petrelhaven.control.consensus.proxy_survey import ProxySurvey
from petrelhaven.control.counting.service import CountingService
from petrelhaven.control.failover.coordinator import FailoverCoordinator
from petrelhaven.control.leases import ConnectionLeaseTable, lease_expiry_us
from petrelhaven.control.request_router import RequestRouter
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.control.submit_messages import SubmitAnswer, SubmitRequest
from petrelhaven.membership.update import ALIVE
from petrelhaven.runtime.errors import Duplicate, Fault, NotReady, Stale
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.proxy_messages import (
    ControlNodeAddress,
    LeaseAnswer,
    LeaseRenewal,
    Suspicion,
)

if TYPE_CHECKING:
    from petrelhaven.control.consensus.view import View
    from petrelhaven.control.embargo.service import EmbargoService
    from petrelhaven.control.failover.interfaces import ControlServices, MemberWire, Platform
    from petrelhaven.runtime.wall_clock import WallClock
    from petrelhaven.transport.channel import Channel
    from petrelhaven.transport.delivery import Delivery

__all__ = ["CONNECTION_LEASE_US", "ControlNode"]

CONNECTION_LEASE_US = 700_000
"""How long a proxy's lease lasts after its renewal."""

_IN_FORCE_TIMEOUT_US = 20_000_000
_REQUEST_TIMEOUT_US = 8_000_000
_COMMIT_TIMEOUT_US = 5_000_000
_SUSPICION_TIMEOUT_US = 800_000
_SPREAD_LIMIT = 12
_JOIN_INTERVAL_US = 6_000_000
_COUNTER_ID_BITS = 48


class ControlNode(BaseControlNode):
    """One control node for connection sessions.

    Attributes:
        wire: Opens connections to members.
        heartbeat_us: The interval between a member's announcements.
        connected_proxies: The proxies that renew their leases at this node.
        proxy_survey: Collects control states from proxies before a new chain is formed.
        request_router: Sends records to the head and reads to the tail.
        configuration_parser: Parses configurations.
        announcements: Receives members' announcements.
        counting: Counts tenants' operations.
        last_heartbeats: For each member, the clock time and the count of its last announcement.
    """

    lease_table: ConnectionLeaseTable
    control_state_type = ControlState
    repair_interval_us = 300_000
    confirmation_validity_us = 600_000
    confirmation_interval_us = 200_000
    probe_interval_us = 200_000
    suspicion_timeout_us = 500_000

    def __init__(  # noqa: PLR0913, PLR0917 (parts given by the daemon)
        self,
        identity: ControlNodeIdentity,
        resources: NodeResources,
        platform: Platform,
        wire: MemberWire,
        heartbeat_us: int,
        may_decide_first_view: bool = True,
        losses: int = 1,
        wall_clock: WallClock | None = None,
    ) -> None:
        """Loads the stored state; `start` starts the tasks.

        Args:
            identity: Name, zone and seeds.
            resources: Clock, tasks, link, disk, random numbers and log.
            platform: Promotes members.
            wire: Opens connections to members.
            heartbeat_us: The interval between a member's announcements.
            may_decide_first_view: Whether this node, if a seed, may decide the first view.
            losses: How many control nodes may fail at once.
            wall_clock: The time source of embargoes.
        """
        self._wall_clock = wall_clock
        self._embargoes: EmbargoService | None = None
        self._max_members = 2 * losses + 1
        self.wire, self.heartbeat_us = wire, heartbeat_us
        self.connected_proxies = ConnectedProxies()
        self.proxy_survey = ProxySurvey(resources.clock, resources.log)
        self.configuration_parser = ParserLoader()
        self.announcements = Announcements(
            resources.clock, lambda: self.chain, self.submit_record, resources.log
        )
        self.last_heartbeats = self.announcements.last_heartbeats
        self.clock, self.tasks, self.name = resources.clock, resources.tasks, identity.name
        self.counting = CountingService(self, lambda: resources.rng.getrandbits(_COUNTER_ID_BITS))
        super().__init__(identity, resources, platform)
        self.views.may_decide_first_view = may_decide_first_view and self.link.addr in self.seeds
        self.request_router = RequestRouter(
            self.clock, self.chain, self.node_caller, self.name, self.roster.state
        )
        self.roster.transmit_limit = _SPREAD_LIMIT
        self.prober.join_period_us = _JOIN_INTERVAL_US
        self.chain.confirmation.asks_only_quorum = True
        self.chain.confirmation.count_connected_proxies = lambda: len(self.connected_proxies)
        self.chain.on_commit.append(self._start_services)
        self.chain.on_view.append(self.counting.apply_view)

    @property
    def embargoes(self) -> EmbargoService:
        """The embargo service, imported and created on first use."""
        if self._embargoes is None:
            from petrelhaven.control.embargo.service import EmbargoService

            self._embargoes = EmbargoService(self, self._wall_clock)
        return self._embargoes

    def _start_services(self) -> None:
        if "embargo" in (self.chain.control_state.doc["manifest"] or ()):
            self.embargoes.start()
        self.counting.start()

    # Required by the base class

    def make_lease_table(self) -> ConnectionLeaseTable:
        """Creates the table of the leases over core connections."""
        certain_expiry_us = lease_expiry_us(CONNECTION_LEASE_US, self.confirmation_validity_us)
        return ConnectionLeaseTable(
            self.clock, self.tasks, self.chain, self.call, self.log, certain_expiry_us
        )

    def make_duty(self, platform: Platform) -> FailoverCoordinator:
        """Creates the duty that keeps a primary for each group."""
        # The coordinator assumes that `spawn` starts every task: none runs after the node's end.
        return FailoverCoordinator(cast("ControlServices", self), platform)

    def make_view_maintenance(self) -> MemberMaintenance:
        """Creates the part that proposes views and changes their members."""
        return MemberMaintenance(self, self.repair_interval_us, self._max_members)

    def handlers(self) -> dict[str, Any]:
        """Returns the handlers of messages from proxies and other control nodes, by kind."""
        return {
            MessageKind.PROXY_CONNECT: self._open_core_connection,
            MessageKind.CHAIN_IN_FORCE: self.lease_table.report,
            MessageKind.LEASE_RENEW: self._renew_lease,
            MessageKind.MEMBER_SUSPECT: self._handle_suspicion,
            MessageKind.MEMBER_CHECK: self.duty.handle_inspection_request,
            MessageKind.WALL_CLOCK_READ: self._handle_wall_clock,
            MessageKind.AGREED_TIME_READ: self._handle_agreed_time,
            MessageKind.QUOTA_REPORT: self.counting.handle_report,
            MessageKind.QUOTA_COUNT: self.counting.handle_count,
            MessageKind.QUOTA_COPY: self.counting.handle_copy,
            MessageKind.QUOTA_FETCH: self.counting.handle_fetch,
        }

    async def snapshots(self) -> dict[str, dict[str, Any]]:
        """Collects the control states of proxies by name; each is asked when it next connects."""
        return await self.proxy_survey.collect()

    # Proxies

    async def _open_core_connection(
        self, channel: Channel, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Handles `edge.hold`: opens a core connection, to push records to a proxy."""
        if not self.chain.is_active:
            await self.proxy_survey.request_snapshot(channel, body["edge"])
            return {"ok": False, "note": "not confirmed by a majority"}
        self._record_applied(body["edge"], body["applied"])
        answer: dict[str, Any] = await self.lease_table.subscribe(channel, body)
        return answer

    def _record_applied(self, proxy: str, seq: int) -> None:
        """Records up to which record a proxy has applied, from any control node's pushes."""
        self.lease_table.acknowledge(proxy, seq)

    async def _renew_lease(self, channel: Channel, body: Mapping[str, Any]) -> dict[str, Any]:
        """Handles `tie.pulse`: renews a proxy's lease."""
        request = LeaseRenewal.from_body(dict(body))
        now = self.clock.now()
        self._record_applied(request.proxy, request.applied_seq)
        self.connected_proxies.record_renewal(request.proxy, now)
        if self.proxy_survey.is_open:
            self.tasks.spawn(self.proxy_survey.request_snapshot(channel, request.proxy))
        for suspicion in request.suspicions:
            self.tasks.spawn(self._report_suspicion(suspicion))
        granted = self.chain.is_active
        if granted:
            self.lease_table.grant(request.proxy, CONNECTION_LEASE_US)
        view_number, control_nodes = self._control_nodes(request.view_number)
        counts = self.chain.confirmation.connected_proxy_counts
        return LeaseAnswer(
            granted=granted,
            lease_us=CONNECTION_LEASE_US,
            confirmation_age_us=self.chain.confirmation.age_us(),
            required_seq=self.chain.control_state.seq,
            view_number=view_number,
            proxy_count=len(self.connected_proxies) + ConnectedProxies.count_elsewhere(counts, now),
            control_nodes=control_nodes,
        ).to_body()

    def _control_nodes(self, known_view_number: int) -> tuple[int, tuple[ControlNodeAddress, ...]]:
        """Returns the view's number and nodes for a proxy that knows those of another view.

        The number is 0 while the address of a node is unknown here, so that the proxy asks again.
        """
        view = self.chain.view
        if view is None:
            return 0, ()
        if view.number == known_view_number:
            return view.number, ()
        addresses = self._addresses(view)
        return view.number if len(addresses) == len(view.members) else 0, addresses

    def _addresses(self, view: View) -> tuple[ControlNodeAddress, ...]:
        """Returns the link addresses of the members of the view that are known."""
        addresses = []
        for name in sorted(view.members):
            address = self.roster.address_of(name)
            if address:
                zone = self.zone if name == self.name else self.roster.peers[name].zone
                addresses.append(ControlNodeAddress(name, zone, address))
        return tuple(addresses)

    async def suspect(self, group: str, member: str, how: str) -> None:
        """Reports a suspicion about a member to the head."""
        await self._report_suspicion(Suspicion(group, member, how))

    async def _report_suspicion(self, suspicion: Suspicion) -> None:
        view = self.chain.view
        if view is None:
            return
        body = {
            "group": suspicion.group,
            "member": suspicion.member,
            "how": suspicion.how,
        }
        with contextlib.suppress(Fault):
            await self.call(view.head, MessageKind.MEMBER_SUSPECT, body, _SUSPICION_TIMEOUT_US)

    async def _handle_suspicion(self, _channel: Channel | None, body: Mapping[str, Any]) -> None:
        self.duty.suspect(body["group"], body["member"], body["how"])

    async def _handle_wall_clock(
        self, _channel: Channel | None, _body: Mapping[str, Any]
    ) -> dict[str, Any]:
        return {"wall": self.embargoes.agreed_time.wall_clock.now()}

    async def _handle_agreed_time(
        self, _channel: Channel | None, _body: Mapping[str, Any]
    ) -> dict[str, Any]:
        answer: dict[str, Any] = self.embargoes.agreed_time_body()
        return answer

    # Requests of operators and members

    async def submit_record(
        self, record: dict[str, Any], force: bool = True, within_us: int = _IN_FORCE_TIMEOUT_US
    ) -> SubmitAnswer:
        """Submits a record to the head and returns once it is committed.

        With `force`, returns once the record is in force. Retries at the new head after a view
        change.
        """
        return await self.request_router.submit_record(
            record, force, within_us, self.append_as_head
        )

    async def control_state(self, within_us: int = _REQUEST_TIMEOUT_US) -> dict[str, Any]:
        """Reads the document of the control state from the tail of the chain."""
        return await self.request_router.read_control_state(within_us)

    async def append_as_head(self, request: SubmitRequest) -> SubmitAnswer:
        """Appends a record as the head.

        Answers with `Duplicate` or `Stale` only once the records that prove it are committed.
        """
        self.request_router.check_expiry(request.expiry)
        try:
            return await super().append_as_head(request)
        except (Duplicate, Stale) as fault:
            seq = self.chain.control_state.seq
            committed = self.chain.wait_committed(seq, self.chain.store.entered_view)
            await self.clock.wait_for(committed, _COMMIT_TIMEOUT_US)
            if not self.chain.is_active:
                raise NotReady("no longer the active head") from None
            if request.force and isinstance(fault, Duplicate):
                await self.lease_table.wait_in_force(seq)
            raise

    async def apply(
        self, text: str, by: str = "", retire: bool = True, within_us: int = _REQUEST_TIMEOUT_US
    ) -> dict[str, Any]:
        """Checks and applies a configuration; returns once every node of the view has stored it."""
        configuration = await self.configuration_parser.parse(text)
        record: dict[str, Any] = {
            "t": "manifest",
            "text": text,
            "version": configuration.version,
            "by": by,
        }
        if not retire:
            record["retire"] = False
        if configuration.embargoing or configuration.embargoes:
            answer = await self.embargoes.apply_configuration(configuration, record)
        else:
            answer = await self.submit_record(record, False, within_us)
        return {"version": configuration.version, "change": answer.seq}

    async def set_zone_state(
        self,
        zone: str,
        state: str,
        by: str = "",
        within_us: int = _REQUEST_TIMEOUT_US,
        delivery: Delivery | None = None,
    ) -> dict[str, Any]:
        """Evacuates or restores a zone.

        A request that its caller may have given up, judged by `delivery`, is rejected.
        """
        if delivery is not None:
            started_at = self.clock.now()
            await self.request_router.require_waiting_caller(delivery)
            within_us -= self.clock.now() - started_at
        record = {"t": "hall", "hall": zone, "state": state, "by": by}
        answer = await self.submit_record(record, False, within_us)
        return {"hall": zone, "state": state, "change": answer.seq}

    async def record_election_order(
        self, group: str, member: str, leadership: int, by: str = ""
    ) -> dict[str, Any]:
        """Records an operator's order to elect `member` although acknowledged commits may be lost.

        `leadership` is the number of the waiting leadership that the operator saw. It changes with
        every leader change, so a delayed order is rejected.
        """
        order = {
            "t": "evidence",
            "group": group,
            "what": "order",
            "member": member,
            "n": leadership,
            "by": by or "operator",
        }
        answer = await self.submit_record(order, False)
        return {"group": group, "member": member, "change": answer.seq}

    async def announce(self, document: Mapping[str, Any]) -> None:
        """Handles a member's announcement; returns once the changes are committed."""
        await self.announcements.announce(document)

    async def deregister_member(self, member: str) -> None:
        """Records that a member leaves; returns once that is committed."""
        await self.announcements.deregister_member(member)

    # Status

    def control_node_near(self, zone: str) -> str | None:
        """Returns the link address of a live control node of the view in `zone`, or None."""
        view = self.chain.view
        for name in view.chain if view else ():
            peer = self.roster.peers.get(name)
            if name == self.name and zone == self.zone:
                return self.link.addr
            if peer is not None and peer.zone == zone and peer.state == ALIVE:
                return peer.addr
        return None

    def status(self) -> dict[str, Any]:
        """Returns the status document: reported state, permissions and what the duty waits for."""
        embargoes = self._embargoes
        return {
            **self.reported_state(),
            "ruling": self.chain.is_confirmed,
            "active": self.chain.is_active,
            "head": self.chain.is_head,
            "waiting": dict(self.duty.wait_reasons),
            "tied": self.connected_proxies.names(),
            "garbage": self.link.garbage,
            "counting": self.counting.status(),
            **({"time": embargoes.agreed_time.status()} if embargoes else {}),
        }

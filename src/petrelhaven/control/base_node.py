"""The base class of control nodes: roster, view register, chain, storage and lease table.

`control/node.py` adds the parts for connection sessions, `control/resumable/node.py` those for
resumable sessions.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from transitions import Machine

from petrelhaven.control.consensus.chain import Chain
from petrelhaven.control.consensus.disk_watch import DiskWatch
from petrelhaven.control.consensus.node_report import NodeReport
from petrelhaven.control.consensus.reform import Reform
from petrelhaven.control.consensus.register import Voter
from petrelhaven.control.consensus.view_maintenance import ViewMaintenance
from petrelhaven.control.departure import Departure
from petrelhaven.control.storage.node_store import ControlNodeStore
from petrelhaven.control.submit_messages import SubmitAnswer, SubmitRequest
from petrelhaven.membership.prober import Prober
from petrelhaven.membership.roster import NodeIdentity, Roster
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.node_caller import NodeCaller

if TYPE_CHECKING:
    import random

    import logbook

    from petrelhaven.control.leases import LeaseTable
    from petrelhaven.control.storage.record_log import Disk
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks
    from petrelhaven.transport.channel import Channel
    from petrelhaven.transport.link import Link

__all__ = ["BaseControlNode", "ControlNodeIdentity", "NodeResources"]

_STATE_OUTSIDE, _STATE_JOINING, _STATE_CHAINED = "outside", "joining", "chained"
_FIRST_VIEW_NUMBER = 1


@dataclass(frozen=True, slots=True)
class ControlNodeIdentity:
    """Name and zone of a control node, and the link addresses of the seeds that it joins by."""

    name: str
    zone: str
    seeds: list[str]


@dataclass(frozen=True, slots=True)
class NodeResources:
    """What a control node runs on; the daemon and the simulator provide different ones."""

    clock: Clock
    tasks: BackgroundTasks
    link: Link
    disk: Disk
    rng: random.Random
    log: logbook.Logger | None = None


class BaseControlNode:
    """One control node.

    A subclass provides the control state, the lease table, the duty (the work that the node does
    while it is the head of the chain) and further message handlers.

    Attributes:
        state: `outside` without a view, `joining` while the node isn't in the chain, `chained` in
            it.
        control_state_type: Makes a control state from a snapshot; None for resumable sessions.
        repair_interval_us: The mean interval between checks of the view.
        confirmation_validity_us: How long a confirmation by a majority is valid.
        confirmation_interval_us: The interval between requests for a confirmation.
        probe_interval_us: The interval between probes of a peer.
        suspicion_timeout_us: How long a peer stays suspected before it is declared gone.
        settings: Returns the settings in effect, for the status document.
    """

    state: str
    leave: Callable[[], bool]
    join: Callable[[], bool]
    enter_chain: Callable[[], bool]
    states = (_STATE_OUTSIDE, _STATE_JOINING, _STATE_CHAINED)
    control_state_type: Callable[..., Any] | None = None
    repair_interval_us = 250_000
    confirmation_validity_us = 500_000
    confirmation_interval_us = 120_000
    probe_interval_us = 200_000
    suspicion_timeout_us = 900_000

    def __init__(
        self,
        identity: ControlNodeIdentity,
        resources: NodeResources,
        platform: Any,  # noqa: ANN401 (differs between subclasses)
    ) -> None:
        """Loads the stored state; `start` starts the tasks."""
        self.name, self.zone, self.seeds = identity.name, identity.zone, identity.seeds
        self.clock, self.tasks = resources.clock, resources.tasks
        self.link, self.rng, self.log = resources.link, resources.rng, resources.log
        self.store = ControlNodeStore(
            resources.disk, self.name, self.rng, self.log, state=self.control_state_type
        )
        self._join_membership()
        self.chain = Chain(
            self.clock,
            self.tasks,
            self.store,
            self.call,
            self.log,
            self.confirmation_validity_us,
            self.confirmation_interval_us,
        )
        self.lease_table = self.make_lease_table()
        self.duty = self.make_duty(platform)
        self.voter = Voter(self.store)
        self.disk_watch = DiskWatch(self)
        self.settings: Callable[[], dict[str, Any]] = dict
        self._make_state_machine()
        self.chain.on_view.append(self.update_state)
        self.views = self.make_view_maintenance()
        for kind, handler in {**self._own_handlers(), **self.handlers()}.items():
            self.link.on(kind, handler)

    def _join_membership(self) -> None:
        identity = NodeIdentity(self.name, "core", self.zone, self.link.addr or "", 0)
        self.roster = Roster(self.clock, identity, self.log, self.suspicion_timeout_us)
        self.node_caller = NodeCaller(self.clock, self.link, self.roster, self.rng)
        self.prober = Prober(
            self.clock,
            self.link,
            self.tasks,
            self.rng,
            self.roster,
            self.seeds,
            self.probe_interval_us,
        )

    def _make_state_machine(self) -> None:
        Machine(
            self,
            states=list(self.states),
            initial=_STATE_OUTSIDE,
            auto_transitions=False,
            transitions=[
                {"trigger": "join", "source": "*", "dest": _STATE_JOINING},
                {"trigger": "enter_chain", "source": "*", "dest": _STATE_CHAINED},
                {"trigger": "leave", "source": "*", "dest": _STATE_OUTSIDE},
            ],
        )

    # Provided by subclasses

    def make_lease_table(self) -> LeaseTable:
        """Creates the table of the leases that this node grants."""
        raise NotImplementedError

    def make_duty(self, platform: Any) -> Any:  # noqa: ANN401 (differs between subclasses)
        """Creates the duty; its `run()` works while this node is the head of the chain."""
        raise NotImplementedError

    def make_view_maintenance(self) -> ViewMaintenance:
        """Creates the part that proposes views."""
        return ViewMaintenance(self, self.repair_interval_us)

    def handlers(self) -> dict[str, Any]:
        """Returns further message handlers by kind; they replace the base class's."""
        raise NotImplementedError

    async def control_state(self) -> dict[str, Any]:
        """Reads the document of the control state from the tail of the chain."""
        raise NotImplementedError

    def status(self) -> dict[str, Any]:
        """Returns the status document: reported state, permissions and what the duty waits for."""
        raise NotImplementedError

    async def snapshots(self) -> dict[str, dict[str, Any]]:
        """Collects the control states of the proxies that are alive, by proxy name."""
        raise NotImplementedError

    # Implementation

    def _own_handlers(self) -> dict[str, Any]:
        return {
            MessageKind.REGISTER_PREPARE: self.voter.prepare,
            MessageKind.REGISTER_ACCEPT: self.voter.accept,
            MessageKind.VIEW_READ: self.views.handle_report_request,
            MessageKind.VIEW_LEARN: self.views.handle_view,
            MessageKind.VIEW_CONFIRM: self.chain.confirmation.handle_confirm,
            MessageKind.CHAIN_APPEND: self.chain.handle_append,
            MessageKind.DISK_STATE_CHANGED: self.disk_watch.handle_notice,
            MessageKind.CHAIN_ENTER: self._handle_enter,
            MessageKind.CHAIN_READ: self._handle_read,
            MessageKind.CHAIN_IN_FORCE: self.lease_table.report,
            MessageKind.PROXY_CONNECT: self.lease_table.subscribe,
            MessageKind.NODE_REPORTED_STATE: self._handle_reported_state,
        }

    def start(self) -> None:
        """Starts the node's tasks."""
        emit(
            self.log,
            Events.NODE_STARTED,
            name=self.name,
            zone=self.zone,
            addr=self.link.addr,
            disk=self.store.disk_id,
        )
        self.tasks.spawn_service(self.prober.run)
        self.tasks.spawn_service(self.chain.confirmation.run)
        self.tasks.spawn_service(self.views.run)
        self.tasks.spawn_service(self.duty.run)
        self.disk_watch.start()

    async def call(
        self, name: str, kind: str, body: Mapping[str, Any], timeout_us: int
    ) -> dict[str, Any]:
        """Calls another control node, or this one, by name."""
        if name == self.name:
            answer: dict[str, Any] = await self.link.handlers[kind](None, body)
            return answer
        return await self.node_caller.call(name, kind, body, timeout_us)

    def update_state(self) -> None:
        """Sets `state` from the current view."""
        view = self.chain.view
        if view is None:
            state, trigger = _STATE_OUTSIDE, self.leave
        elif view.position(self.name, self.store.disk_id) is None:
            state, trigger = _STATE_JOINING, self.join
        else:
            state, trigger = _STATE_CHAINED, self.enter_chain
        if state == self.state:
            return
        trigger()
        if view is not None and state == _STATE_CHAINED:
            event = Events.CHAIN_REJOINED if view.number > _FIRST_VIEW_NUMBER else Events.NODE_READY
            emit(self.log, event, view=view.number)

    def report(self) -> NodeReport:
        """Returns this node's report to the other control nodes.

        Raises:
            DiskRefused: The disk identity isn't stored yet.
        """
        store, chain = self.store, self.chain
        store.require_identity()
        return NodeReport(
            name=self.name,
            disk=store.disk_id,
            fresh=store.fresh,
            view=chain.view,
            last_complete_view=store.complete_view,
            seq=store.control_state.seq,
            committed_seq=chain.committed_seq,
            up_us=self.clock.now() - chain.confirmation.started_at_us,
            granted_us=chain.confirmation.granted_ages_us(),
        )

    async def _handle_enter(
        self, _channel: Channel | None, body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Handles a `chain.enter` message."""
        return (await self.append_as_head(SubmitRequest.from_body(body))).to_body()

    async def append_as_head(self, request: SubmitRequest) -> SubmitAnswer:
        """Appends a record to the chain as its head; with `force`, waits until it is in force."""
        seq = await self.chain.append_record(request.record)
        in_force_us = await self.lease_table.wait_in_force(seq) if request.force else 0
        return SubmitAnswer(seq, request.force, in_force_us)

    async def _handle_read(
        self, _channel: Channel | None, _body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Handles a `chain.read` message."""
        return {"doc": self.chain.read_control_state()}

    async def reform(self, lost: Sequence[str], by: str = "") -> dict[str, Any]:
        """Forms a new chain without the disks of the nodes `lost`, as the operator requested."""
        return await Reform(self, self.log).run(lost, by)

    def unconfirmed_state(self) -> dict[str, Any]:
        """Returns this node's own control state, which may be outdated or not committed."""
        document: dict[str, Any] = self.chain.control_state.doc
        return document

    async def drain(self) -> None:
        """Leaves the view; returns once the other nodes work without this one, or can't."""
        await Departure(self).run()

    def reported_state(self) -> dict[str, Any]:
        """Returns this node's view of the fleet, for comparison with other nodes."""
        view = self.chain.view
        return {
            **self.chain.control_state.reported_state(),
            "name": self.name,
            "role": "core",
            "state": self.state,
            "commit": self.chain.committed_seq,
            "view": None if view is None else view.to_document(),
            "kith": {row[0]: row[5] for row in self.roster.all_rows()},
        }

    async def _handle_reported_state(
        self, _channel: Channel | None, _body: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Handles a `creed.belief` message."""
        return {"doc": self.reported_state()}

    @property
    def ready(self) -> bool:
        """Whether this node is in the chain, has all its records and was confirmed recently."""
        return self.chain.is_confirmed

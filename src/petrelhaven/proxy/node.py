"""A proxy whose sessions end with their client connection."""

from __future__ import annotations

import asyncio
import collections
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from transitions import Machine

from petrelhaven.control.configuration.defaults import with_defaults
from petrelhaven.proxy.bounds import ProxyBounds
from petrelhaven.proxy.reads.read_clock import LogicalClock
from petrelhaven.proxy.routing.group import MemberGroup
from petrelhaven.proxy.routing.remote_contact import RemoteContact
from petrelhaven.proxy.routing.request import Request
from petrelhaven.proxy.routing.request_slots import RequestSlots
from petrelhaven.proxy.routing.route import Route
from petrelhaven.proxy.routing.statement_path import StatementPath
from petrelhaven.proxy.session.client_session import ENDED, ClientSession
from petrelhaven.proxy.session.immediate_reply import reply_without_member
from petrelhaven.proxy.session.refusal_log import RefusalLog
from petrelhaven.proxy.session.statement import Reply, Statement
from petrelhaven.proxy.tenants.admission import QuotaAdmission
from petrelhaven.proxy.tenants.directory import ANONYMOUS_TENANT, Tenant, TenantDirectory
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import Busy, DeadlineExceeded, Denied, Draining, NoRoute
from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.key_digest import key_digest
from petrelhaven.runtime.tasks import BackgroundTasks

if TYPE_CHECKING:
    import logbook

    from petrelhaven.control.state.control_state import ControlState
    from petrelhaven.proxy.core_connection import CoreConnection
    from petrelhaven.proxy.embargo import EmbargoFilter
    from petrelhaven.proxy.routing.member_wire import MemberWire

__all__ = ["LEAVING", "LEFT", "SERVING", "STARTING", "ProxyNode"]

STARTING = "starting"
"""The proxy has no configuration yet."""
SERVING = "serving"
"""New connections should come to this proxy."""
LEAVING = "leaving"
"""The proxy drains: open connections are served, new ones should go to another proxy."""
LEFT = "left"
"""The proxy has drained: every client connection has ended."""

_MAX_CONCURRENT_STATEMENTS = 1024
_REPLY_MARGIN_US = 30_000
"""A statement times out this long before its route's timeout, so that the reply still arrives."""
_SLOT_OVERTIME_US = 2_000_000
"""A statement that overruns its timeout by this much loses its request slot."""
_RETRY_DELAY_US = 250_000
"""The default delay after which a rejected client should retry."""
_MAX_STATE_AGE_SHARE = 0.7
"""The share of `revoke_us` for which keys are accepted without contact to the control nodes."""
_SESSION_ID_MASK = 0xFFFFFF
"""The bits of `id(session)` that are logged."""


class ProxyNode:
    """One proxy: its client sessions, member groups and routes.

    Attributes:
        state: `STARTING`, `SERVING`, `LEAVING` or `LEFT`.
        routes: The configured routes by host.
        groups: The configured member groups by name.
        sessions: The open sessions.
        count: Event counters that the status document shows.
        tenants: The tenants of the current configuration.
        embargo: Withholds embargoed records; None while no embargo rule or embargoed group exists.

    The other attributes are described in `routing/interfaces.ProxyServices`.
    """

    states = [STARTING, SERVING, LEAVING, LEFT]
    state: str

    if TYPE_CHECKING:  # triggers that the state machine adds

        def serve(self) -> bool:
            """Enters SERVING, when the first configuration has been applied."""

        def leave(self) -> bool:
            """Enters LEAVING: new connections should go to other proxies."""

        def finish(self) -> bool:
            """Enters LEFT, when every client connection has ended."""

    def __init__(  # noqa: PLR0913, PLR0917 (dependencies that the program or the simulator injects)
        self,
        name: str,
        zone: str,
        clock: Clock,
        tasks: BackgroundTasks,
        rng: random.Random,
        core_connection: CoreConnection,
        wire: MemberWire,
        zone_distance: Callable[[str], int],
        drain_us: int,
        evacuate_us: int,
        log: logbook.Logger | None = None,
        revoke_us: int | None = None,
    ) -> None:
        """Creates a proxy; `start` starts it.

        Args:
            name: The proxy's name.
            zone: The zone that the proxy is in.
            clock: Monotonic clock in microseconds.
            tasks: Runs the proxy's background tasks.
            rng: Randomizes the delays after which clients retry.
            core_connection: The proxy's connection to a control node.
            wire: Opens connections to members.
            zone_distance: Returns the distance of a zone: 0 own zone, 1 own region, 2 elsewhere.
            drain_us: How long a draining primary still accepts new statements.
            evacuate_us: How long a primary in an evacuated zone still accepts new statements.
            log: Receives the proxy's events.
            revoke_us: How long a revoked key may remain accepted while the proxy has no contact to
                the control nodes; None for no limit.
        """
        self.name, self.zone, self.log = name, zone, log
        self.clock, self.tasks, self.rng = clock, tasks, rng
        self.core_connection, self.wire, self.zone_distance = core_connection, wire, zone_distance
        self.drain_us, self.evacuation_us = drain_us, evacuate_us
        self._revoke_us = revoke_us
        self.logical_clock = LogicalClock()
        self.remote_contact = RemoteContact(clock)
        self.request_slots = RequestSlots(clock, _MAX_CONCURRENT_STATEMENTS)
        self.tenants = TenantDirectory()
        self.admission = QuotaAdmission(self)
        self.routes: dict[str, Route] = {}
        self.groups: dict[str, MemberGroup] = {}
        self.sessions: set[ClientSession] = set()
        self.count: collections.Counter[str] = collections.Counter()
        self.embargo: EmbargoFilter | None = None
        self._refusal_log = RefusalLog(clock, core_connection, log)
        self._bounds = ProxyBounds()
        self._path = StatementPath(self)
        self._configured: asyncio.Future[None] | None = None
        self._accepts_statements = True
        Machine(
            self,
            states=self.states,
            initial=STARTING,
            auto_transitions=False,
            transitions=[
                {"trigger": "serve", "source": STARTING, "dest": SERVING},
                {"trigger": "leave", "source": [STARTING, SERVING], "dest": LEAVING},
                {"trigger": "finish", "source": LEAVING, "dest": LEFT},
            ],
        )
        core_connection.on_change.append(self._apply_changes)

    def start(self) -> None:
        """Logs the start and starts the core connection."""
        emit(self.log, Events.NODE_STARTED, name=self.name, zone=self.zone)
        self.core_connection.start()

    def end_waits(self) -> None:
        """Answers statements that ran nowhere as not run; call it repeatedly while draining.

        Such statements wait for a primary, a connection, a log position or a permit. Those that a
        member may be running go on.
        """
        self.request_slots.end_waits()

    def end_statements(self) -> None:
        """Answers all statements with what is known of them, and refuses new ones."""
        self._accepts_statements = False
        self.request_slots.end_waits()
        self.request_slots.end_all()

    def bounds(self) -> ProxyBounds:
        """Returns the limits that currently apply."""
        return self._bounds

    @property
    def ready(self) -> bool:
        """Whether new connections should come to this proxy."""
        return self.state == SERVING

    async def wait_until_configured(self, limit_us: int) -> None:
        """Waits until the first configuration has been applied.

        Raises:
            Busy: No configuration was applied within `limit_us`.
        """
        if self.state != STARTING:
            return
        if self._configured is None:
            self._configured = asyncio.get_running_loop().create_future()
        try:
            await self.clock.wait_for(asyncio.shield(self._configured), limit_us)
        except DeadlineExceeded:
            raise Busy("this edge knows no manifest yet") from None

    def _apply_changes(self, records: list[dict[str, Any]], is_snapshot: bool) -> None:
        """Handles a change of the control state: new `records`, or a snapshot if `is_snapshot`."""
        control_state = self.core_connection.control_state
        configuration = control_state.configuration
        if configuration is None:
            return
        if self.embargo is not None or "embargo" in control_state.doc["manifest"]:
            self._update_embargo_filter(control_state, records, is_snapshot)
        if is_snapshot or any(record["t"] == "manifest" for record in records):
            self._configure(configuration)
        for group in self.groups.values():
            group.apply_control_state(control_state, is_snapshot)
        if self.state == STARTING:
            self.serve()
            if self._configured is not None:
                self._configured.set_result(None)
            emit(self.log, Events.NODE_READY, name=self.name)

    def _update_embargo_filter(
        self, control_state: ControlState, records: list[dict[str, Any]], is_snapshot: bool
    ) -> None:
        """Applies records to the embargo filter, which exists only while there are embargoes."""
        if self.embargo is None:
            from petrelhaven.proxy.embargo import EmbargoFilter

            self.embargo, is_snapshot = EmbargoFilter(self), True
        self.embargo.apply_records(control_state, records, is_snapshot)
        if not self.embargo.is_active:
            self.embargo = None
        true_time = self.embargo.true_time if self.embargo is not None else None
        self.core_connection.true_time = true_time

    def _configure(self, configuration: dict[str, Any]) -> None:
        """Applies a configuration to tenants, routes, groups and limits."""
        configuration = with_defaults(configuration)
        tenants = TenantDirectory(configuration)
        self.admission.apply_directory(self.tenants, tenants)
        self.tenants = tenants
        self.routes = {
            row["host"]: Route.from_configuration(row) for row in reversed(configuration["routes"])
        }
        rows = {row["name"]: row for row in configuration["groups"]}
        for name in [name for name in self.groups if name not in rows]:
            self.groups.pop(name).close()
        for name, row in rows.items():
            group = self.groups.get(name)
            if group is None:
                group = self.groups[name] = MemberGroup(name, self)
            group.connection_cap, group.sync_replicas = row["cap"], row["sync"]
        self._bounds.idle_txn_us = configuration["bounds"]["idle_txn_us"]
        emit(
            self.log,
            Events.RECORD_APPLIED,
            seq=self.core_connection.control_state.seq,
            version=configuration["version"],
            routes=len(self.routes),
            tenants=len(tenants.tenants) if tenants.requires_keys else "-",
        )

    def route(self, host: str) -> tuple[Route, MemberGroup]:
        """Returns the route of a host and the member group that it leads to.

        Raises:
            NoRoute: No route of the configuration has this host.
        """
        route = self.routes.get(host)
        group = self.groups.get(route.group) if route is not None else None
        if route is None or group is None:
            raise NoRoute(f"no database {host[:60]}")
        return route, group

    def open(self, host: str, client: str = "") -> ClientSession:
        """Opens a session.

        Args:
            host: The host of the route that the client connects to.
            client: The client's key. In a configuration without tenants, the client's name, and
                after a blank anything, which is ignored.

        Raises:
            NoRoute: No route of the configuration has this host.
            Denied: No tenant has the key, and the route is not public.
            Busy: One of these holds by the configuration that this proxy has, but without a lease
                a newer one may be in force.
        """
        try:
            session = self._open(host, client)
        except (NoRoute, Denied) as fault:
            self._refusal_log.record(host, fault)
            if not self.core_connection.holds_lease:
                raise Busy("the configuration may be outdated") from None
            self.count["denied"] += isinstance(fault, Denied)
            raise
        self.count["visits"] += 1
        return session

    def _open(self, host: str, client: str) -> ClientSession:
        route, group = self.route(host)
        digest = key_digest(client)
        tenant = self.tenants.identify(digest, route.public)
        if tenant is None:
            raise Denied("no tenant has this key")
        name = tenant.name if self.tenants.requires_keys else client.partition(" ")[0]
        session = ClientSession(host, name, digest, tenant.name)
        self.sessions.add(session)
        if route.reads == "strong":
            session.strong_read_group = group
            group.strong_sessions += 1
        return session

    def close(self, session: ClientSession) -> None:
        """Ends a session whose client connection has ended."""
        if session not in self.sessions:
            return
        self.sessions.discard(session)
        if session.strong_read_group is not None:
            session.strong_read_group.strong_sessions -= 1
        if not session.busy:
            self._path.transactions.release_transaction(session)
        session.close()

    async def serve_statement(self, session: ClientSession, statement: Statement) -> Reply:
        """Runs one statement of a session and returns its reply."""
        if session.state == ENDED:
            return Reply(code="aborted", text="the session has ended")
        session.busy = True
        try:
            reply = reply_without_member(self, self._path.transactions, session, statement)
            if reply is None:
                reply = await self._run_routed(session, statement)
        finally:
            session.busy = False
            session.idle_since = self.clock.now()
            if session.state == ENDED:
                self._path.transactions.release_transaction(session)
        if session.transaction is not None:
            self._path.transactions.watch_idle_transaction(session, session.transaction)
        return reply

    async def _run_routed(self, session: ClientSession, statement: Statement) -> Reply:
        """Runs a statement at a member, after the checks of route, key and embargo."""
        transaction = session.transaction
        route = transaction.route if transaction is not None else self.routes.get(session.host)
        group = self.groups.get(route.group) if route is not None else None
        if route is None or group is None:
            return Reply(
                code="unknown",
                text="no such database any more",
                state=session.wire_state,
            )
        tenant = self.tenants.identify(session.key_digest, route.public)
        limit_us = route.timeout_us - _REPLY_MARGIN_US
        started = self.clock.now()
        request = Request(
            session, statement, route, group, started + limit_us, tenant or ANONYMOUS_TENANT
        )
        if tenant is None:
            return self._deny(request)
        refusal = self._refuse_if_not_admissible(request, tenant)
        if refusal is not None:
            return refusal
        self._update_tenant(session, tenant)
        if self.embargo is not None:
            refusal = self.embargo.refuse_if_withheld(session, statement, group.name)
            if refusal is not None:
                return refusal
        self.count["asked"] += 1
        group.add_retry_credit()
        reply = await self._run_in_slot(request, limit_us + _SLOT_OVERTIME_US)
        if self.embargo is not None:
            reply = self.embargo.check_reply(session, statement, group.name, reply)
        if reply.code is not None:
            self._log_not_served(request, reply, self.clock.now() - started)
        return reply

    def _refuse_if_not_admissible(self, request: Request, tenant: Tenant) -> Reply | None:
        """Returns a refusal if the statement of a session of `tenant` may not run now."""
        if self._is_bound_to_another_tenant(request.session, tenant):
            text = "another tenant has this key now"
            return self._path.transactions.abort_transaction(request, text)
        has_outdated_key = tenant is not ANONYMOUS_TENANT and not self._keys_are_current()
        if has_outdated_key or not self._accepts_statements:
            return self._path.transactions.refuse_statement(request, self.retry_after())
        return None

    def _keys_are_current(self) -> bool:
        """Whether the control state is recent enough to accept keys.

        Without contact to the control nodes, the proxy learns of no revoked key.
        """
        if self._revoke_us is None:
            return True
        return self.core_connection.state_age_us < self._revoke_us * _MAX_STATE_AGE_SHARE

    def _deny(self, request: Request) -> Reply:
        """Returns the reply to a statement whose key has been revoked."""
        self.count["denied"] += 1
        text = "no tenant has this key any more"
        if request.session.transaction is not None:
            return self._path.transactions.abort_transaction(request, text, "withheld")
        return Reply(code="withheld", text=text, state=request.session.wire_state)

    @staticmethod
    def _is_bound_to_another_tenant(session: ClientSession, tenant: Tenant) -> bool:
        """Whether the open transaction has a connection of a tenant other than `tenant`."""
        transaction = session.transaction
        is_bound = transaction is not None and transaction.connection is not None
        return is_bound and session.tenant != tenant.name

    def _update_tenant(self, session: ClientSession, tenant: Tenant) -> None:
        """Assigns the session to `tenant`, which has its key in the current configuration."""
        session.tenant = tenant.name
        if self.tenants.requires_keys:
            session.client = tenant.name

    async def _run_in_slot(self, request: Request, time_limit_us: int) -> Reply:
        """Runs a statement in a request slot; on overload or timeout, its transaction fails."""
        session = request.session
        in_transaction = session.transaction is not None
        try:
            return await self.request_slots.run(
                self._path.run(request), time_limit_us, lambda: request.has_run_nowhere
            )
        except Draining:
            return self._path.transactions.refuse_statement(request, self.retry_after())
        except Busy as fault:
            delay_us: int = fault.retry_after_us  # type: ignore[assignment]  # never None in Busy
            code, text = "busy", self.retry_after(delay_us)
        except DeadlineExceeded:
            code, text = "timeout", "the statement ran out of time"
        if in_transaction:
            session.fail_transaction()
        return Reply(code=code, text=text, state=session.wire_state)

    def _log_not_served(self, request: Request, reply: Reply, duration_us: int) -> None:
        group = request.group
        emit(
            self.log,
            Events.STATEMENT_NOT_SERVED,
            group=group.name,
            verb=request.statement.verb,
            code=reply.code,
            us=duration_us,
            note=reply.text,
            session=id(request.session) & _SESSION_ID_MASK,
            pools=",".join(
                f"{name[-4:]}:{member.pool.usage_summary()}"
                for name, member in group.members.items()
            ),
            sessions=group.strong_sessions,
        )

    def retry_after(self, delay_us: int = _RETRY_DELAY_US) -> str:
        """Returns the text that asks a client to retry.

        The delay is randomized so that rejected clients do not retry at the same time.
        """
        self.count["shed"] += 1
        return f"not run; come back in {int(delay_us * self.rng.uniform(0.75, 1.25)) // 1000} ms"

    def timeout_reply(self, sent_to_member: bool = False) -> Reply:
        """Returns the reply to a statement that timed out, whether or not a member received it."""
        if sent_to_member:
            return Reply(code="timeout", text="no answer in time")
        return Reply(code="busy", text=self.retry_after())

    def status(self) -> dict[str, Any]:
        """Returns the status document: the reported state and the counters."""
        groups = sorted(self.groups.items())
        return {
            **self.core_connection.control_state.reported_state(),
            "name": self.name,
            "state": self.state,
            "ready": self.ready,
            "visits": len(self.sessions),
            "slots_used": self.request_slots.used,
            "permits": self.admission.status(),
            "count": dict(self.count),
            "clocks": {name: dict(group.read_clock.count) for name, group in groups},
            "stocks": {
                group_name: {
                    name: member.pool.total for name, member in sorted(group.members.items())
                }
                for group_name, group in groups
            },
            **({"embargo": self.embargo.status()} if self.embargo is not None else {}),
        }

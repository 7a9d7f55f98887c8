"""A proxy whose sessions live with their client's connection."""

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
from petrelhaven.proxy.session.statement import Reply, Statement
from petrelhaven.proxy.tenants.admission import QuotaAdmission
from petrelhaven.proxy.tenants.directory import ANONYMOUS_TENANT, Tenant, TenantDirectory
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import Busy, DeadlineExceeded, Denied, NoRoute
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
"""No configuration is known yet."""
SERVING = "serving"
"""New connections should come here."""
LEAVING = "leaving"
"""New connections should go elsewhere; those that are open are served."""
LEFT = "left"
"""Every connection has ended."""

_SLOTS = 1024
"""Statements under way at once."""
_SLACK_US = 30_000
"""By how much a statement ends before its route's time is over, for the way back."""
_HORIZON_US = 2_000_000
"""After how much more a slot is freed whatever its statement waits for."""
_RETRY_US = 250_000
"""When a client that is sent away should come back."""
_KEYS_CERTAIN_SHARE = 0.7
"""Part of the bound on keys that were taken away after which a proxy out of touch serves none."""
_SESSION_ID_BITS = 0xFFFFFF
"""Part of a session's identity that is logged."""


class ProxyNode:
    """One proxy: its sessions, groups and routes.

    Attributes:
        state: `STARTING`, `SERVING`, `LEAVING` or `LEFT`.
        routes: The configured routes by host.
        groups: The configured groups by name.
        sessions: The open sessions.
        count: Counters that the status shows.
        tenants: The tenants of the configuration in force.
        embargo: Withholds embargoed records; None while no rule and no group asks for it.

    The others are those of `routing/base.ProxyServices`.
    """

    states = [STARTING, SERVING, LEAVING, LEFT]
    state: str

    if TYPE_CHECKING:  # what the machine adds

        def serve(self) -> bool:
            """A configuration is known: clients may come."""

        def leave(self) -> bool:
            """No new connections should come any more."""

        def finish(self) -> bool:
            """Every client's connection has ended."""

    def __init__(  # noqa: PLR0913, PLR0917 (what a node is made of; each is given by whoever runs it)
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
        """Puts a proxy together; `start` starts it.

        Args:
            name: Its name.
            zone: The zone it is in.
            clock: Monotonic time, in microseconds.
            tasks: Where its tasks run.
            rng: Spreads the times at which clients come back.
            core_connection: Its connection to the control nodes.
            wire: Opens connections to members.
            zone_distance: How far a zone is: 0 its own, 1 its region, 2 farther.
            drain_us: How long a primary that drains still takes new statements.
            empty_us: The same for a primary whose zone is evacuated.
            log: Where events go.
            revoke_us: After how long out of touch keys serve no more; None where they go on.
        """
        self.name, self.zone, self.log = name, zone, log
        self.clock, self.tasks, self.rng = clock, tasks, rng
        self.core_connection, self.wire, self.zone_distance = core_connection, wire, zone_distance
        self.drain_us, self.evacuation_us = drain_us, evacuate_us
        self._revoke_us = revoke_us
        self.logical_clock = LogicalClock()
        self.remote_contact = RemoteContact(clock)
        self.request_slots = RequestSlots(clock, _SLOTS)
        self.tenants = TenantDirectory()
        self.admission = QuotaAdmission(self)
        self.routes: dict[str, Route] = {}
        self.groups: dict[str, MemberGroup] = {}
        self.sessions: set[ClientSession] = set()
        self.count: collections.Counter[str] = collections.Counter()
        self.embargo: EmbargoFilter | None = None
        self._bounds = ProxyBounds()
        self._path = StatementPath(self)
        self._opened: asyncio.Future[None] | None = None
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
        """Starts the proxy's tasks."""
        emit(self.log, Events.NODE_STARTED, name=self.name, zone=self.zone)
        self.core_connection.start()

    def bounds(self) -> ProxyBounds:
        """The bounds in force."""
        return self._bounds

    @property
    def ready(self) -> bool:
        """Whether new connections should come here."""
        return self.state == SERVING

    async def wait_until_configured(self, limit_us: int) -> None:
        """Waits until this proxy knows a configuration.

        Raises:
            Busy: that takes longer than `limit_us`.
        """
        if self.state != STARTING:
            return
        if self._opened is None:
            self._opened = asyncio.get_running_loop().create_future()
        try:
            await self.clock.limit(asyncio.shield(self._opened), limit_us)
        except DeadlineExceeded:
            raise Busy("this edge knows no manifest yet") from None

    def _apply_changes(self, records: list[dict[str, Any]], fresh: bool) -> None:
        """Follows the control state: `records` were applied, or with `fresh` a whole state was."""
        control_state = self.core_connection.control_state
        configuration = control_state.configuration
        if configuration is None:
            return
        if self.embargo is not None or "embargo" in control_state.doc["manifest"]:
            self._follow_embargoes(control_state, records, fresh)
        if fresh or any(record["t"] == "manifest" for record in records):
            self._configure(configuration)
        for group in self.groups.values():
            group.apply_control_state(control_state, fresh)
        if self.state == STARTING:
            self.serve()
            if self._opened is not None:
                self._opened.set_result(None)
            emit(self.log, Events.NODE_READY, name=self.name)

    def _follow_embargoes(
        self, control_state: ControlState, records: list[dict[str, Any]], fresh: bool
    ) -> None:
        if self.embargo is None:
            from petrelhaven.proxy.embargo import EmbargoFilter

            self.embargo, fresh = EmbargoFilter(self), True
        self.embargo.apply_records(control_state, records, fresh)
        if not self.embargo.is_active:
            self.embargo = None
        time = self.embargo.true_time if self.embargo is not None else None
        self.core_connection.true_time = time

    def _configure(self, configuration: dict[str, Any]) -> None:
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
        """The route and group of a host.

        Raises:
            NoRoute: no route of the configuration has this host.
        """
        route = self.routes.get(host)
        group = self.groups.get(route.group) if route is not None else None
        if route is None or group is None:
            raise NoRoute(f"no database {host[:60]}")
        return route, group

    def open(self, host: str, client: str = "") -> ClientSession:
        """A new session for a client that names itself, or shows a key where keys are asked for.

        `client` is the key as a whole, or a name and whatever follows it.

        Raises:
            NoRoute: no route of the configuration has this host.
            Denied: no tenant has the key, and the route is not public.
        """
        route, group = self.route(host)
        digest = key_digest(client)
        tenant = self.tenants.identify(digest, route.public)
        if tenant is None:
            self.count["denied"] += 1
            raise Denied("no tenant has this key")
        name = tenant.name if self.tenants.requires_keys else client.partition(" ")[0]
        session = ClientSession(host, name, digest, tenant.name)
        self.sessions.add(session)
        if route.reads == "strong":
            session.strong_read_group = group
            group.strong_sessions += 1
        self.count["visits"] += 1
        return session

    def close(self, session: ClientSession) -> None:
        """The client's connection has ended."""
        if session not in self.sessions:
            return
        self.sessions.discard(session)
        if session.strong_read_group is not None:
            session.strong_read_group.strong_sessions -= 1
        if not session.busy:
            self._path.transactions.release_transaction(session)
        session.close()

    async def serve_statement(self, session: ClientSession, statement: Statement) -> Reply:
        """The reply to one statement."""
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
        """Runs a statement at a member of its group, unless an embargo withholds it."""
        transaction = session.transaction
        route = transaction.route if transaction is not None else self.routes.get(session.host)
        group = self.groups.get(route.group) if route is not None else None
        if route is None or group is None:
            return Reply(code="unknown", text="no such database any more", state=session.wire_state)
        tenant = self.tenants.identify(session.key_digest, route.public)
        limit_us = route.timeout_us - _SLACK_US
        started = self.clock.now()
        request = Request(
            session, statement, route, group, started + limit_us, tenant or ANONYMOUS_TENANT
        )
        if tenant is None:
            return self._deny(request)
        if self._has_moved(session, tenant):
            text = "another tenant has this key now"
            return self._path.transactions.abort_transaction(request, text)
        if tenant is not ANONYMOUS_TENANT and not self._keys_are_certain():
            return self._path.transactions.refuse_statement(request, self.retry_after())
        self._update_tenant(session, tenant)
        if self.embargo is not None:
            refusal = self.embargo.refuse_if_withheld(session, statement, group.name)
            if refusal is not None:
                return refusal
        self.count["asked"] += 1
        group.add_retry_credit()
        reply = await self._run_slotted(request, limit_us + _HORIZON_US)
        if self.embargo is not None:
            reply = self.embargo.check_reply(session, statement, group.name, reply)
        if reply.code is not None:
            self._log_not_served(request, reply, self.clock.now() - started)
        return reply

    def _keys_are_certain(self) -> bool:
        """Whether a key that was taken away would be known here in time."""
        if self._revoke_us is None:
            return True
        return self.core_connection.state_age_us < self._revoke_us * _KEYS_CERTAIN_SHARE

    def _deny(self, request: Request) -> Reply:
        """The reply to a statement whose key was taken away."""
        self.count["denied"] += 1
        text = "no tenant has this key any more"
        if request.session.transaction is not None:
            return self._path.transactions.abort_transaction(request, text, "withheld")
        return Reply(code="withheld", text=text, state=request.session.wire_state)

    @staticmethod
    def _has_moved(session: ClientSession, tenant: Tenant) -> bool:
        """Whether the session's open transaction has a connection of another tenant."""
        transaction = session.transaction
        is_bound = transaction is not None and transaction.connection is not None
        return is_bound and session.tenant != tenant.name

    def _update_tenant(self, session: ClientSession, tenant: Tenant) -> None:
        """The session's key belongs to `tenant` by now."""
        session.tenant = tenant.name
        if self.tenants.requires_keys:
            session.client = tenant.name

    async def _run_slotted(self, request: Request, time_limit_us: int) -> Reply:
        session = request.session
        inside = session.transaction is not None
        try:
            return await self.request_slots.run(self._path.run(request), time_limit_us)
        except Busy as fault:
            delay_us: int = fault.retry_after_us  # type: ignore[assignment]  # Busy has one
            code, text = "busy", self.retry_after(delay_us)
        except DeadlineExceeded:
            code, text = "timeout", "the statement ran out of time"
        if inside:
            session.fail_transaction()
        return Reply(code=code, text=text, state=session.wire_state)

    def _log_not_served(self, request: Request, reply: Reply, took_us: int) -> None:
        group = request.group
        emit(
            self.log,
            Events.STATEMENT_NOT_SERVED,
            group=group.name,
            verb=request.statement.verb,
            code=reply.code,
            us=took_us,
            note=reply.text,
            session=id(request.session) & _SESSION_ID_BITS,
            pools=",".join(f"{n[-4:]}:{m.pool.usage_summary()}" for n, m in group.members.items()),
            sessions=group.strong_sessions,
        )

    def retry_after(self, delay_us: int = _RETRY_US) -> str:
        """When to come back, in words, spread so that not all come at once."""
        self.count["shed"] += 1
        return f"not run; come back in {int(delay_us * self.rng.uniform(0.75, 1.25)) // 1000} ms"

    def timeout_reply(self, sent_to_member: bool = False) -> Reply:
        """The reply to a statement whose time is over; `sent_to_member` if a member has it."""
        if sent_to_member:
            return Reply(code="timeout", text="no answer in time")
        return Reply(code="busy", text=self.retry_after())

    def status(self) -> dict[str, Any]:
        """What this proxy believes and counts."""
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
                name: {n: m.pool.total for n, m in sorted(group.members.items())}
                for name, group in groups
            },
            **({"embargo": self.embargo.status()} if self.embargo is not None else {}),
        }

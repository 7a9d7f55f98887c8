"""Interfaces that this package needs from the proxy and its groups.

They are for type checking only; nothing imports this module at run time. They keep imports in one
direction: `proxy/node` imports this package, and this package doesn't import `proxy/node`.
"""

from __future__ import annotations

import asyncio
import collections
import random
from collections.abc import Generator
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

if TYPE_CHECKING:
    import logbook

    from petrelhaven.control.state.rows import Leadership
    from petrelhaven.proxy.bounds import ProxyBounds
    from petrelhaven.proxy.core_connection import CoreConnection
    from petrelhaven.proxy.reads.position import Position
    from petrelhaven.proxy.reads.read_clock import LogicalClock
    from petrelhaven.proxy.routing.member import Member
    from petrelhaven.proxy.routing.member_wire import MemberWire
    from petrelhaven.proxy.routing.remote_contact import RemoteContact
    from petrelhaven.proxy.routing.route import Route
    from petrelhaven.proxy.session.statement import Reply
    from petrelhaven.proxy.tenants.directory import Tenant
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks

__all__ = ["Admission", "AdmittedRequest", "Continuation", "GroupMembers", "ProxyServices"]

_Result = TypeVar("_Result")

Continuation = Generator[asyncio.Future[Any], Any, _Result]
"""A generator that runs a request or part of it: yields futures to wait for, returns the result."""


class AdmittedRequest(Protocol):
    """A request as admission uses it; implemented by `request.Request`.

    Attributes:
        tenant: The tenant that it runs for.
        route: Its route.
        deadline: When it times out, in microseconds of the proxy's clock.
        permit: The account of the permit that is reserved for it, or None.
        possible_runs: How many members run it or may have run it.
    """

    tenant: Tenant
    route: Route
    deadline: int
    permit: int | None
    possible_runs: int


class Admission(Protocol):
    """Admits tenants' operations; implemented by `proxy/tenants/admission.QuotaAdmission`."""

    def admit(self, request: AdmittedRequest) -> Continuation[str | None]:
        """Reserves a permit for an operation; returns the reason for a refusal, or None."""

    def note_sent(self, request: AdmittedRequest) -> None:
        """Records that the operation is sent to a member, for the first time or again."""

    def put_back(self, request: AdmittedRequest) -> None:
        """Ends an admitted operation; returns its permit if the operation did not run."""


class ProxyServices(Protocol):
    """A proxy as its groups and statements use it; implemented by `proxy/node.ProxyNode`.

    Attributes:
        name: The proxy's name.
        clock: Monotonic time, in microseconds.
        tasks: The proxy's background tasks, which end with the proxy.
        rng: Randomizes the delays after which clients retry.
        log: The event log, or None.
        logical_clock: Gives the logical timestamps of arrivals and position fetches.
        core_connection: Provides the lease and the control state, and receives suspicions.
        wire: Opens connections to members.
        remote_contact: When members in other zones or regions last answered.
        routes: The configured routes by host.
        count: Counters that the proxy's status shows.
        drain_us: How long a draining primary still accepts new statements, in microseconds.
        evacuation_us: The same for a primary whose zone is evacuated.
    """

    name: str
    clock: Clock
    tasks: BackgroundTasks
    rng: random.Random
    log: logbook.Logger | None
    logical_clock: LogicalClock
    core_connection: CoreConnection
    wire: MemberWire
    remote_contact: RemoteContact
    routes: dict[str, Route]
    count: collections.Counter[str]
    drain_us: int
    evacuation_us: int

    @property
    def admission(self) -> Admission:
        """Admits tenants' operations within their limits."""

    def bounds(self) -> ProxyBounds:
        """Returns the limits that currently apply."""

    def zone_distance(self, zone: str) -> int:
        """Returns the distance of a zone: 0 own zone, 1 own region, 2 another region."""

    def retry_after(self, delay_us: int = ...) -> str:
        """Returns the text of a reply that asks the client to retry, with the delay."""

    def timeout_reply(self, sent_to_member: bool = False) -> Reply:
        """Returns the reply to a statement that timed out, whether or not a member received it."""


class GroupMembers(Protocol):
    """A group as `MemberProofs` uses it; implemented by `group.MemberGroup`.

    Attributes:
        members: The current members, by name.
        leadership: The leadership of the group, or None while it is unknown.
        sync_replicas: How many replicas must have a commit before it is acknowledged.
        largest_size: The largest number of members that the group has had.
        lower_bound: No acknowledged commit of departed members is after this log position.
        without_vote: Members whose copies of a commit don't count for its acknowledgement.
    """

    members: dict[str, Member]
    leadership: Leadership | None
    sync_replicas: int
    largest_size: int
    lower_bound: Position
    without_vote: frozenset[str]

    async def status(self, member: Member) -> dict[str, Any]:
        """Returns a member's answer to STATUS."""

"""What the modules of this package need of the proxy and of the group that they work for.

These contracts are for type checkers and readers: nothing imports this module at run time. They
keep imports in one direction: `proxy/node` imports this package, and nothing here imports it.
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
"""A request, or a part of one: yields the futures that it waits for and returns its result."""


class AdmittedRequest(Protocol):
    """What admission needs of a request; `request.Request` is the one there is.

    Attributes:
        tenant: The tenant that it runs for.
        route: The route by which it goes.
        end: When its time is over, in microseconds of the proxy's clock.
        permit: The account of the permit that is reserved for it; None without one.
        runs: How many members run it or may have run it.
    """

    tenant: Tenant
    route: Route
    deadline: int
    permit: int | None
    possible_runs: int


class Admission(Protocol):
    """Admits tenants' operations; `proxy/tenants/admission.QuotaAdmission` is the one there is."""

    def admit(self, request: AdmittedRequest) -> Continuation[str | None]:
        """Reserves a permit for one operation; why there is none, or None once it may run."""

    def note_sent(self, request: AdmittedRequest) -> None:
        """A member gets the operation now, for the first time or once more."""

    def put_back(self, request: AdmittedRequest) -> None:
        """An admitted operation has ended, whether or not it was sent."""


class ProxyServices(Protocol):
    """A proxy as its groups and statements use it; `proxy/node.ProxyNode` is the one there is.

    Attributes:
        name: The proxy's name.
        clock: Monotonic time, in microseconds.
        tasks: The proxy's background tasks, which end with it.
        rng: Spreads the times at which clients come back.
        log: Where events go, or None.
        order: Gives the order points of arrivals and position fetches.
        core_connection: Brings the lease and the control state, takes reports of failures.
        wire: Opens connections to members.
        outside_contact: When members far away last answered.
        routes: The configured routes by host.
        count: Counters that the proxy's status shows.
        drain_us: How long a draining primary still takes new statements, in microseconds.
        empty_us: The same for a primary whose zone is evacuated.
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
        """The bounds in force."""

    def zone_distance(self, zone: str) -> int:
        """How far a zone is: 0 the proxy's own, 1 its region, 2 farther."""

    def retry_after(self, delay_us: int = ...) -> str:
        """The text of a reply that sends a client away, with the time to come back."""

    def out_of_time(self, tried: bool = False) -> Reply:
        """The reply to a statement whose time is over; `tried` if a member has it."""


class GroupMembers(Protocol):
    """A group as `MemberProofs` uses it; `group.MemberGroup` is the one there is.

    Attributes:
        members: The members that are not gone, by name.
        leadership: Who leads the group, or None while that is not known.
        sync_replicas: How many replicas have a commit before it is acknowledged.
        size: The most members that the group has had.
        lower_bound: A log position that every acknowledged commit of departed members is within.
    """

    members: dict[str, Member]
    leadership: Leadership | None
    sync_replicas: int
    size: int
    lower_bound: Position

    async def status(self, member: Member) -> dict[str, Any]:
        """The answer of a member to STATUS."""

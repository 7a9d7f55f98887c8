"""A statement that runs through the proxy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from petrelhaven.proxy.tenants.directory import ANONYMOUS_TENANT, Tenant

if TYPE_CHECKING:
    from petrelhaven.proxy.routing.group import MemberGroup
    from petrelhaven.proxy.routing.route import Route
    from petrelhaven.proxy.session.client_session import ClientSession
    from petrelhaven.proxy.session.statement import Statement

__all__ = ["Request"]

_STALENESS_SHARE_FOR_FETCH = 0.8


@dataclass(slots=True)
class Request:
    """A statement with everything that is needed to run it.

    Attributes:
        session: Its session.
        statement: The statement.
        route: Its route.
        group: The group that serves it.
        deadline: When it times out, in microseconds of the proxy's clock.
        tenant: The tenant that it runs for.
        permit: The account of the permit that is reserved for it, or None.
        possible_runs: How many members run it or may have run it.
    """

    session: ClientSession
    statement: Statement
    route: Route
    group: MemberGroup
    deadline: int
    tenant: Tenant = ANONYMOUS_TENANT
    permit: int | None = None
    possible_runs: int = 0

    @property
    def has_run_nowhere(self) -> bool:
        """Whether no member has run it and none can be running it now."""
        return self.possible_runs == 0

    def oldest_usable_fetch(self, now: int) -> int | None:
        """Returns the earliest start of a fetch that a browsing read may use; None if strong."""
        if not self.route.browsing:
            return None
        return now - int(self.route.stale_us * _STALENESS_SHARE_FOR_FETCH)

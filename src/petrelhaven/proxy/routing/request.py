"""One statement on its way through the proxy."""

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

_BROWSING_SHARE = 0.8


@dataclass(slots=True)
class Request:
    """A statement on its way.

    Attributes:
        session: Its session.
        statement: The statement.
        route: The route by which it goes.
        group: The group that serves it.
        end: When its time is over, in microseconds of the proxy's clock.
        tenant: The tenant that it runs for.
        permit: The account of the permit that is reserved for it; None without one.
        runs: How many members run it or may have run it.
    """

    session: ClientSession
    statement: Statement
    route: Route
    group: MemberGroup
    end: int
    tenant: Tenant = ANONYMOUS_TENANT
    permit: int | None = None
    runs: int = 0

    def oldest_fetch(self, now: int) -> int | None:
        """The earliest start of a fetch that a browsing read may use; None for a strong read."""
        if not self.route.browsing:
            return None
        return now - int(self.route.stale_us * _BROWSING_SHARE)

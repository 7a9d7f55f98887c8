"""A client that shows a tenant's key, and tries again at once while its tenant is hot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from petrelhaven.runtime.errors import Denied
from petrelhaven.simulator.connection_sessions.client import Client
from petrelhaven.simulator.connection_sessions.history import KeyRefusal

if TYPE_CHECKING:
    from petrelhaven.simulator.connection_sessions.attempt import Attempt
    from petrelhaven.simulator.connection_sessions.front import Front
    from petrelhaven.simulator.net import SimulatedMachine

__all__ = ["TenantClient"]

_HOT_PAUSE_US = 2_000
_PUBLIC_SHARE = 0.1
_CLOSES_WHEN_DENIED = 0.5
_DENIED = "denied"


class TenantClient(Client):
    """A client of one tenant; a few use the public route of their group."""

    def __init__(self, fleet: Any, num: int, rng: Any, **options: Any) -> None:  # noqa: ANN401
        """A client of a tenant that its number names."""
        super().__init__(fleet, num, rng, **options)
        names = fleet.tenancy.names()
        self.tenant = names[num % len(names)]
        self.is_public = not self.stale_us and rng.random() < _PUBLIC_SHARE
        if self.is_public:
            self.host = f"{self.group}-public"
        self._key = ""

    @property
    def pause_us(self) -> int:
        """The pause between operations."""
        return _HOT_PAUSE_US if self.tenant in self.fleet.tenancy.hot else self._pause_us

    @pause_us.setter
    def pause_us(self, value: int) -> None:
        self._pause_us = value

    async def _connect(self, edge: SimulatedMachine) -> Front:
        self._key = self.fleet.tenancy.key_to_show(self.tenant, self.rng)
        asked = self.fleet.loop.time()
        try:
            return await self._front_at(edge, self._key)
        except Denied:
            self._refused(asked, edge.name)
            raise

    async def _ask(self, attempt: Attempt, statement: Any, end: int) -> str | None:  # noqa: ANN401
        attempt.key, attempt.is_public = self._key, self.is_public
        asked, edge = self.fleet.loop.time(), self._front.edge.name
        code: str | None = await super()._ask(attempt, statement, end)
        if code == _DENIED:
            self._refused(asked, edge)
            if self.rng.random() < _CLOSES_WHEN_DENIED:
                self._close()
        return code

    def _refused(self, asked: float, edge: str) -> None:
        refusal = KeyRefusal(asked, self.fleet.loop.time(), edge, self._key, self.is_public)
        self.fleet.history.key_refusals.append(refusal)

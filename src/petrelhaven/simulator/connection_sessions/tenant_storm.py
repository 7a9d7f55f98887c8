"""Seeded storms against a fleet with tenants: keys, limits, and the machines that count."""

from __future__ import annotations

from typing import Any

from petrelhaven.simulator.connection_sessions import storm
from petrelhaven.simulator.connection_sessions.fleet import SimulatedFleet
from petrelhaven.simulator.connection_sessions.tenant_faults import TENANT_KINDS, TenantFaults

__all__ = ["run", "shrink"]

_TENANTS, _CLIENTS, _FAULTS = 6, 18, 9


def _options(seed: int, options: dict[str, Any]) -> dict[str, Any]:
    """The options of a play; every second seed has five control nodes."""
    drawn = {
        "tenants": _TENANTS,
        "clients": _CLIENTS,
        "count": _FAULTS,
        "kinds": TENANT_KINDS,
        "faults": TenantFaults,
        "losses": 1 + seed % 2,
        "cap": 60,
    }
    return {**drawn, **options}


def run(seed: int, **options: Any) -> tuple[list[Any], SimulatedFleet]:  # noqa: ANN401
    """One seeded storm: what was violated, and the fleet."""
    violations: tuple[list[Any], SimulatedFleet] = storm.run(seed, **_options(seed, options))
    return violations


def shrink(seed: int, **options: Any) -> list[tuple[float, str, int]]:  # noqa: ANN401
    """The fewest faults of a seed's schedule that still break one of the rules first broken."""
    drawn = _options(seed, options)
    rows = storm.schedule(seed, drawn["count"], drawn["kinds"])
    fewest: list[tuple[float, str, int]] = storm.shrink(seed, rows, **drawn)
    return fewest

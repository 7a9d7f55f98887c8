"""Seeded storms against a fleet with tenants: keys, limits, and the machines that count."""

from __future__ import annotations

from typing import Any

from petrelhaven.simulator.connection_sessions import storm
from petrelhaven.simulator.connection_sessions.fleet import SimulatedFleet
from petrelhaven.simulator.connection_sessions.tenant_faults import (
    COUNTING_KINDS,
    TENANT_KINDS,
    PressedFaults,
    TenantFaults,
)

__all__ = ["run", "shrink"]

_TENANTS, _CLIENTS, _FAULTS = 6, 18, 9
_PRESSED = {"faults": PressedFaults, "kinds": COUNTING_KINDS, "count": 12, "clients": 24}


def _options(seed: int, is_pressed: bool, options: dict[str, Any]) -> dict[str, Any]:
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
    return {**drawn, **(_PRESSED if is_pressed else {}), **options}


def run(
    seed: int,
    is_pressed: bool = False,
    **options: Any,  # noqa: ANN401
) -> tuple[list[Any], SimulatedFleet]:
    """One seeded storm: what was violated, and the fleet.

    Args:
        seed: Draws the fleet, the faults and the clients.
        is_pressed: Whether tenants are hot all the time, and faults fall on those who count.
        options: Options of `storm.run` that differ.
    """
    violations: tuple[list[Any], SimulatedFleet] = storm.run(
        seed, **_options(seed, is_pressed, options)
    )
    return violations


def shrink(
    seed: int,
    is_pressed: bool = False,
    **options: Any,  # noqa: ANN401
) -> list[tuple[float, str, int]]:
    """The fewest faults of a seed's schedule that still break one of the rules first broken."""
    drawn = _options(seed, is_pressed, options)
    rows = storm.schedule(seed, drawn["count"], drawn["kinds"])
    del drawn["count"], drawn["kinds"]
    fewest: list[tuple[float, str, int]] = storm.shrink(seed, rows, **drawn)
    return fewest

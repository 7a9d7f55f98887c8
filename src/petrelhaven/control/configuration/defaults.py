"""Defaults of the configuration, for processes that don't load the types of `document`.

Loading those types costs memory, which connection sessions save.
"""

from __future__ import annotations

from typing import Any

__all__ = [
    "BOUNDS_DEFAULTS",
    "GROUP_DEFAULTS",
    "ROUTE_DEFAULTS",
    "TENANT_DEFAULTS",
    "with_defaults",
]

GROUP_DEFAULTS: dict[str, Any] = {"members": 3, "cap": 40, "least": 1, "sync": 0}
ROUTE_DEFAULTS: dict[str, Any] = {
    "reads": "strong",
    "host": "",
    "prefix": "",
    "timeout_us": 2_000_000,
    "aim_us": 500_000,
    "stale_us": 1_500_000,
    "rank": 1,
    "public": False,
}
TENANT_DEFAULTS: dict[str, Any] = {"keys": [], "rate": -1, "burst": 0, "rank": 1}
BOUNDS_DEFAULTS: dict[str, Any] = {
    "idle_txn_us": 10_000_000,
    "keepers": 2,
    "quota_window_us": 5_000_000,
    "quota_excess": 100,
    "quota_slack": 20,
}
"""Only the bounds that connection sessions need."""


def with_defaults(document: dict[str, Any]) -> dict[str, Any]:
    """Adds the defaults of missing fields to a parsed and validated configuration."""
    return {
        **document,
        "groups": [{**GROUP_DEFAULTS, **group} for group in document["groups"]],
        "routes": [{**ROUTE_DEFAULTS, **route} for route in document["routes"]],
        "bounds": {**BOUNDS_DEFAULTS, **document.get("bounds", {})},
        "keyed": document.get("keyed", False),
        "tenants": [{**TENANT_DEFAULTS, **tenant} for tenant in document.get("tenants", ())],
    }

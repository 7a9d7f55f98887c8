"""Validates the values of a configuration: names, references, ranges and dependent limits.

`type_check` has checked the types before.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from petrelhaven.control.configuration.document import (
    NO_LIMIT,
    Bounds,
    Configuration,
    Group,
    Route,
    Tenant,
)
from petrelhaven.control.configuration.faults import ConfigurationFault
from petrelhaven.runtime.key_digest import KEY_DIGEST
from petrelhaven.runtime.limits import NAME, IntegerRange

__all__ = ["NAME_EXPECTED", "configuration_faults"]

NAME_EXPECTED = "must be a name of lower-case letters, digits and hyphens"

_VERSION_LIMIT = 1 << 53
_MAX_ROUTE_TIME_US = 1 << 40
_READ_KINDS = ("strong", "browsing")
_MAX_OPERATIONS = 1 << 40

_GROUP_RANGES = {
    "members": IntegerRange(1, 9),
    "cap": IntegerRange(1, 10_000),
    "least": IntegerRange(0, 8),
    "sync": IntegerRange(0, 8),
}
_ROUTE_RANGES = {
    "timeout_us": IntegerRange(1, _MAX_ROUTE_TIME_US),
    "aim_us": IntegerRange(0, _MAX_ROUTE_TIME_US),
    "stale_us": IntegerRange(0, _MAX_ROUTE_TIME_US),
    "rank": IntegerRange(-(1 << 31), 1 << 31),
}
_TENANT_RANGES = {
    "rate": IntegerRange(NO_LIMIT, _MAX_OPERATIONS),
    "burst": IntegerRange(0, _MAX_OPERATIONS),
    "rank": IntegerRange(-(1 << 31), 1 << 31),
}
_BOUNDS_RANGES = {
    "fetch_us": IntegerRange(5_000, 5_000_000),
    "join_us": IntegerRange(10_000, 10_000_000),
    "wait_us": IntegerRange(10_000, 10_000_000),
    "statement_us": IntegerRange(50_000, 60_000_000),
    "commit_us": IntegerRange(50_000, 60_000_000),
    "browse_us": IntegerRange(100_000, 60_000_000),
    "margin_us": IntegerRange(0, 59_000_000),
    "grace_us": IntegerRange(0, 3_000_000),
    "lost_us": IntegerRange(300_000, 10_000_000),
    "stall_us": IntegerRange(200_000, 10_000_000),
    "warm_us": IntegerRange(0, 120_000_000),
    "idle_txn_us": IntegerRange(100_000, 600_000_000),
    "slots": IntegerRange(1, 100_000),
    "queue": IntegerRange(1, 1000),
    "lanes": IntegerRange(1, 64),
    "sessions": IntegerRange(1, 1_000_000),
    "keepers": IntegerRange(0, 3),
    "wall_us": IntegerRange(10_000, 60_000_000),
    "skew_us": IntegerRange(1_000, 10_000_000),
    "spread_us": IntegerRange(0, 600_000_000),
    "quota_window_us": IntegerRange(100_000, 3_600_000_000),
    "quota_excess": IntegerRange(0, 10_000),
    "quota_slack": IntegerRange(0, 1_000_000),
}


def configuration_faults(configuration: Configuration) -> Iterator[ConfigurationFault]:
    """Yields all faults of a configuration whose types are valid."""
    yield from _name_faults(configuration.zones, "halls")
    yield from _name_faults([group.name for group in configuration.groups], "groups")
    yield from _name_faults([route.name for route in configuration.routes], "routes")
    if not 1 <= configuration.version < _VERSION_LIMIT:
        yield ConfigurationFault("version", "must be from 1 to 2^53")
    if not NAME.fullmatch(configuration.name):
        yield ConfigurationFault("name", NAME_EXPECTED)
    yield from _group_faults(configuration.groups)
    yield from _route_faults(configuration.routes, {group.name for group in configuration.groups})
    yield from _bounds_faults(configuration.bounds)
    yield from _tenant_faults(configuration.tenants)
    if configuration.has_embargoes:
        # Imported lazily: time zone data costs memory, and most fleets use no embargoes.
        from petrelhaven.control.configuration.embargoes import embargo_faults

        yield from embargo_faults(configuration)


def _name_faults(names: Sequence[str], path: str) -> Iterator[ConfigurationFault]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if not NAME.fullmatch(name):
            yield ConfigurationFault(f"{path}[{index}]", NAME_EXPECTED)
        if name in seen:
            yield ConfigurationFault(f"{path}[{index}]", f"duplicate name {name}")
        seen.add(name)
    if not names:
        yield ConfigurationFault(path, "must not be empty")


def _range_faults(
    row: object, ranges: Mapping[str, IntegerRange], path: str
) -> Iterator[ConfigurationFault]:
    for field, allowed in ranges.items():
        message = allowed.fault(getattr(row, field))
        if message:
            yield ConfigurationFault(f"{path}.{field}", message)


def _group_faults(groups: Sequence[Group]) -> Iterator[ConfigurationFault]:
    for index, group in enumerate(groups):
        path = f"groups[{index}]"
        yield from _range_faults(group, _GROUP_RANGES, path)
        if group.least >= group.members:
            yield ConfigurationFault(f"{path}.least", "must be below members")


def _route_faults(routes: Sequence[Route], groups: set[str]) -> Iterator[ConfigurationFault]:
    first_index: dict[tuple[str, str], int] = {}
    for index, route in enumerate(routes):
        path = f"routes[{index}]"
        if route.group not in groups:
            yield ConfigurationFault(f"{path}.group", f"no group {route.group}")
        if route.reads not in _READ_KINDS:
            yield ConfigurationFault(f"{path}.reads", "must be strong or browsing")
        yield from _range_faults(route, _ROUTE_RANGES, path)
        first = first_index.setdefault((route.host, route.prefix), index)
        if route.host and first != index:
            message = f"host {route.host} with this prefix stands in routes[{first}] already"
            yield ConfigurationFault(f"{path}.host", message)


def _tenant_faults(tenants: Sequence[Tenant]) -> Iterator[ConfigurationFault]:
    """Checks names, limits and keys shared by tenants; messages never contain a key."""
    seen: set[str] = set()
    owners: dict[str, int] = {}
    for index, tenant in enumerate(tenants):
        path = f"tenants[{index}]"
        if not NAME.fullmatch(tenant.name):
            yield ConfigurationFault(f"{path}.name", NAME_EXPECTED)
        if tenant.name in seen:
            yield ConfigurationFault(f"{path}.name", f"duplicate name {tenant.name}")
        seen.add(tenant.name)
        yield from _range_faults(tenant, _TENANT_RANGES, path)
        for key_index, key in enumerate(tenant.keys):
            if not KEY_DIGEST.fullmatch(key):
                yield ConfigurationFault(f"{path}.keys[{key_index}]", "must be a digest of a key")
            elif owners.setdefault(key, index) != index:
                message = f"tenants[{owners[key]}] has this key already"
                yield ConfigurationFault(f"{path}.keys[{key_index}]", message)


def _bounds_faults(bounds: Bounds) -> Iterator[ConfigurationFault]:
    yield from _range_faults(bounds, _BOUNDS_RANGES, "bounds")
    if bounds.margin_us >= bounds.browse_us:
        yield ConfigurationFault("bounds.margin_us", "must be below browse_us")
    if bounds.fetch_us > bounds.join_us:
        yield ConfigurationFault("bounds.fetch_us", "must not pass join_us")
    if bounds.join_us + bounds.wait_us > bounds.statement_us:
        yield ConfigurationFault("bounds.statement_us", "must hold join_us and wait_us")

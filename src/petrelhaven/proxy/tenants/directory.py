"""Maps the API keys of clients to tenants."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from petrelhaven.limits.quota import Quota

__all__ = ["ANONYMOUS_TENANT", "Tenant", "TenantDirectory"]

_UNLIMITED_RATE = -1


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant: its name, and its quota if it has one."""

    name: str
    quota: Quota | None = None


ANONYMOUS_TENANT = Tenant("")
"""The tenant of clients without a known key, on public routes or where keys are not required."""


class TenantDirectory:
    """The tenants of one configuration.

    Attributes:
        requires_keys: Whether clients need a key on routes that are not public.
        tenants: The tenants by name.
    """

    def __init__(self, configuration: Mapping[str, Any] | None = None) -> None:
        """Reads a configuration with defaults filled in; without one there are no tenants."""
        configuration = configuration or {"keyed": False, "tenants": ()}
        self.requires_keys: bool = configuration["keyed"]
        self.tenants = {row["name"]: _tenant(row) for row in configuration["tenants"]}
        self._by_key = {
            key: self.tenants[row["name"]]
            for row in configuration["tenants"]
            for key in row["keys"]
        }

    def identify(self, key_digest: str, is_public: bool) -> Tenant | None:
        """Returns the tenant for which a client's statements run; None if they must not run."""
        if not self.requires_keys:
            return ANONYMOUS_TENANT
        tenant = self._by_key.get(key_digest)
        return ANONYMOUS_TENANT if tenant is None and is_public else tenant


def _tenant(row: Mapping[str, Any]) -> Tenant:
    if row["rate"] == _UNLIMITED_RATE:
        return Tenant(row["name"])
    return Tenant(row["name"], Quota(row["rate"], row["burst"]))

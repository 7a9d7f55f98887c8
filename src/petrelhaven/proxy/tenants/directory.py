"""Which tenant a client's key belongs to."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from petrelhaven.limits.quota import Quota

__all__ = ["ANONYMOUS_TENANT", "Tenant", "TenantDirectory"]

_NO_LIMIT = -1


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's name, and its limit if it has one."""

    name: str
    quota: Quota | None = None


ANONYMOUS_TENANT = Tenant("")
"""Stands for the clients of public routes that show no key."""


class TenantDirectory:
    """The tenants of one configuration.

    Attributes:
        is_required: Whether clients need a key on routes that are not public.
        tenants: The tenants by name.
    """

    def __init__(self, configuration: Mapping[str, Any] | None = None) -> None:
        """Reads a configuration whose defaults are filled in; knows nobody without one."""
        configuration = configuration or {"keyed": False, "tenants": ()}
        self.requires_keys: bool = configuration["keyed"]
        self.tenants = {row["name"]: _tenant(row) for row in configuration["tenants"]}
        self._by_key = {
            key: self.tenants[row["name"]]
            for row in configuration["tenants"]
            for key in row["keys"]
        }

    def identify(self, key_digest: str, is_public: bool) -> Tenant | None:
        """The tenant that a client's statements run for; None if they may not run."""
        if not self.requires_keys:
            return ANONYMOUS_TENANT
        tenant = self._by_key.get(key_digest)
        return ANONYMOUS_TENANT if tenant is None and is_public else tenant


def _tenant(row: Mapping[str, Any]) -> Tenant:
    if row["rate"] == _NO_LIMIT:
        return Tenant(row["name"])
    return Tenant(row["name"], Quota(row["rate"], row["burst"]))

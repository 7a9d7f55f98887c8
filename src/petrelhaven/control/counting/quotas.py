"""The tenants' limits of the configuration in force."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from petrelhaven.control.configuration.defaults import with_defaults
from petrelhaven.limits.quota import Quota, QuotaPolicy

__all__ = ["QuotaTable"]

_NO_LIMIT = -1


class QuotaTable:
    """Follows the configuration.

    Attributes:
        terms: How limits are judged.
        quotas: The limit of each tenant that has one.
    """

    def __init__(self) -> None:
        """Knows no tenant yet."""
        self._configuration: Mapping[str, Any] | None = None
        self.terms = QuotaPolicy()
        self.quotas: dict[str, Quota] = {}

    def follow(self, configuration: Mapping[str, Any] | None) -> None:
        """Takes the configuration in force, or None before the first."""
        if configuration is self._configuration:
            return
        self._configuration = configuration
        self.quotas = {}
        if configuration is None or not configuration.get("tenants"):
            return
        complete = with_defaults(dict(configuration))
        bounds = complete["bounds"]
        self.terms = QuotaPolicy(
            bounds["quota_window_us"], bounds["quota_excess"], bounds["quota_slack"]
        )
        self.quotas = {
            row["name"]: Quota(row["rate"], row["burst"])
            for row in complete["tenants"]
            if row["rate"] != _NO_LIMIT
        }

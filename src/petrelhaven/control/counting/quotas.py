"""The limits of tenants in the active configuration."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from petrelhaven.control.configuration.defaults import with_defaults
from petrelhaven.limits.quota import Quota, QuotaPolicy

__all__ = ["QuotaTable"]

_UNLIMITED_RATE = -1


class QuotaTable:
    """The quotas and the policy of the active configuration.

    Attributes:
        policy: The window and the excess that limits allow.
        quotas: The quota of each tenant that has one.
    """

    def __init__(self) -> None:
        """Creates a table without tenants."""
        self._configuration: Mapping[str, Any] | None = None
        self.policy = QuotaPolicy()
        self.quotas: dict[str, Quota] = {}

    def apply_configuration(self, configuration: Mapping[str, Any] | None) -> None:
        """Reads the active configuration; None if there is none yet."""
        if configuration is self._configuration:
            return
        self._configuration = configuration
        self.quotas = {}
        if configuration is None or not configuration.get("tenants"):
            return
        complete = with_defaults(dict(configuration))
        bounds = complete["bounds"]
        self.policy = QuotaPolicy(
            bounds["quota_window_us"], bounds["quota_excess"], bounds["quota_slack"]
        )
        self.quotas = {
            row["name"]: Quota(row["rate"], row["burst"])
            for row in complete["tenants"]
            if row["rate"] != _UNLIMITED_RATE
        }

"""Logs connections that are refused because of the configuration, a limited number per second."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    import logbook

    from petrelhaven.proxy.core_connection import CoreConnection
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.errors import Fault

__all__ = ["RefusalLog"]

_MIN_INTERVAL_US = 1_000_000
_US_PER_MS = 1_000
_MAX_LOGGED_HOST_LENGTH = 60


class RefusalLog:
    """Logs by which version of the configuration, and with which lease, a connection is refused."""

    def __init__(
        self, clock: Clock, core_connection: CoreConnection, log: logbook.Logger | None
    ) -> None:
        """Logs to `log` what the control state of `core_connection` led to."""
        self._clock, self._core_connection, self._log = clock, core_connection, log
        self._next_at = clock.now()
        self._unlogged = 0

    def record(self, host: str, fault: Fault) -> None:
        """Logs one refusal, or counts it if another was logged less than a second ago."""
        now = self._clock.now()
        if now < self._next_at:
            self._unlogged += 1
            return
        core_connection = self._core_connection
        configuration = core_connection.control_state.configuration or {}
        emit(
            self._log,
            Events.CONNECTION_REFUSED,
            code=fault.code,
            database=host[:_MAX_LOGGED_HOST_LENGTH],
            version=configuration.get("version", "none"),
            lease="yes" if core_connection.holds_lease else "no",
            state_age_ms=core_connection.state_age_us // _US_PER_MS,
            further=self._unlogged,
        )
        self._next_at = now + _MIN_INTERVAL_US
        self._unlogged = 0

"""Watches a settings file and applies changes of live fields to the running program.

A changed file is fully validated first; if any field is invalid, the running settings stay.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.settings import LIVE_FIELDS, Settings, SettingsFault

if TYPE_CHECKING:
    import logbook

    from petrelhaven.runtime.clock import Clock

__all__ = ["SettingsWatch"]

_READ_PERIOD_US = 300_000
_COMPARED_FIELDS = ("name", "hall", "link", "http", "data", "path", *LIVE_FIELDS)


class SettingsWatch:
    """Reads the settings file periodically and applies its changes.

    Attributes:
        waiting: The fields whose changes take effect at the next restart.
        declined: What is wrong with the newest version of the file.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (one for each collaborator)
        self,
        clock: Clock,
        load: Callable[[], Settings],
        running: Settings,
        apply: Callable[[str, Any], object],
        log: logbook.Logger | None = None,
        period_us: int = _READ_PERIOD_US,
    ) -> None:
        """Creates a watch on the file that the settings `running` come from.

        Args:
            clock: The clock of the wait between two reads.
            load: Loads the settings again; raises a group of SettingsFault if any are invalid.
            running: The settings that the program runs with; they are changed in place.
            apply: Called with the name and value of each changed field that is applied live.
            log: The log for events about changes.
            period_us: How long to wait between two reads, in microseconds.
        """
        self.clock, self.log, self.period_us = clock, log, period_us
        self.path = running.file or ""
        self._load, self._running, self._apply = load, running, apply
        self._digest = self._read_digest()
        self.waiting: list[str] = []
        self.declined: list[str] = []

    def _read_digest(self) -> str:
        """Returns a digest of the file, or a text that says why it can't be read."""
        try:
            with open(self.path, "rb") as file:
                return hashlib.sha256(file.read()).hexdigest()
        except OSError as fault:
            return f"unreadable: {fault.strerror}"

    async def run(self) -> None:
        """Checks the file periodically until the task is cancelled."""
        while True:
            await self.clock.sleep(self.period_us)
            digest = self._read_digest()
            if digest != self._digest:
                self._digest = digest
                self._reload()

    def _reload(self) -> None:
        self.declined = []
        try:
            new_settings = self._load()
        except* SettingsFault as faults:
            self.declined = [str(fault) for fault in faults.exceptions]
        if self.declined:
            emit(self.log, Events.SETTINGS_CHANGE_DECLINED, note="; ".join(self.declined))
            return
        running = self._running
        changed = [
            field
            for field in _COMPARED_FIELDS
            if getattr(new_settings, field, None) != getattr(running, field, None)
        ]
        live_fields = [field for field in changed if field in LIVE_FIELDS]
        if live_fields:
            emit(self.log, Events.SETTINGS_CHANGED_LIVE, fields=",".join(live_fields))
        for field in live_fields:
            value = getattr(new_settings, field)
            setattr(running, field, value)
            self._apply(field, value)
        self.waiting = [field for field in changed if field not in LIVE_FIELDS]
        if self.waiting:
            emit(self.log, Events.SETTINGS_WAIT_FOR_RESTART, fields=",".join(self.waiting))

    def status(self) -> dict[str, Any]:
        """Returns what waits for a restart, and why the newest change was declined, if it was."""
        return {"file": self.path, "waiting": self.waiting, "declined": self.declined}

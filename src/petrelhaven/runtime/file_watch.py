"""Watches a settings file and applies its changes to the running program, as far as it can.

A changed file is checked as a whole first; with anything wrong in it, the running settings stay.
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

_PERIOD_US = 300_000
_FIELDS = ("name", "hall", "link", "http", "data", "path", *LIVE_FIELDS)


class SettingsWatch:
    """Reads the settings file periodically and applies what changed.

    Attributes:
        waiting: the fields whose change waits for a restart.
        declined: what is wrong with the newest file.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (whoever runs it gives each)
        self,
        clock: Clock,
        load: Callable[[], Settings],
        running: Settings,
        apply: Callable[[str, Any], object],
        log: logbook.Logger | None = None,
        period_us: int = _PERIOD_US,
    ) -> None:
        """Follows the file of the settings `running`.

        Args:
            clock: waits between two reads.
            load: loads the settings anew; raises a group of SettingsFault if any is wrong.
            running: the settings that the program runs with; they are changed in place.
            apply: called with a field and its value for each field that changed live.
            log: takes the events of changes.
            period_us: how long to wait between two reads, in microseconds.
        """
        self.clock, self.log, self.period_us = clock, log, period_us
        self.path = running.file or ""
        self._load, self._running, self._apply = load, running, apply
        self._digest = self._read()
        self.waiting: list[str] = []
        self.declined: list[str] = []

    def _read(self) -> str:
        """A digest of the file's content, or why it can't be read."""
        try:
            with open(self.path, "rb") as file:
                return hashlib.sha256(file.read()).hexdigest()
        except OSError as fault:
            return f"unreadable: {fault.strerror}"

    async def run(self) -> None:
        """Watches until it is cancelled."""
        while True:
            await self.clock.sleep(self.period_us)
            digest = self._read()
            if digest != self._digest:
                self._digest = digest
                self._reload()

    def _reload(self) -> None:
        self.declined = []
        try:
            new = self._load()
        except* SettingsFault as faults:
            self.declined = [str(fault) for fault in faults.exceptions]
        if self.declined:
            emit(self.log, Events.SETTINGS_CHANGE_DECLINED, note="; ".join(self.declined))
            return
        running = self._running
        changed = [
            field for field in _FIELDS if getattr(new, field, None) != getattr(running, field, None)
        ]
        live = [field for field in changed if field in LIVE_FIELDS]
        if live:
            emit(self.log, Events.SETTINGS_CHANGED_LIVE, fields=",".join(live))
        for field in live:
            value = getattr(new, field)
            setattr(running, field, value)
            self._apply(field, value)
        self.waiting = [field for field in changed if field not in LIVE_FIELDS]
        if self.waiting:
            emit(self.log, Events.SETTINGS_WAIT_FOR_RESTART, fields=",".join(self.waiting))

    def status(self) -> dict[str, Any]:
        """What waits for a restart, and why the newest change was declined, if it was."""
        return {"file": self.path, "waiting": self.waiting, "declined": self.declined}

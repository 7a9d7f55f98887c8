"""Watches a settings file: a change is checked whole and taken live as far as it can be."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.settings import LIVE, Settings, SettingsFault

if TYPE_CHECKING:
    import logbook

    from petrelhaven.runtime.clock import Clock

__all__ = ["Watch"]

_PERIOD_US = 300_000
_FIELDS = ("name", "hall", "link", "http", "data", "path", *LIVE)


class Watch:
    """Looks at the file again and again.

    Running settings are replaced only by settings that are right as a whole. `waiting` names fields
    whose change waits for a restart, `declined` what is wrong with the newest file.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (whoever runs it gives each)
        self,
        clock: Clock,
        again: Callable[[], Settings],
        now: Settings,
        turn: Callable[[str, Any], object],
        log: logbook.Logger | None = None,
        gap_us: int = _PERIOD_US,
    ) -> None:
        """Follows the file of the running settings `now`.

        `again` loads the settings anew, and `turn(field, value)` is told of each that changed live.
        """
        self.clock, self.log, self.gap_us = clock, log, gap_us
        self.path = now.file or ""
        self._again, self._now, self._turn = again, now, turn
        self._mark = self._read()
        self.waiting: list[str] = []
        self.declined: list[str] = []

    def _read(self) -> str:
        """What tells one content of the file from another."""
        try:
            with open(self.path, "rb") as file:
                return hashlib.sha256(file.read()).hexdigest()
        except OSError as fault:
            return f"unreadable: {fault.strerror}"

    async def run(self) -> None:
        """Looks for good."""
        while True:
            await self.clock.sleep(self.gap_us)
            mark = self._read()
            if mark != self._mark:
                self._mark = mark
                self._take()

    def _take(self) -> None:
        self.declined = []
        try:
            new = self._again()
        except* SettingsFault as faults:
            self.declined = [str(fault) for fault in faults.exceptions]
        if self.declined:
            emit(self.log, Events.SETTINGS_CHANGE_DECLINED, note="; ".join(self.declined))
            return
        running = self._now
        changed = [
            field for field in _FIELDS if getattr(new, field, None) != getattr(running, field, None)
        ]
        live = [field for field in changed if field in LIVE]
        if live:
            emit(self.log, Events.SETTINGS_CHANGED_LIVE, fields=",".join(live))
        for field in live:
            value = getattr(new, field)
            setattr(running, field, value)
            self._turn(field, value)
        self.waiting = [field for field in changed if field not in LIVE]
        if self.waiting:
            emit(self.log, Events.SETTINGS_WAIT_FOR_RESTART, fields=",".join(self.waiting))

    def status(self) -> dict[str, Any]:
        """What waits for a restart, and why the newest change was declined, if it was."""
        return {"file": self.path, "waiting": self.waiting, "declined": self.declined}

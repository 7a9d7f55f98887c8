"""Watches a settings file: a change is checked whole, taken live as far as it can be, otherwise shown as waiting."""

import hashlib

from petrelhaven.runtime.events import emit
from petrelhaven.runtime.settings import LIVE, SettingsFault

__all__ = ["Watch"]


class Watch:
    """Looks at the file again and again. Running settings are replaced only by settings that are right as a whole."""

    def __init__(self, clock, again, now, turn, log=None, gap_us=300_000):
        self.clock, self.path, self.log, self.gap_us = clock, now.file, log, gap_us
        self._again, self._now, self._turn = again, now, turn
        self._mark = self._read()
        self.waiting, self.declined = [], []

    def _read(self):
        try:
            with open(self.path, "rb") as h:
                return hashlib.sha256(h.read()).hexdigest()
        except OSError as e:
            return f"unreadable: {e.strerror}"

    async def run(self):
        """Looks for good."""
        while True:
            await self.clock.sleep(self.gap_us)
            mark = self._read()
            if mark != self._mark:
                self._mark = mark
                self._take()

    def _take(self):
        bad = []
        try:
            new = self._again()
        except* SettingsFault as g:
            bad = [str(e) for e in g.exceptions]
        if bad:
            self.declined = bad
            emit(self.log, 106, note="; ".join(bad))
            return
        self.declined = []
        old = self._now
        fields = ("name", "hall", "link", "http", "data", "path", *LIVE)
        diff = [k for k in fields if getattr(new, k, None) != getattr(old, k, None)]
        live = [k for k in diff if k in LIVE]
        if live:
            emit(self.log, 107, fields=",".join(live))
        for k in live:
            setattr(old, k, getattr(new, k))
            self._turn(k, getattr(new, k))
        self.waiting = [k for k in diff if k not in LIVE]
        if self.waiting:
            emit(self.log, 108, fields=",".join(self.waiting))

    def status(self):
        """What waits for a restart, and why the newest change was declined, if it was."""
        return {"file": self.path, "waiting": self.waiting, "declined": self.declined}

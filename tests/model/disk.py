"""A core's disk in the model: a write that a crash interrupts is kept whole, lost, or torn."""

import asyncio

from petrelhaven.simulator.net import SimDisk

__all__ = ["OUTCOMES", "ModelDisk"]

OUTCOMES = ("present", "torn", "missing", "torn in the middle")


class ModelDisk(SimDisk):
    """Every finished write is synced; `crash_at_next_write` says what is left of the next one."""

    def __init__(self, machine):
        super().__init__(machine)
        self.crash_at_next_write = None

    def write(self, name, off, data):
        """Writes and syncs, or takes the machine down with what the disk kept of the write."""
        outcome = self.crash_at_next_write
        if outcome is None or self.full or not self._machine.up:
            return super().write(name, off, data)
        self.crash_at_next_write = None
        third = len(data) // 3
        if outcome == "present":
            super().write(name, off, data)
        elif outcome == "torn":
            super().write(name, off, data[: len(data) // 2])
        elif outcome == "torn in the middle":
            super().write(name, off, data[:third])
            super().write(name, off + 2 * third, data[2 * third :])
        self._machine.kill()
        raise asyncio.CancelledError

    def lose(self):
        """Another, empty disk."""
        super().lose()
        self.crash_at_next_write = None

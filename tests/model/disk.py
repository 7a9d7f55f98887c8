"""The disk of a simulated control node. A crash can leave the write in progress complete, lost or torn."""

import asyncio

from petrelhaven.simulator.net import SimDisk

__all__ = ["OUTCOMES", "ModelDisk"]

OUTCOMES = ("present", "torn", "missing", "torn in the middle")


class ModelDisk(SimDisk):
    """A disk that syncs each completed write.

    `crash_at_next_write` is None, or one of `OUTCOMES`: what the disk contains of the next write,
    during which the machine crashes.
    """

    def __init__(self, machine):
        super().__init__(machine)
        self.crash_at_next_write = None

    def write(self, name, off, data):
        """Writes and syncs the data, or crashes the machine as `crash_at_next_write` says."""
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
        """Replaces the disk by another one that is empty."""
        super().lose()
        self.crash_at_next_write = None

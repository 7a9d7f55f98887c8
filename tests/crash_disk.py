"""A disk in memory on which any write can be refused or be the last before a power loss."""

import errno
from dataclasses import dataclass
from typing import ClassVar

PAGE_BYTES = 48


class PowerCut(BaseException):
    """The machine loses its power; a BaseException, so that the tested code doesn't catch it."""


@dataclass(frozen=True)
class Refuse:
    """Refuses a write after a share `part` of it; with `dropped`, no later sync stores that share."""

    part: float
    dropped: bool = False


@dataclass(frozen=True)
class Stop:
    """Stops the machine before the write is synced."""


class CrashDisk:
    """Keeps the files that the process reads (`seen`) apart from those after a power loss (`durable`).

    `plan` maps the numbers of writes, counted from 1, to what happens to them.
    """

    stop: ClassVar = Stop()

    def __init__(self, plan=None):
        self.plan = plan or {}
        self.count = 0
        self.seen, self.durable, self.unsynced = {}, {}, []

    def read(self, name):
        return bytes(self.seen.get(name, b""))

    def write(self, name, offset, data):
        self.count += 1
        planned = self.plan.get(self.count)
        if isinstance(planned, Refuse):
            part = data[: round(len(data) * planned.part)]
            self._put(self.seen, name, offset, part)
            if not planned.dropped:
                self.unsynced.append((name, offset, part))
            raise OSError(errno.ENOSPC, "no space left on device")
        self._put(self.seen, name, offset, data)
        self.unsynced.append((name, offset, data))
        if planned is not None:
            raise PowerCut
        remaining = []
        for write in self.unsynced:
            if write[0] == name:
                self._put(self.durable, *write)
            else:
                remaining.append(write)
        self.unsynced = remaining

    def remove(self, name):
        self.seen.pop(name, None)
        self.durable.pop(name, None)
        self.unsynced = [write for write in self.unsynced if write[0] != name]

    @staticmethod
    def _put(files, name, offset, data):
        file = files.setdefault(name, bytearray())
        file.extend(bytes(max(0, offset + len(data) - len(file))))
        file[offset : offset + len(data)] = data

    def restarted(self, plan=None):
        """Returns the disk after a restart of the process, which finds every write."""
        disk = CrashDisk(plan)
        disk.seen = {k: bytearray(v) for k, v in self.seen.items()}
        disk.durable = {k: bytearray(v) for k, v in self.durable.items()}
        disk.unsynced = list(self.unsynced)
        return disk

    def after_power_loss(self, survives, plan=None):
        """Returns the disk after a power loss.

        `survives(data)` returns the ranges of an unsynced write that are stored nevertheless.
        """
        disk = CrashDisk(plan)
        disk.durable = {k: bytearray(v) for k, v in self.durable.items()}
        for name, offset, data in self.unsynced:
            for start, end in survives(data):
                self._put(disk.durable, name, offset + start, data[start:end])
        disk.seen = {k: bytearray(v) for k, v in disk.durable.items()}
        return disk


def _pages(data):
    return [
        (start, min(start + PAGE_BYTES, len(data))) for start in range(0, len(data), PAGE_BYTES)
    ]


def _without_page(number):
    return lambda data: [p for i, p in enumerate(_pages(data)) if i != number % len(_pages(data))]


def _prefix(fraction):
    return lambda data: [(0, int(len(data) * fraction))]


def _first_bytes(count):
    return lambda data: [(0, min(count, len(data)))]


#: The parts of an unsynced write that may be stored after a power loss, as pages are written singly.
SURVIVALS = {
    "missing": lambda data: [],
    "present": lambda data: [(0, len(data))],
    "all but the last byte": lambda data: [(0, len(data) - 1)],
    "only its end": lambda data: [(len(data) - min(PAGE_BYTES, len(data)), len(data))],
    "every other page": lambda data: _pages(data)[::2],
    "the other pages": lambda data: _pages(data)[1::2],
    **{f"first {n} bytes": _first_bytes(n) for n in (1, 8, 19, 20, 27, 28, 29)},
    **{f"first {n} of 8": _prefix(n / 8) for n in range(1, 8)},
    **{f"page {n} missing": _without_page(n) for n in range(4)},
}

REFUSALS = {
    "before it": Refuse(0.0),
    "after 2 %": Refuse(0.02),
    "after 50 %": Refuse(0.5),
    "its sync, pages kept": Refuse(1.0),
    "its sync, pages dropped": Refuse(1.0, dropped=True),
}

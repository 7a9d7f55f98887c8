"""A disk whose every write can be refused, or be the last before the power goes."""

import errno
from dataclasses import dataclass
from typing import ClassVar

PAGE = 48


class PowerCut(BaseException):
    """The machine stops here; no handler of the code under test may catch it."""


@dataclass(frozen=True)
class Refuse:
    """The write is refused once `part` of it was written; with `dropped`, no later sync covers that part."""

    part: float
    dropped: bool = False


@dataclass(frozen=True)
class Stop:
    """The machine stops before the write is synced."""


class CrashDisk:
    """Keeps what the process sees (`seen`) apart from what a loss of power leaves (`durable`)."""

    stop: ClassVar = Stop()

    def __init__(self, plan=None):
        self.plan = plan or {}
        self.count = 0
        self.seen, self.durable, self.unsynced = {}, {}, []

    def read(self, name):
        return bytes(self.seen.get(name, b""))

    def write(self, name, offset, data):
        self.count += 1
        trouble = self.plan.get(self.count)
        if isinstance(trouble, Refuse):
            part = data[: round(len(data) * trouble.part)]
            self._put(self.seen, name, offset, part)
            if not trouble.dropped:
                self.unsynced.append((name, offset, part))
            raise OSError(errno.ENOSPC, "no space left on device")
        self._put(self.seen, name, offset, data)
        self.unsynced.append((name, offset, data))
        if trouble is not None:
            raise PowerCut
        rest = []
        for write in self.unsynced:
            if write[0] == name:
                self._put(self.durable, *write)
            else:
                rest.append(write)
        self.unsynced = rest

    def remove(self, name):
        self.seen.pop(name, None)
        self.durable.pop(name, None)
        self.unsynced = [w for w in self.unsynced if w[0] != name]

    @staticmethod
    def _put(files, name, offset, data):
        file = files.setdefault(name, bytearray())
        file.extend(bytes(max(0, offset + len(data) - len(file))))
        file[offset : offset + len(data)] = data

    def restarted(self, plan=None):
        """The same disk after the process alone has ended: it finds all that was written."""
        disk = CrashDisk(plan)
        disk.seen = {k: bytearray(v) for k, v in self.seen.items()}
        disk.durable = {k: bytearray(v) for k, v in self.durable.items()}
        disk.unsynced = list(self.unsynced)
        return disk

    def after_power_loss(self, survives, plan=None):
        """The disk after a loss of power; `survives(data)` names the ranges of each unsynced write that are there."""
        disk = CrashDisk(plan)
        disk.durable = {k: bytearray(v) for k, v in self.durable.items()}
        for name, offset, data in self.unsynced:
            for start, end in survives(data):
                self._put(disk.durable, name, offset + start, data[start:end])
        disk.seen = {k: bytearray(v) for k, v in disk.durable.items()}
        return disk


def _pages(data):
    return [(at, min(at + PAGE, len(data))) for at in range(0, len(data), PAGE)]


def _without_page(number):
    return lambda data: [p for i, p in enumerate(_pages(data)) if i != number % len(_pages(data))]


def _prefix(share):
    return lambda data: [(0, int(len(data) * share))]


def _first_bytes(count):
    return lambda data: [(0, min(count, len(data)))]


#: What the pages of a machine's disk allow of a write that was not synced.
SURVIVALS = {
    "missing": lambda data: [],
    "present": lambda data: [(0, len(data))],
    "all but the last byte": lambda data: [(0, len(data) - 1)],
    "its end alone": lambda data: [(len(data) - min(PAGE, len(data)), len(data))],
    "every other page": lambda data: _pages(data)[::2],
    "the other pages": lambda data: _pages(data)[1::2],
    **{f"first {n} bytes": _first_bytes(n) for n in (1, 8, 19, 20, 27, 28, 29)},
    **{f"first {n} of 8": _prefix(n / 8) for n in range(1, 8)},
    **{f"page {n} missing": _without_page(n) for n in range(4)},
}

REFUSALS = {
    "before it": Refuse(0.0),
    "after a byte or so": Refuse(0.02),
    "half way": Refuse(0.5),
    "its sync, pages kept": Refuse(1.0),
    "its sync, pages dropped": Refuse(1.0, dropped=True),
}

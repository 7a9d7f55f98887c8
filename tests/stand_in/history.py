import asyncio
import math

from .freeze import Freeze
from .trouble import Trouble

__all__ = ["History"]


class History:
    """All that members, clients and the operator have seen, on one clock."""

    def __init__(self):
        self.runs, self.entries, self.attempts = [], [], []
        self.configs, self.evacuations, self.troubles, self.stray = [], [], [], []
        self.probes, self.reads = [], []
        self.freezes = []
        self.drained = {}
        self.fetched = None

    def now(self):
        """The clock of everything that is recorded."""
        return asyncio.get_running_loop().time()

    def trouble(self, name, seconds=0.0, machines=True, planned=False, names=None):
        """Notes trouble from now on, for `seconds`; `names` are the machines that it puts out of touch, None all."""
        now = self.now()
        self.troubles.append(Trouble(now, now + seconds, name, machines, planned, names))

    def begin_freeze(self, machine):
        """Notes that the processes of a machine stand still from now on."""
        if not self._standing(machine):
            self.freezes.append(Freeze(machine, self.now()))

    def end_freeze(self, machine):
        """Notes that they run again, or have ended."""
        for freeze in self._standing(machine):
            freeze.until = self.now()

    def _standing(self, machine):
        return [f for f in self.freezes if f.machine == machine and f.until == math.inf]

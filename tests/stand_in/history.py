import asyncio

from .trouble import Trouble

__all__ = ["History"]


class History:
    """All that members, clients and the operator have seen, on one clock."""

    def __init__(self):
        self.runs, self.entries, self.attempts = [], [], []
        self.configs, self.evacuations, self.troubles, self.stray = [], [], [], []
        self.drained = {}
        self.fetched = None

    def now(self):
        """The clock of everything that is recorded."""
        return asyncio.get_running_loop().time()

    def trouble(self, name, seconds=0.0, machines=True, planned=False):
        """Notes trouble from now on, for `seconds`."""
        self.troubles.append(Trouble(self.now(), self.now() + seconds, name, machines, planned))

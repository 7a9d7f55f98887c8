"""What a core's data folder holds, read without changing it: for checks and after a loss."""

import os

from petrelhaven.control.state.kept_state import Realm
from petrelhaven.control.state.ledger import Ledger
from petrelhaven.control.storage.memory import Memory
from petrelhaven.runtime.errors import Damaged

__all__ = ["Relic"]


class _Still:
    """A folder that is only read; what would be written is kept in memory."""

    def __init__(self, path):
        self._path = path

    def read(self, name):
        """All bytes of `name`; empty if there is none."""
        try:
            with open(os.path.join(self._path, name), "rb") as h:
                return h.read()
        except FileNotFoundError:
            return b""

    def write(self, name, off, data):
        """Writes nothing."""


class Relic:
    """Name, disk identity and control state of a folder; `name` is None for an empty one."""

    def __init__(self, path):
        m = Memory(_Still(path), "", _NoChance(), keep=True, state=_state)
        if m.damaged:
            raise Damaged(f"{path}: the ring is damaged")
        self.name, self.disk, self.realm = m.name or None, m.disk, m.realm


def _state(doc=None):
    return Ledger(doc) if doc and "offices" in doc else Realm(doc)


class _NoChance:
    @staticmethod
    def getrandbits(n):
        """No identity is drawn for a folder that is only looked at."""
        return 0

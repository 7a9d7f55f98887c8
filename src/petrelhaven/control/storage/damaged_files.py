"""Copies of damaged log files, kept until other cores are known to hold as much."""

from typing import Any

from petrelhaven.control.storage.record_log import Disk, log_file_names, readable_documents

__all__ = ["DamagedFileCopies"]

_MARK = "aside"
_COMPLETE = b"complete"


class DamagedFileCopies:
    """At most one set of copies; an older set is never written over by a newer one."""

    def __init__(self, disk: Disk) -> None:
        """Finds out whether `disk_id` has copies."""
        self._disk = disk
        self.present = disk.read(_MARK) == _COMPLETE

    def keep(self) -> None:
        """Copies the log's files, so that emptying the log loses nothing that could be read."""
        if self.present:
            return
        for name in log_file_names():
            raw = self._disk.read(name)
            if raw:
                self._disk.write(self._copy(name), 0, raw)
        self._disk.write(_MARK, 0, _COMPLETE)
        self.present = True

    def documents(self) -> list[dict[str, Any]]:
        """What can still be read of the copies."""
        return readable_documents([self._disk.read(self._copy(name)) for name in log_file_names()])

    def drop(self) -> None:
        """Removes the copies."""
        self.present = False
        self._disk.remove(_MARK)
        for name in log_file_names():
            self._disk.remove(self._copy(name))

    @staticmethod
    def _copy(name: str) -> str:
        return f"aside-{name}"

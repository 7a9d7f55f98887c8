"""Copies of damaged log files, kept until the chain has sent this node at least their records."""

from typing import Any

from petrelhaven.control.storage.record_log import Disk, log_file_names, readable_documents

__all__ = ["DamagedFileCopies"]

_MARKER_FILE = "aside"
_MARKER_TEXT = b"complete"


class DamagedFileCopies:
    """At most one set of copies; an existing set is never overwritten.

    Attributes:
        present: Whether the disk has a complete set.
    """

    def __init__(self, disk: Disk) -> None:
        """Checks whether `disk` has a complete set."""
        self._disk = disk
        self.present = disk.read(_MARKER_FILE) == _MARKER_TEXT

    def create(self) -> None:
        """Copies the log's files, unless there is a set already."""
        if self.present:
            return
        for name in log_file_names():
            raw = self._disk.read(name)
            if raw:
                self._disk.write(self._copy_name(name), 0, raw)
        self._disk.write(_MARKER_FILE, 0, _MARKER_TEXT)
        self.present = True

    def documents(self) -> list[dict[str, Any]]:
        """Returns the log entries that are still readable in the copies."""
        return readable_documents(
            [self._disk.read(self._copy_name(name)) for name in log_file_names()]
        )

    def remove(self) -> None:
        """Removes the copies."""
        self.present = False
        self._disk.remove(_MARKER_FILE)
        for name in log_file_names():
            self._disk.remove(self._copy_name(name))

    @staticmethod
    def _copy_name(name: str) -> str:
        return f"aside-{name}"

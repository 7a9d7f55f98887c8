"""Files in a data folder, with writes that are synced before they return."""

import contextlib
import errno
import os

__all__ = ["FolderDisk"]

_FILE_MODE = 0o640


def _sync_folder(path: str) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _make_folder(path: str) -> None:
    """Creates a folder and its missing parents, and syncs the parent of each new one."""
    path = os.path.abspath(path)
    if os.path.isdir(path):
        return
    parent = os.path.dirname(path)
    _make_folder(parent)
    with contextlib.suppress(FileExistsError):
        os.mkdir(path)
    _sync_folder(parent)


class FolderDisk:
    """The files of one data folder, kept open between calls."""

    def __init__(self, path: str) -> None:
        """Creates the folder `path` if it doesn't exist."""
        self._path = path
        self._descriptors: dict[str, int] = {}
        _make_folder(path)

    def _open(self, name: str) -> int:
        descriptor = self._descriptors.get(name)
        if descriptor is not None:
            return descriptor
        descriptor = os.open(os.path.join(self._path, name), os.O_RDWR | os.O_CREAT, _FILE_MODE)
        try:
            _sync_folder(self._path)
        except OSError:
            os.close(descriptor)
            raise
        self._descriptors[name] = descriptor
        return descriptor

    def read(self, name: str) -> bytes:
        """Returns the content of file `name`, or nothing if it doesn't exist."""
        if not os.path.exists(os.path.join(self._path, name)):
            return b""
        descriptor = self._open(name)
        return os.pread(descriptor, os.fstat(descriptor).st_size, 0)

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Writes all of `data` at `offset` and syncs it.

        Raises:
            OSError: The write or the sync failed; a part may have been written.
        """
        descriptor = self._open(name)
        remaining = memoryview(data)
        while remaining:
            written = os.pwrite(descriptor, remaining, offset)
            if written == 0:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            offset += written
            remaining = remaining[written:]
        os.fdatasync(descriptor)

    def remove(self, name: str) -> None:
        """Removes file `name` if it exists."""
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
        with contextlib.suppress(FileNotFoundError):
            os.remove(os.path.join(self._path, name))
        _sync_folder(self._path)

    def close(self) -> None:
        """Closes all open files."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()

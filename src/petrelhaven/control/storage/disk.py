"""The disk of a machine: files in one folder; a write returns once all of it is synced."""

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
    """Makes a folder and those above it; each is synced into the one that holds it."""
    path = os.path.abspath(path)
    if os.path.isdir(path):
        return
    parent = os.path.dirname(path)
    _make_folder(parent)
    with contextlib.suppress(FileExistsError):
        os.mkdir(path)
    _sync_folder(parent)


class FolderDisk:
    """Files under one data folder."""

    def __init__(self, path: str) -> None:
        """Makes the folder `path` if it isn't there."""
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
        """All bytes of `name`; empty if there is none."""
        if not os.path.exists(os.path.join(self._path, name)):
            return b""
        descriptor = self._open(name)
        return os.pread(descriptor, os.fstat(descriptor).st_size, 0)

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Writes all of `data` and syncs it, or raises OSError."""
        descriptor = self._open(name)
        rest = memoryview(data)
        while rest:
            written = os.pwrite(descriptor, rest, offset)
            if written == 0:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            offset += written
            rest = rest[written:]
        os.fdatasync(descriptor)

    def remove(self, name: str) -> None:
        """Removes a file if it is there."""
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
        with contextlib.suppress(FileNotFoundError):
            os.remove(os.path.join(self._path, name))
        _sync_folder(self._path)

    def close(self) -> None:
        """Closes the files."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()

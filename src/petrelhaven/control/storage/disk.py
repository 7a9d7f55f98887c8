"""The small disk of a machine: preallocated files in one folder, synced at every write."""

import os

__all__ = ["Folder"]


class Folder:
    """Files under one data folder."""

    def __init__(self, path):
        self._path = path
        self._fds = {}
        os.makedirs(path, exist_ok=True)

    def _fd(self, name):
        fd = self._fds.get(name)
        if fd is None:
            fd = self._fds[name] = os.open(
                os.path.join(self._path, name), os.O_RDWR | os.O_CREAT, 0o640
            )
            d = os.open(self._path, os.O_RDONLY)
            os.fsync(d)
            os.close(d)
        return fd

    def read(self, name):
        """All bytes of `name`; empty if there is none."""
        if not os.path.exists(os.path.join(self._path, name)):
            return b""
        fd = self._fd(name)
        return os.pread(fd, os.fstat(fd).st_size, 0)

    def write(self, name, off, data):
        """Writes and syncs."""
        fd = self._fd(name)
        os.pwrite(fd, data, off)
        os.fdatasync(fd)

    def close(self):
        """Closes the files."""
        for fd in self._fds.values():
            os.close(fd)
        self._fds.clear()

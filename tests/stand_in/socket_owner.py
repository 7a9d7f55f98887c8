import contextlib
import os
import socket
import struct
from pathlib import Path

__all__ = ["is_owned_by"]


def is_owned_by(address, pids):
    """Whether the socket at `address`, an IP and port of this machine, belongs to one of the processes `pids`."""
    inode = _inode_of(address)
    return inode is not None and any(f"socket:[{inode}]" in _descriptors(pid) for pid in pids)


def _inode_of(address):
    host, port = address[:2]
    number = struct.unpack("=I", socket.inet_aton(host))[0]
    local = f"{number:08X}:{port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == local:
            return fields[9]
    return None


def _descriptors(pid):
    """What the descriptors of a process stand for."""
    found = set()
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                found.add(os.readlink(entry.path))
    return found

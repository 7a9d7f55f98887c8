import socket

__all__ = ["network"]

_FIRST, _LAST = 20, 219
_LOCK_PORT = 8199
_reserved = []


def network():
    """The number N of the network 127.N.0.0/16 that this process has to itself until it ends.

    A bound socket in it is the lock, so that test processes side by side never meet at one address.
    """
    if not _reserved:
        _reserved.append(_reserve())
    return _reserved[0][0]


def _reserve():
    for number in range(_FIRST, _LAST + 1):
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.255.254", _LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return number, lock
    raise RuntimeError("every network for tests is taken")

import socket

__all__ = ["SilentAddress"]

_FILLERS = 2


class SilentAddress:
    """An address as of a machine without power: connections to it get no answer, not even a refusal.

    Its listener has a full queue, so the kernel drops further opening packets.
    """

    def __init__(self, host, port):
        self._sockets = [socket.socket()]
        listener = self._sockets[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(0)
        for _ in range(_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, port))
            self._sockets.append(filler)

    def close(self):
        """Frees the address."""
        for opened in self._sockets:
            opened.close()

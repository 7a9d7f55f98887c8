"""Calls over HTTP/1.1 with the standard library alone, in place of `tests/stand_in/caller.py`."""

# ruff: noqa: ANN001, ANN002, ANN201, ANN202, ANN204, D107, E402, E501, PLR2004, RET504 (as in tests/)

import asyncio
import json

__all__ = ["Caller"]

_REDIRECTS = 2


class Caller:
    """Calls one node with a new connection for each call, and follows at most two 307."""

    def __init__(self, seconds=1.0):
        """Waits `seconds` at most for an answer."""
        self.seconds = seconds

    async def call(self, address, method, path, body=None, headers=None):
        """Returns the status and the body of the answer, or the status 0 on a failure or silence."""
        try:
            async with asyncio.timeout(self.seconds):
                for _ in range(_REDIRECTS + 1):
                    status, found, got = await _exchange(address, method, path, body, headers)
                    if status != 307:
                        return status, got
                    _, _, rest = found.get("location", "").partition("://")
                    address, _, path = rest.partition("/")
                    path = "/" + path
        except (OSError, ValueError, IndexError, EOFError, TimeoutError):
            pass
        return 0, b""

    async def close(self):
        """Does nothing: no connection outlives its call."""


async def _exchange(address, method, path, body, headers):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Connection: close"]
        if body is not None:
            lines += ["Content-Type: application/json"]
        if method != "GET":
            lines += [f"Content-Length: {len(data)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        found = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            found[name.strip().lower()] = value.strip()
        got = await reader.readexactly(int(found.get("content-length", "0")))
        return int(head[0].split(" ")[1]), found, got
    finally:
        writer.close()

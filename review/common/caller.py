"""Calls the system's `control` interface and the readiness check, with the standard library only.

It takes the place of `tests/stand_in/caller.py`, which needs a package that the build of the deploy
file does not install. One call goes to one node; a caller follows 307 two times (page PROTOCOL).
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping

__all__ = ["Caller", "read_body"]

_MAX_CALLS = 3
_REDIRECT = 307


class Caller:
    """Makes HTTP calls, each on a connection of its own."""

    def __init__(self, seconds: float = 1.0) -> None:
        """Takes `seconds` of silence as a failure."""
        self.seconds = seconds

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Returns the status and the body of the answer; status 0 after a failure or silence."""
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        try:
            async with asyncio.timeout(self.seconds):
                for _ in range(_MAX_CALLS):
                    status, found, got = await _exchange(address, method, path, data, headers or {})
                    if status != _REDIRECT:
                        return status, got
                    address, _, rest = (
                        found.get("location", "").removeprefix("http://").partition("/")
                    )
                    path = f"/{rest}"
        except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
            pass
        return 0, b""

    async def close(self) -> None:
        """Does nothing: no connection outlives its call."""


async def _exchange(
    address: str, method: str, path: str, data: bytes, headers: Mapping[str, str]
) -> tuple[int, dict[str, str], bytes]:
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Connection: close"]
        if data:
            lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        found = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:])}
        return int(head[0].split(" ")[1]), found, await read_body(reader, found)
    finally:
        writer.close()


async def read_body(reader: asyncio.StreamReader, headers: Mapping[str, str]) -> bytes:
    """Reads the body of a message with these headers."""
    if headers.get("transfer-encoding") == "chunked":
        got = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            got += await reader.readexactly(size)
            await reader.readuntil(b"\r\n")
        return got
    return await reader.readexactly(int(headers.get("content-length", "0")))

"""The platform's `POST /failover`, fenced for each service, with the standard library only.

It takes the place of `tests/stand_in/cloud.py` (see `caller.py`).
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

from caller import read_body

__all__ = ["Cloud"]

_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


class Cloud:
    """Promotes the member that an accepted call names, some time after the call."""

    def __init__(self, groups: dict[str, Any], address: str) -> None:
        """Serves `groups`, by service, at `address` once it is started."""
        self.groups, self.address = groups, address
        self.calls: list[tuple[float, str, str, str, int, int]] = []
        self._fences: dict[str, int] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> Cloud:
        """Listens at its address."""
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return self

    async def close(self) -> None:
        """Ends."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = head.decode("latin-1").split("\r\n")
                pairs = (line.partition(":") for line in lines[1:])
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                body = await read_body(reader, headers)
                status = self._answer(lines[0], headers, body)
                writer.write(
                    f"HTTP/1.1 {status} {_REASONS[status]}\r\nContent-Length: 0\r\n\r\n".encode()
                )
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _answer(self, first_line: str, headers: dict[str, str], body: bytes) -> int:
        if first_line.split(" ")[:2] != ["POST", "/failover"]:
            return 404
        try:
            document = json.loads(body)
            service, member = document["Service"], document["MemberId"]
            holder, fence = headers["x-duty-holder"], int(headers["x-fence-token"])
        except (ValueError, KeyError, TypeError):
            return 400
        status = self._take(service, member, fence)
        now = asyncio.get_running_loop().time()
        self.calls.append((now, service, member, holder, fence, status))
        return status

    def _take(self, service: str, member_id: str, fence: int) -> int:
        group = self.groups.get(service)
        if group is None:
            return 404
        if fence < self._fences.get(service, fence):
            return 409
        self._fences[service] = fence
        member = group.members.get(member_id)
        if member is None or not member.running:
            return 409
        group.promote_soon(member)
        return 200

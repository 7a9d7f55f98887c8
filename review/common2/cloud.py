"""The platform's `POST /failover` with the standard library alone, for `tests/stand_in/cloud.py`."""

# ruff: noqa: ANN001, ANN002, ANN201, ANN202, ANN204, D107, E402, E501, PLR2004, RET504 (as in tests/)

import asyncio
import json

__all__ = ["Cloud"]


class Cloud:
    """Takes a promote if its fence is not lower than one seen for the service, as PROTOCOL says."""

    def __init__(self, groups, address):
        """Promotes members of `groups`, by service, and listens at `address` once started."""
        self.groups, self.address = groups, address
        self.calls = []
        self._fences = {}
        self._server = None

    async def start(self):
        """Listens at its address."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return self

    async def close(self):
        """Ends."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                found = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    found[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(found.get("content-length", "0")))
                status = self._failover(head[0], found, body)
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n".encode())
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    def _failover(self, first, found, body):
        if first.split(" ")[:2] != ["POST", "/failover"]:
            return 404
        try:
            document = json.loads(body)
            service, member_id = document["Service"], document["MemberId"]
            holder, fence = found["x-duty-holder"], int(found["x-fence-token"])
        except (ValueError, KeyError, TypeError):
            return 400
        status = self._take(service, member_id, fence)
        now = asyncio.get_running_loop().time()
        self.calls.append((now, service, member_id, holder, fence, status))
        return status

    def _take(self, service, member_id, fence):
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

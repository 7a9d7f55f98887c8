import asyncio
import json

import aiohttp

__all__ = ["Caller"]


class Caller:
    """Calls the system's `control` interface as the pages ask of every caller: one node, at most two 307."""

    def __init__(self, seconds=1.0):
        self.seconds = seconds
        self._http = None

    async def call(self, address, method, path, body=None, headers=None):
        """One call; returns the status and the body's bytes, or the status 0 on a failure or silence."""
        if self._http is None:
            self._http = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
            )
        data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
        headers = {
            **(headers or {}),
            **({"Content-Type": "application/json"} if data is not None else {}),
        }
        url = f"http://{address}{path}"
        try:
            async with asyncio.timeout(self.seconds):
                for _ in range(3):
                    async with self._http.request(
                        method, url, data=data, headers=headers, allow_redirects=False
                    ) as answer:
                        got = await answer.read()
                        if answer.status != 307:
                            return answer.status, got
                        url = answer.headers.get("Location", "")
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError):
            pass
        return 0, b""

    async def close(self):
        """Closes its connections."""
        if self._http is not None:
            await self._http.close()
            self._http = None

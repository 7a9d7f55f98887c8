"""An HTTP client of the platform, which promotes members."""

from __future__ import annotations

from typing import Any

import aiohttp

from petrelhaven.runtime.errors import Malformed, Unreachable, rebuild

__all__ = ["PlatformClient"]

_HTTP_OK = 200


class PlatformClient:
    """Calls the platform at an address; opens the HTTP session with the first call."""

    def __init__(self, address: str) -> None:
        """Uses the platform at `address` (host and port)."""
        self._address = address
        self._http: aiohttp.ClientSession | None = None

    def set_address(self, address: str) -> None:
        """Changes the platform's address for later calls."""
        self._address = address

    async def promote(self, group: str, member: str, epoch: int, by: str) -> dict[str, Any]:
        """Asks the platform to make `member` the primary of `group`, fenced by `epoch`.

        Raises:
            Unreachable: No valid response arrived; the request may still take effect.
            Malformed: The response is not a JSON object.
            Fault: The platform declined the request; this is the fault that it returned.
        """
        if self._http is None:
            self._http = aiohttp.ClientSession()
        body = {"group": group, "member": member, "epoch": epoch, "by": by}
        try:
            async with self._http.post(f"http://{self._address}/promote", json=body) as response:
                document = await response.json()
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError):
            raise Unreachable("platform") from None
        if not isinstance(document, dict):
            raise Malformed("platform response must be an object")
        if response.status != _HTTP_OK:
            raise rebuild(document)
        return document

    async def close(self) -> None:
        """Closes the HTTP session."""
        if self._http:
            await self._http.close()

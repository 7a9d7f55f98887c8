"""An HTTP client for single requests, used by the tools."""

from __future__ import annotations

from typing import Any

import aiohttp

from petrelhaven.runtime.errors import DeadlineExceeded, NotSent, Unreachable, rebuild

__all__ = ["fetch"]

_DEFAULT_TIMEOUT_US = 30_000_000
_CONNECT_TIMEOUT_S = 1
_STATUS_OK = 200


async def fetch(  # noqa: PLR0913, PLR0917 (an HTTP request has this many parts)
    addr: str,
    verb: str,
    path: str,
    data: str | bytes | None = None,
    doc: Any = None,  # noqa: ANN401 (any JSON document)
    us: int = _DEFAULT_TIMEOUT_US,
    raw: bool = False,
    http: aiohttp.ClientSession | None = None,
) -> Any:  # noqa: ANN401 (any JSON document)
    """Sends one request and returns the JSON document of the response.

    Args:
        addr: host and port of the server.
        verb: the HTTP method.
        path: the path with its query.
        data: the body as text or bytes.
        doc: the body as a JSON document, instead of `data`.
        us: the limit for the whole exchange, in microseconds.
        raw: whether to return the bytes of the response instead of its document.
        http: the client session to use; by default, one is created for this exchange.

    Raises:
        Fault: the typed fault that the server answered with; has the status of the response.
        NotSent: the connection could not be opened.
        DeadlineExceeded: no response arrived in time.
        Unreachable: the connection was lost, or the response was not JSON.
    """
    session = http or aiohttp.ClientSession()
    try:
        async with session.request(
            verb,
            f"http://{addr}{path}",
            data=data,
            json=doc,
            timeout=aiohttp.ClientTimeout(total=us / 1e6, sock_connect=_CONNECT_TIMEOUT_S),
        ) as response:
            if response.status == _STATUS_OK:
                return await response.read() if raw else await response.json()
            fault = rebuild(await response.json())
            fault.status = response.status
            raise fault
    except aiohttp.ClientConnectorError:
        raise NotSent(addr) from None
    except TimeoutError:
        raise DeadlineExceeded(addr) from None
    except (aiohttp.ClientError, OSError, ValueError):
        raise Unreachable(addr) from None
    finally:
        if http is None:
            await session.close()

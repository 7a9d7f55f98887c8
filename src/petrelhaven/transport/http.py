"""One HTTP exchange with an interface, for the tools."""

from __future__ import annotations

from typing import Any

import aiohttp

from petrelhaven.runtime.errors import DeadlineExceeded, NotSent, Unreachable, rebuild

__all__ = ["fetch"]

_DEADLINE_US = 30_000_000
_CONNECT_S = 1
_OK = 200


async def fetch(  # noqa: PLR0913, PLR0917 (an HTTP exchange has as many parts)
    addr: str,
    verb: str,
    path: str,
    data: str | bytes | None = None,
    doc: Any = None,  # noqa: ANN401 (any JSON document)
    us: int = _DEADLINE_US,
    raw: bool = False,
    http: aiohttp.ClientSession | None = None,
) -> Any:  # noqa: ANN401 (any JSON document)
    """Returns the document that the server answers with.

    Args:
        addr: host and port of the server.
        verb: the HTTP method.
        path: the path with its query.
        data: the body as it is.
        doc: the body as a JSON document, in place of `data`.
        us: how long the exchange may take, in microseconds.
        raw: whether to return the answer's bytes in place of its document.
        http: the session to use; otherwise one is made for this exchange.

    Raises:
        Fault: the typed fault that the server answered with, with the answer's status.
        NotSent: there was no connection.
        DeadlineExceeded: no answer came in time.
        Unreachable: the connection was lost, or the answer was not JSON.
    """
    session = http or aiohttp.ClientSession()
    try:
        async with session.request(
            verb,
            f"http://{addr}{path}",
            data=data,
            json=doc,
            timeout=aiohttp.ClientTimeout(total=us / 1e6, sock_connect=_CONNECT_S),
        ) as response:
            if response.status == _OK:
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

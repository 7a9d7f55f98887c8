"""One HTTP exchange with a face, for the tools."""

import asyncio

import aiohttp

from petrelhaven.runtime.errors import DeadlineExceeded, NotSent, Unreachable, rebuild

__all__ = ["fetch"]


async def fetch(addr, verb, path, data=None, doc=None, us=30_000_000, raw=False, http=None):
    """The result's document (or bytes); a typed fault otherwise."""
    own = http is None
    http = http or aiohttp.ClientSession()
    try:
        async with http.request(
            verb,
            f"http://{addr}{path}",
            data=data,
            json=doc,
            timeout=aiohttp.ClientTimeout(total=us / 1e6, sock_connect=1),
        ) as r:
            if r.status == 200:
                return await r.read() if raw else await r.json()
            f = rebuild(await r.json())
            f.status = r.status
            raise f
    except aiohttp.ClientConnectorError:
        raise NotSent(addr) from None
    except (asyncio.TimeoutError, TimeoutError):
        raise DeadlineExceeded(addr) from None
    except (aiohttp.ClientError, OSError, ValueError):
        raise Unreachable(addr) from None
    finally:
        if own:
            await http.close()

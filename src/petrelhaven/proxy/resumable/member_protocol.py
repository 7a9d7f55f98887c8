"""The wire to members: HTTP/1.1 JSON with the verbs STATUS, READY and AFTER, and LAGGING among the results."""

import asyncio
import json

import aiohttp

from petrelhaven.runtime.errors import DeadlineExceeded, MemberDeclined, NotSent, Unreachable

__all__ = ["Wire", "raise_first"]


def raise_first(rs):
    """Raises the typed fault of the batch's last step, if it has one; what came before it was run."""
    if rs and "fault" in rs[-1]:
        raise MemberDeclined(rs[-1]["fault"], details=rs[-1])
    return rs


class _Conn:
    __slots__ = ("tag", "lost", "member", "_w", "_http", "_id", "_addr")

    def __init__(self, w, addr, http, num):
        self._w, self._addr, self._http, self._id = w, addr, http, num
        self.tag, self.lost = None, False

    async def run(self, ops, us):
        """Runs a batch on this connection and returns the results, one a step."""
        try:
            rs = (
                await self._w.post(
                    self._http, self._addr, "/run", {"conn": self._id, "ops": ops}, us
                )
            ).get("results")
            if (
                not isinstance(rs, list)
                or not all(isinstance(r, dict) for r in rs)
                or len(rs) < len(ops)
                and "fault" not in (rs or [{}])[-1]
            ):
                raise Unreachable(f"{self._addr} answered oddly: results")
            return raise_first(rs)
        except MemberDeclined:
            raise
        except BaseException:
            self.lost = True
            raise

    def close(self):
        """Closes the connection."""
        self.lost = True
        self._w.tasks.spawn(self._http.close())


class Wire:
    """Opens connections and asks STATUS."""

    def __init__(self, clock, tasks):
        self.clock, self.tasks = clock, tasks
        self._http = None

    async def post(self, http, addr, path, doc, us):
        """One exchange; Unsent if nothing left, Unreached or Late if the outcome is not known."""
        try:
            async with http.post(
                f"http://{addr}{path}",
                data=json.dumps(doc),
                timeout=aiohttp.ClientTimeout(total=us / 1e6),
                headers={"Content-Type": "application/json"},
            ) as r:
                d = await r.json()
                if not isinstance(d, dict):
                    raise Unreachable(f"{addr} answered oddly: not an object")
                if r.status != 200:
                    raise MemberDeclined(d.get("fault", "?"), details=d)
                return d
        except aiohttp.ClientConnectorError:
            raise NotSent(addr) from None
        except (asyncio.TimeoutError, TimeoutError):
            raise DeadlineExceeded(addr) from None
        except (aiohttp.ClientError, OSError, ValueError):
            raise Unreachable(addr) from None

    async def open(self, addr, us=1_000_000):
        """A new connection, one TCP connection of its own."""
        http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=3600)
        )
        try:
            d = await self.post(http, addr, "/open", {}, us)
        except BaseException:
            await http.close()
            raise
        if "conn" not in d:
            await http.close()
            raise Unreachable(f"{addr} answered oddly: conn")
        return _Conn(self, addr, http, d["conn"])

    async def status(self, addr, us):
        """STATUS over the shared connections to the member."""
        if self._http is None:
            self._http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit_per_host=4))
        d = await self.post(self._http, addr, "/status", {}, us)
        for k, t in (("role", str), ("log", int), ("term", int)):
            if type(d.get(k)) is not t:
                raise Unreachable(f"{addr} answered oddly: {k}")
        return d

    async def close(self):
        """Closes the shared connections."""
        if self._http:
            await self._http.close()

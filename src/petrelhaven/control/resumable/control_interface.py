"""The operators' and members' face of a core, and the core's call to the platform."""

import asyncio

import aiohttp
from aiohttp import web

from petrelhaven.control.interface.event_feed import EventFeed
from petrelhaven.runtime.errors import Malformed, NoRoute, NotReady, Unreachable, rebuild
from petrelhaven.transport.http_server import body_of

__all__ = ["ResumableControlInterface", "Platform"]


class ResumableControlInterface:
    """Routes of the operators' and members' face."""

    def __init__(self, core, http_server):
        self._c = core
        self._event_feed = EventFeed(core.chain)
        for v, p, f in (
            ("POST", "/announce", self._announce),
            ("POST", "/manifest", self._apply),
            ("GET", "/manifest", self._show),
            ("POST", "/halls/{hall}/{verb}", self._zone),
            ("POST", "/reform", self._reform),
            ("GET", "/status", self._status),
            ("GET", "/why", self._why),
            ("GET", "/belief", self._belief),
            ("GET", "/ready", self._ready),
            ("GET", "/realm", self._control_state),
            ("GET", "/events", self._events),
        ):
            http_server.on(v, p, f)

    async def _announce(self, req):
        self._c.announce(await body_of(req))
        return {"ok": True}

    async def _apply(self, req):
        return await self._c.apply(
            await req.text(), by=req.query.get("by", ""), retire=req.query.get("retire") == "true"
        )

    async def _show(self, req):
        sure = req.query.get("unconfirmed") != "true"
        d = await self._c.control_state() if sure else self._c.unconfirmed()
        m = d["manifest"]
        if "version" in req.query:
            m = next(
                (x for x in d["old"] + [m] if x and str(x["version"]) == req.query["version"]), None
            )
        if m is None:
            raise NoRoute("no such manifest")
        return web.Response(
            body=m["text"].encode(),
            content_type="application/json",
            headers={"Confirmed-By-Majority": "yes" if sure else "no"},
        )

    async def _reform(self, req):
        d = await body_of(req)
        lost = d.get("lost") if isinstance(d, dict) else None
        if not isinstance(lost, list) or not all(isinstance(x, str) for x in lost):
            raise Malformed("lost must be a list of names of cores")
        return await self._c.reform(lost, req.query.get("by", ""))

    async def _zone(self, req):
        verb = req.match_info["verb"]
        if verb not in ("evacuate", "restore"):
            raise Malformed("evacuate or restore")
        return await self._c.set_zone_state(
            req.match_info["hall"],
            "emptied" if verb == "evacuate" else "open",
            req.query.get("by", ""),
        )

    async def _status(self, req):
        return self._c.status()

    async def _control_state(self, req):
        return await self._c.control_state()

    async def _events(self, req):
        n = req.query.get("after", "0")
        if not n.isdigit():
            raise Malformed("after must be a whole number")
        return web.json_response(
            self._event_feed.since(int(n)), content_type="application/cloudevents-batch+json"
        )

    async def _why(self, req):
        d = await self._c.control_state()
        g = req.query.get("group", "")
        if g not in d["past"]:
            raise NoRoute(f"no group {g}")
        past = d["past"][g]
        n = req.query.get("n")
        if n is not None and not n.isdigit():
            raise Malformed("n must be a whole number")
        i = next((i for i, e in enumerate(past) if str(e["n"]) == n), None) if n else len(past) - 1
        if i is None:
            raise NoRoute(f"epoch {n} of {g} is not kept")
        return {
            "epoch": past[i],
            "replaced": past[i - 1] if i else None,
            "waiting": self._c.duty.wait_reasons.get(g) if self._c.chain.head else None,
            "kept": [e["n"] for e in past],
        }

    async def _belief(self, req):
        return self._c.belief()

    async def _ready(self, req):
        if not self._c.ready:
            raise NotReady("not ruling yet")
        return {"ready": True}


class Platform:
    """The wire to the platform."""

    def __init__(self, addr):
        self._addr = addr
        self._http = None

    def turn(self, addr):
        """The platform stands at another address now."""
        self._addr = addr

    async def promote(self, group, member, epoch, by):
        """Asks the platform to make `member` the primary of `group`, fenced by `epoch`."""
        if self._http is None:
            self._http = aiohttp.ClientSession()
        try:
            async with self._http.post(
                f"http://{self._addr}/promote",
                json={"group": group, "member": member, "epoch": epoch, "by": by},
            ) as r:
                d = await r.json()
        except (aiohttp.ClientError, OSError, ValueError, asyncio.TimeoutError):
            raise Unreachable("platform") from None
        if not isinstance(d, dict):
            raise Malformed("platform answer must be an object")
        if r.status != 200:
            raise rebuild(d)
        return d

    async def close(self):
        """Closes the wire."""
        if self._http:
            await self._http.close()

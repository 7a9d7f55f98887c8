"""The operators' interface of a seat: the calls of the kept interface, over HTTP that costs little memory."""

import json
from urllib.parse import unquote

from petrelhaven.control.embargo.interface import add_routes
from petrelhaven.control.interface.documents import configuration_of, number, why_of
from petrelhaven.runtime.errors import Invalid, Malformed, NoRoute, NotReady

__all__ = ["ControlInterface"]

_BY = 120


class ControlInterface:
    """Routes of the operators' face; with `announced` members are heard here too."""

    def __init__(self, node, http_server, settings=dict, announced=False):
        self._c, self._settings = node, settings
        self._event_feed = None
        add_routes(http_server, node)
        for v, p, f in (
            ("POST", "/manifest", self._apply),
            ("GET", "/manifest", self._show),
            ("POST", "/halls/{}/evacuate", self._evacuate),
            ("POST", "/halls/{}/restore", self._restore),
            ("POST", "/groups/{}/elect", self._elect),
            ("POST", "/reform", self._reform),
            ("GET", "/status", self._status),
            ("GET", "/why", self._why),
            ("GET", "/belief", self._belief),
            ("GET", "/ready", self._ready),
            ("GET", "/realm", self._control_state),
            ("GET", "/events", self._events),
            *([("POST", "/announce", self._announce)] if announced else []),
        ):
            http_server.on(v, p, f)

    @staticmethod
    def _by(q):
        return q.query.get("by", "")[:_BY]

    async def _forced(self, r):
        return {**r, "in_force_us": await self._c.lease_table.in_force(r["change"])}

    async def _apply(self, q):
        text = q.text()
        return await self._forced(
            await self._c.apply(text, by=self._by(q), retire=q.query.get("retire") == "true")
        )

    async def _show(self, q):
        sure = q.query.get("unconfirmed") != "true"
        d = await self._c.control_state() if sure else self._c.unconfirmed()
        m = d["manifest"]
        if "version" in q.query:
            m = self._version(number(q.query, "version"), m, sure)
        if m is None:
            raise NoRoute("no such manifest")
        return configuration_of(m["text"], sure)

    def _version(self, n, now, sure):
        """The manifest of version `n`: the one in force, or an older one while its record is kept here."""
        if now and now["version"] == n:
            return now
        c = self._c.chain
        return next(
            (
                r
                for seq, _, r in reversed(c.mem.recs)
                if r["t"] == "manifest" and r["version"] == n and (seq <= c.commit or not sure)
            ),
            None,
        )

    async def _zone(self, q, zone, state):
        zone = unquote(zone)
        m = self._c.chain.control_state.configuration
        zones = m["halls"] if m else ()
        if zone not in zones:
            raise Invalid(
                f"no hall {zone[:60]}", details={"faults": [["hall", f"no hall {zone[:60]}"]]}
            )
        if state == "emptied" and not any(
            h != zone and self._c.chain.control_state.zone(h) == "open" for h in zones
        ):
            raise Invalid(
                "last open hall", details={"faults": [["hall", "the last open hall can't be emptied"]]}
            )
        return await self._forced(await self._c.set_zone_state(zone, state, self._by(q)))

    async def _evacuate(self, q, zone):
        return await self._zone(q, zone, "emptied")

    async def _restore(self, q, zone):
        return await self._zone(q, zone, "open")

    async def _elect(self, q, group):
        """Elects a member without proof; only where the caller accepts that commits may be lost."""
        member, leadership = q.query.get("member", ""), number(q.query, "office")
        if not member or leadership is None:
            raise Malformed("member and office must be said")
        if q.query.get("accept_loss") != "true":
            raise Invalid(
                "acknowledged commits may be lost",
                details={"faults": [["accept_loss", "must be true"]]},
            )
        return await self._c.elect(unquote(group), member, leadership, self._by(q))

    async def _reform(self, q):
        d = q.doc()
        lost = d.get("lost") if isinstance(d, dict) else None
        if not isinstance(lost, list) or not all(isinstance(x, str) for x in lost):
            raise Malformed("lost must be a list of names of cores")
        return await self._c.reform(lost, self._by(q))

    async def _status(self, q):
        c = self._c
        now = c.clock.now()
        return {
            **c.status(),
            "settings": self._settings(),
            "heard_us": {n: now - at for n, (at, _) in sorted(c.heard.items())},
        }

    async def _why(self, q):
        g = q.query.get("group", "")
        control_state = await self._c.control_state()
        answer = why_of(
            control_state, q.query, self._c.duty.wait_reasons.get(g) if self._c.chain.head else None
        )
        return {**answer, "evidence": control_state["evidence"].get(g)}

    async def _belief(self, q):
        return self._c.belief()

    async def _ready(self, q):
        if not self._c.ready:
            raise NotReady("not ruling yet")
        return {"ready": True}

    async def _control_state(self, q):
        return await self._c.control_state()

    async def _events(self, q):
        n = number(q.query, "after", 0)
        if self._event_feed is None:
            from petrelhaven.control.interface.event_feed import EventFeed

            self._event_feed = EventFeed(self._c.chain)
        body = json.dumps(self._event_feed.since(n)).encode()
        return 200, body, (("Content-Type", "application/cloudevents-batch+json"),)

    async def _announce(self, q):
        d = q.doc()
        if not isinstance(d, dict):
            raise Malformed("announcement must be an object")
        if type(d.get("draining")) is not bool:
            raise Malformed("announcement field draining must be bool")
        if type(d.get("cap")) is not int or not 1 <= d["cap"] <= 10_000:
            raise Malformed("announcement field cap must be from 1 to 10000")
        await self._c.announce(
            {
                **{k: d.get(k) for k in ("member", "group", "hall", "addr", "role")},
                "slots": d["cap"],
                "state": "draining" if d["draining"] else "ready",
                "count": d.get("beat", 0),
            }
        )
        return {"ok": True}

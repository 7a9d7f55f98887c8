"""The HTTP interface of a control node for resumable sessions, for operators and members."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web

from petrelhaven.control.interface.documents import (
    EVENTS_CONTENT_TYPE,
    confirmation_headers,
    leadership_response,
    parse_lost_nodes,
    readiness_response,
)
from petrelhaven.control.interface.event_feed import EventFeed
from petrelhaven.control.state.base import ZONE_EVACUATED, ZONE_OPEN
from petrelhaven.runtime.errors import Malformed, NoRoute
from petrelhaven.transport.http_server import HttpServer, read_json_body

if TYPE_CHECKING:
    from petrelhaven.control.resumable.node import ResumableControlNode

__all__ = ["ResumableControlInterface"]

Document = dict[str, Any]

_ZONE_STATES = {"evacuate": ZONE_EVACUATED, "restore": ZONE_OPEN}


class ResumableControlInterface:
    """The HTTP routes of a control node; docs/http.md describes them."""

    def __init__(self, node: ResumableControlNode, http_server: HttpServer) -> None:
        """Adds the routes of `node` to `http_server`."""
        self._node = node
        self._event_feed = EventFeed(node.chain)
        for verb, path, handler in (
            ("POST", "/announce", self._announce),
            ("POST", "/manifest", self._apply_configuration),
            ("GET", "/manifest", self._show_configuration),
            ("POST", "/halls/{hall}/{verb}", self._set_zone_state),
            ("POST", "/reform", self._reform),
            ("GET", "/status", self._status),
            ("GET", "/why", self._why),
            ("GET", "/belief", self._reported_state),
            ("GET", "/ready", self._ready),
            ("GET", "/realm", self._control_state),
            ("GET", "/events", self._events),
        ):
            http_server.on(verb, path, handler)

    async def _announce(self, request: web.Request) -> Document:
        self._node.announce(await read_json_body(request))
        return {"ok": True}

    async def _apply_configuration(self, request: web.Request) -> Document:
        retire = request.query.get("retire") == "true"
        response: Document = await self._node.apply(
            await request.text(), by=request.query.get("by", ""), retire=retire
        )
        return response

    async def _show_configuration(self, request: web.Request) -> web.Response:
        confirmed = request.query.get("unconfirmed") != "true"
        state = await self._node.control_state() if confirmed else self._node.unconfirmed_state()
        accepted = state["manifest"]
        if "version" in request.query:
            version = request.query["version"]
            stored = [row for row in [*state["old"], accepted] if row]
            accepted = next((row for row in stored if str(row["version"]) == version), None)
        if accepted is None:
            raise NoRoute("no such manifest")
        return web.Response(
            body=accepted["text"].encode(),
            content_type="application/json",
            headers=confirmation_headers(confirmed),
        )

    async def _reform(self, request: web.Request) -> Document:
        lost = parse_lost_nodes(await read_json_body(request))
        response: Document = await self._node.reform(lost, request.query.get("by", ""))
        return response

    async def _set_zone_state(self, request: web.Request) -> Document:
        verb = request.match_info["verb"]
        if verb not in _ZONE_STATES:
            raise Malformed("the verb must be evacuate or restore")
        zone, by = request.match_info["hall"], request.query.get("by", "")
        response: Document = await self._node.set_zone_state(zone, _ZONE_STATES[verb], by)
        return response

    async def _status(self, _request: web.Request) -> Document:
        status: Document = self._node.status()
        return status

    async def _control_state(self, _request: web.Request) -> Document:
        state: Document = await self._node.control_state()
        return state

    async def _events(self, request: web.Request) -> web.Response:
        after = request.query.get("after", "0")
        if not after.isdigit():
            raise Malformed("after must be a whole number")
        return web.json_response(
            self._event_feed.events_after(int(after)), content_type=EVENTS_CONTENT_TYPE
        )

    async def _why(self, request: web.Request) -> Document:
        """Returns an epoch of a group, its predecessor, and the numbers of the stored epochs."""
        state = await self._node.control_state()
        group = request.query.get("group", "")
        if group not in state["past"]:
            raise NoRoute(f"no group {group}")
        past = state["past"][group]
        index = _epoch_index(past, request.query.get("n"), group)
        reason = self._node.duty.wait_reasons.get(group) if self._node.chain.is_head else None
        return leadership_response(past, index, reason)

    async def _reported_state(self, _request: web.Request) -> Document:
        reported_state: Document = self._node.reported_state()
        return reported_state

    async def _ready(self, _request: web.Request) -> Document:
        return readiness_response(self._node.ready)


def _epoch_index(past: list[Document], number: str | None, group: str) -> int:
    """Returns the index of the epoch with a number, or the last index without a number."""
    if number is not None and not number.isdigit():
        raise Malformed("n must be a whole number")
    if not number:
        return len(past) - 1
    for index, epoch in enumerate(past):
        if str(epoch["n"]) == number:
            return index
    raise NoRoute(f"epoch {number} of group {group} is not stored")

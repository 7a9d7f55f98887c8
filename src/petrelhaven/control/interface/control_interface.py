"""The HTTP interface of a control node for operators and for announcements of members.

docs/http.md describes the routes.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

from petrelhaven.control.configuration.faults import ConfigurationFault, invalid_document
from petrelhaven.control.embargo.interface import add_routes
from petrelhaven.control.interface.documents import (
    EVENTS_CONTENT_TYPE,
    configuration_response,
    leadership_history,
    parse_lost_nodes,
    parse_query_number,
    readiness_response,
)
from petrelhaven.control.state.base import ZONE_EVACUATED, ZONE_OPEN
from petrelhaven.runtime.errors import Malformed, NoRoute

if TYPE_CHECKING:
    from petrelhaven.control.interface.contracts import (
        Document,
        HttpRoutes,
        NodeInterface,
        RawResponse,
        Request,
    )
    from petrelhaven.control.interface.event_feed import EventFeed

__all__ = ["ControlInterface"]

_MAX_CALLER_LENGTH = 120
_MAX_SHOWN_ZONE_LENGTH = 60
_MAX_CONNECTIONS = 10_000


class ControlInterface:
    """Routes of the operators' interface of a control node."""

    def __init__(
        self,
        node: NodeInterface,
        http_server: HttpRoutes,
        settings: Callable[[], Document] = dict,
        accepts_announcements: bool = False,
    ) -> None:
        """Registers the routes with an HTTP server.

        Args:
            node: the control node.
            http_server: the server.
            settings: returns the node's settings, which the status contains.
            accepts_announcements: whether to add the route for members' announcements.
        """
        self._node = node
        self._settings = settings
        self._event_feed: EventFeed | None = None
        add_routes(http_server, node)
        for verb, path, handler in (
            ("POST", "/manifest", self._apply_configuration),
            ("GET", "/manifest", self._show_configuration),
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
        ):
            http_server.on(verb, path, handler)
        if accepts_announcements:
            http_server.on("POST", "/announce", self._announce)

    async def _apply_configuration(self, request: Request) -> Document:
        text = request.text()
        retire = request.query.get("retire") == "true"
        return await self._wait_until_in_force(
            await self._node.apply(text, by=_caller(request), retire=retire)
        )

    async def _wait_until_in_force(self, answer: Document) -> Document:
        """Returns the answer to an order once its record is in force at every proxy."""
        return {
            **answer,
            "in_force_us": await self._node.lease_table.wait_in_force(answer["change"]),
        }

    async def _show_configuration(self, request: Request) -> RawResponse:
        is_confirmed = request.query.get("unconfirmed") != "true"
        if is_confirmed:
            state = await self._node.control_state()
        else:
            state = self._node.unconfirmed_state()
        configuration = state["manifest"]
        version = parse_query_number(request.query, "version")
        if version is not None:
            configuration = self._find_version(version, configuration, is_confirmed)
        if configuration is None:
            raise NoRoute("no such manifest")
        return configuration_response(configuration["text"], is_confirmed)

    def _find_version(
        self, version: int, in_force: Document | None, is_confirmed: bool
    ) -> Document | None:
        """Finds a version of the configuration: the one in force or one with a stored record."""
        if in_force and in_force["version"] == version:
            return in_force
        chain = self._node.chain
        for seq, _view, record in reversed(chain.store.recent_records):
            is_committed = seq <= chain.committed_seq
            if record["t"] != "manifest" or (is_confirmed and not is_committed):
                continue
            if record["version"] == version:
                configuration: Document = record
                return configuration
        return None

    async def _evacuate(self, request: Request, zone: str) -> Document:
        return await self._set_zone_state(request, unquote(zone), ZONE_EVACUATED)

    async def _restore(self, request: Request, zone: str) -> Document:
        return await self._set_zone_state(request, unquote(zone), ZONE_OPEN)

    async def _set_zone_state(self, request: Request, zone: str, state: str) -> Document:
        control_state = self._node.chain.control_state
        configuration = control_state.configuration
        zones = configuration["halls"] if configuration else ()
        if zone not in zones:
            message = f"no hall {zone[:_MAX_SHOWN_ZONE_LENGTH]}"
            raise invalid_document(message, [ConfigurationFault("hall", message)])
        others_open = any(
            other != zone and control_state.zone_state(other) == ZONE_OPEN for other in zones
        )
        if state == ZONE_EVACUATED and not others_open:
            fault = ConfigurationFault("hall", "the last open hall can't be evacuated")
            raise invalid_document("last open hall", [fault])
        answer = await self._node.set_zone_state(
            zone, state, _caller(request), delivery=request.delivery
        )
        return await self._wait_until_in_force(answer)

    async def _elect(self, request: Request, group: str) -> Document:
        """Orders an election without proof, if the caller accepts the loss of commits."""
        member = request.query.get("member", "")
        leadership = parse_query_number(request.query, "office")
        if not member or leadership is None:
            raise Malformed("member and office are required")
        if request.query.get("accept_loss") != "true":
            fault = ConfigurationFault("accept_loss", "must be true")
            raise invalid_document("acknowledged commits may be lost", [fault])
        return await self._node.record_election_order(
            unquote(group), member, leadership, _caller(request)
        )

    async def _reform(self, request: Request) -> Document:
        return await self._node.reform(parse_lost_nodes(request.doc()), _caller(request))

    async def _status(self, _request: Request) -> Document:
        now_us = self._node.clock.now()
        heartbeats = sorted(self._node.last_heartbeats.items())
        return {
            **self._node.status(),
            "settings": self._settings(),
            "heard_us": {name: now_us - received_us for name, (received_us, _count) in heartbeats},
        }

    async def _why(self, request: Request) -> Document:
        group = request.query.get("group", "")
        state = await self._node.control_state()
        wait_reason = self._node.duty.wait_reasons.get(group) if self._node.chain.is_head else None
        answer = leadership_history(state, request.query, wait_reason)
        return {**answer, "evidence": state["evidence"].get(group)}

    async def _belief(self, _request: Request) -> Document:
        return self._node.reported_state()

    async def _ready(self, _request: Request) -> Document:
        return readiness_response(self._node.ready)

    async def _control_state(self, _request: Request) -> Document:
        return await self._node.control_state()

    async def _events(self, request: Request) -> RawResponse:
        after = parse_query_number(request.query, "after", 0) or 0
        if self._event_feed is None:
            # Imported lazily, since events are requested from few control nodes.
            from petrelhaven.control.interface.event_feed import EventFeed

            self._event_feed = EventFeed(self._node.chain)
        body = json.dumps(self._event_feed.events_after(after)).encode()
        return 200, body, (("Content-Type", EVENTS_CONTENT_TYPE),)

    async def _announce(self, request: Request) -> Document:
        await self._node.announce(_parse_announcement(request.doc()))
        return {"ok": True}


def _caller(request: Request) -> str:
    """Returns the caller's self-declared name."""
    return request.query.get("by", "")[:_MAX_CALLER_LENGTH]


def _parse_announcement(document: Any) -> Document:  # noqa: ANN401
    """Validates and maps the fields of an announcement; the control node validates the others."""
    if not isinstance(document, dict):
        raise Malformed("announcement must be an object")
    if type(document.get("draining")) is not bool:
        raise Malformed("announcement field draining must be bool")
    connections = document.get("cap")
    if type(connections) is not int or not 1 <= connections <= _MAX_CONNECTIONS:
        raise Malformed("announcement field cap must be from 1 to 10000")
    return {
        **{key: document.get(key) for key in ("member", "group", "hall", "addr", "role")},
        "slots": connections,
        "state": "draining" if document["draining"] else "ready",
        "count": document.get("beat", 0),
    }

"""The embargo routes of a control node's HTTP interface.

The rest of this package is only imported when one of them is called.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from petrelhaven.runtime.errors import Malformed

if TYPE_CHECKING:
    from petrelhaven.control.interface.contracts import HttpRoutes, NodeInterface, Request

__all__ = ["add_routes"]


def add_routes(http_server: HttpRoutes, node: NodeInterface) -> None:
    """Adds the embargo routes to a control node's HTTP server."""

    async def change(request: Request) -> dict[str, Any]:
        return await node.embargoes.change(request.doc())

    async def list_rules(request: Request) -> dict[str, Any]:
        return await node.embargoes.list()

    async def explain(request: Request) -> dict[str, Any]:
        document = request.doc()
        if not isinstance(document, dict):
            raise Malformed("the query must be an object")
        return await node.embargoes.explain(document)

    http_server.on("POST", "/embargoes", change)
    http_server.on("GET", "/embargoes", list_rules)
    http_server.on("POST", "/embargoes-why", explain)

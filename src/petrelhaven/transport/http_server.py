"""The HTTP/1.1 server of an interface with JSON documents, over aiohttp."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from aiohttp import web

from petrelhaven.runtime.errors import Fault, Malformed, TooLarge
from petrelhaven.runtime.events import Events, emit

if TYPE_CHECKING:
    import logbook

__all__ = ["HttpServer", "read_json_body"]

_MAX_BODY_BYTES = 256 << 10
_SHUTDOWN_S = 1

Handler = Callable[[web.Request], Awaitable[Any]]


async def read_json_body(request: web.Request) -> Any:  # noqa: ANN401 (any JSON document)
    """The request's JSON body.

    Raises:
        Malformed: the body is not JSON.
    """
    try:
        return json.loads(await request.text())
    except (ValueError, RecursionError):
        raise Malformed("the body is not JSON") from None


def _fault_response(fault: Fault) -> web.Response:
    """The response of a typed fault."""
    seconds = fault.retry_after_seconds()
    headers = {} if seconds is None else {"Retry-After": str(seconds)}
    return web.json_response(fault.doc(), status=fault.status, headers=headers)


class HttpServer:
    """Serves handlers that return documents or raise typed faults; `addr` is where it listens."""

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        max_body_bytes: int = _MAX_BODY_BYTES,
        log: logbook.Logger | None = None,
    ) -> None:
        """Will listen at `host` and `port` (0 picks one); handlers' errors go to `log`."""
        self._log = log
        self._app = web.Application(client_max_size=max_body_bytes, middlewares=[self._guard])
        self._host, self._port = host, port
        self._runner: web.AppRunner | None = None
        self.addr: str | None = None

    def on(self, verb: str, path: str, handler: Handler) -> None:
        """Serves `verb path` with `handler(request)`; it returns a document or a response."""
        self._app.router.add_route(verb, path, handler)

    @web.middleware
    async def _guard(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Turns what a handler returns or raises into a response."""
        try:
            result = await handler(request)
            return result if isinstance(result, web.StreamResponse) else web.json_response(result)
        except Fault as fault:
            return _fault_response(fault)
        except web.HTTPRequestEntityTooLarge:
            return _fault_response(TooLarge("the request is too large"))
        except web.HTTPException as error:
            document = {"fault": "http", "note": error.reason}
            return web.json_response(document, status=error.status)
        except UnicodeDecodeError:
            return _fault_response(Malformed("the body is not UTF-8"))
        except Exception as error:
            emit(self._log, Events.HANDLER_FAILED, path=request.path, what=repr(error))
            return _fault_response(Fault(type(error).__name__))

    async def start(self) -> str:
        """Listens; returns the address.

        Raises:
            OSError: the address can't be listened at.
        """
        self._runner = web.AppRunner(
            self._app, access_log=None, handle_signals=False, shutdown_timeout=_SHUTDOWN_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()
        self.addr = "{}:{}".format(*self._runner.addresses[0][:2])
        return self.addr

    async def close(self) -> None:
        """Stops serving."""
        if self._runner is not None:
            await self._runner.cleanup()

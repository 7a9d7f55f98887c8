"""An HTTP/1.1 server for interfaces with JSON documents, based on aiohttp."""

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

_DEFAULT_MAX_BODY_BYTES = 256 << 10
_SHUTDOWN_TIMEOUT_S = 1

Handler = Callable[[web.Request], Awaitable[Any]]


async def read_json_body(request: web.Request) -> Any:  # noqa: ANN401 (any JSON document)
    """Returns the JSON document in the request's body.

    Raises:
        Malformed: the body is not JSON.
    """
    try:
        return json.loads(await request.text())
    except (ValueError, RecursionError):
        raise Malformed("the body is not JSON") from None


def _fault_response(fault: Fault) -> web.Response:
    """Returns the response that reports a typed fault."""
    seconds = fault.retry_after_seconds()
    headers = {} if seconds is None else {"Retry-After": str(seconds)}
    return web.json_response(fault.doc(), status=fault.status, headers=headers)


class HttpServer:
    """Serves handlers that return documents or raise typed faults.

    Attributes:
        addr: host and port of the listener; None before `start`.
    """

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES,
        log: logbook.Logger | None = None,
    ) -> None:
        """Configures the server for `host` and `port` (0 picks a free one).

        Unexpected errors of handlers are written to `log`.
        """
        self._log = log
        self._app = web.Application(client_max_size=max_body_bytes, middlewares=[self._guard])
        self._host, self._port = host, port
        self._runner: web.AppRunner | None = None
        self.addr: str | None = None

    def on(self, verb: str, path: str, handler: Handler) -> None:
        """Registers `handler` for `verb path`; it returns a document or a response."""
        self._app.router.add_route(verb, path, handler)

    @web.middleware
    async def _guard(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Converts the result or the exception of a handler into a response."""
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
        """Starts listening and returns the address.

        Raises:
            OSError: the address is not available.
        """
        self._runner = web.AppRunner(
            self._app, access_log=None, handle_signals=False, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()
        self.addr = "{}:{}".format(*self._runner.addresses[0][:2])
        return self.addr

    async def close(self) -> None:
        """Stops the server and closes its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

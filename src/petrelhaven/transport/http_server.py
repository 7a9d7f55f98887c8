"""The HTTP/1.1 JSON wire of an outside face, in one adapter."""

import json

from aiohttp import web

from petrelhaven.runtime.errors import Fault, Malformed, TooLarge
from petrelhaven.runtime.events import Events, emit

__all__ = ["HttpServer", "body_of"]


async def body_of(req):
    """The request's JSON body."""
    try:
        return json.loads(await req.text())
    except (ValueError, RecursionError):
        raise Malformed("the body is not JSON") from None


class HttpServer:
    """Serves handlers that return documents or raise typed faults."""

    def __init__(self, host="127.0.0.1", port=0, most=256 << 10, log=None):
        self._log = log
        self._app = web.Application(client_max_size=most, middlewares=[self._guard])
        self._host, self._port = host, port
        self._run = None
        self.addr = None

    def on(self, verb, path, fn):
        """Serves `verb path` with `fn(request)`."""
        self._app.router.add_route(verb, path, fn)

    @web.middleware
    async def _guard(self, req, handler):
        try:
            r = await handler(req)
            return r if isinstance(r, web.StreamResponse) else web.json_response(r)
        except Fault as e:
            return self.fault(e)
        except web.HTTPRequestEntityTooLarge:
            return self.fault(TooLarge("the request is too large"))
        except web.HTTPException as e:
            return web.json_response({"fault": "http", "note": e.reason}, status=e.status)
        except UnicodeDecodeError:
            return self.fault(Malformed("the body is not UTF-8"))
        except Exception as e:
            emit(self._log, Events.HANDLER_FAILED, path=req.path, what=repr(e))
            return self.fault(Fault(type(e).__name__))

    @staticmethod
    def fault(e):
        """The HTTP result of a typed fault."""
        h = {"Retry-After": str(-(-e.retry_after_us // 1_000_000))} if e.retry_after_us is not None else {}
        return web.json_response(e.doc(), status=e.status, headers=h)

    async def start(self):
        """Listens; returns the address."""
        self._run = web.AppRunner(
            self._app, access_log=None, handle_signals=False, shutdown_timeout=1
        )
        await self._run.setup()
        s = web.TCPSite(self._run, self._host, self._port)
        await s.start()
        self.addr = "%s:%d" % s._server.sockets[0].getsockname()[:2]
        return self.addr

    async def close(self):
        """Stops serving."""
        if self._run:
            await self._run.cleanup()

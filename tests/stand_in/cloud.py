import asyncio
import collections

from aiohttp import web

__all__ = ["Cloud"]


class Cloud:
    """The platform's own interface: `POST /failover`, fenced per service.

    `slow` holds every call back for so many seconds, `down` breaks them off, `cut` says nothing.
    """

    def __init__(self, groups, address, fence_checked=True, rate=50):
        self.groups, self.address = groups, address
        self._fence_checked, self._rate = fence_checked, rate
        self.slow, self.down, self.cut = 0.0, False, False
        self.calls = []
        self._fences = {}
        self._times = collections.deque()
        self._runner = None

    async def start(self):
        """Listens at its address."""
        app = web.Application()
        app.router.add_post("/failover", self._failover)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, port = self.address.rsplit(":", 1)
        await web.TCPSite(self._runner, host, int(port)).start()
        return self

    async def close(self):
        """Ends."""
        if self._runner:
            await self._runner.cleanup()

    async def _failover(self, request):
        if self.cut:
            await asyncio.Event().wait()
        if self.down:
            request.transport.abort()
            return web.Response()
        if self.slow:
            await asyncio.sleep(self.slow)
        now = asyncio.get_running_loop().time()
        while self._times and self._times[0] <= now - 1:
            self._times.popleft()
        if len(self._times) >= self._rate:
            return web.Response(status=429)
        self._times.append(now)
        try:
            body = await request.json()
            service, member_id = body["Service"], body["MemberId"]
            holder, fence = request.headers["X-Duty-Holder"], int(request.headers["X-Fence-Token"])
        except (ValueError, KeyError, TypeError):
            return web.Response(status=400)
        status = self._take(service, member_id, fence)
        self.calls.append((now, service, member_id, holder, fence, status))
        return web.Response(status=status)

    def _take(self, service, member_id, fence):
        group = self.groups.get(service)
        if group is None:
            return 404
        if self._fence_checked and fence < self._fences.get(service, fence):
            return 409
        self._fences[service] = fence
        member = group.members.get(member_id)
        if member is None or not member.running:
            return 409
        group.promote_soon(member)
        return 200

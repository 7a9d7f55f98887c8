import asyncio
import json

from .caller import Caller
from .signal import Signal

__all__ = ["Heartbeats"]


class Heartbeats:
    """A member's calls to the system: its beats, at changes at once, and its sign-off.

    `first_after_s` holds the first beat back; while `cut` is set, no call gets an answer.
    """

    def __init__(self, member, nodes, beat_ms):
        self._member, self._nodes, self._beat_ms = member, nodes, beat_ms
        self._caller = Caller()
        self._soon = asyncio.Event()
        self._seq, self._turn, self._target = 0, 0, None
        self._acknowledged, self._changed = None, Signal()
        self.first_after_s, self.cut = 0.0, False

    def soon(self):
        """Has the next beat sent at once."""
        self._soon.set()

    async def acknowledged(self, state):
        """Beats at once and waits until `state` is acknowledged."""
        self.soon()
        await self._changed.wait_for(lambda: self._acknowledged == state)

    async def run(self):
        """Beats until it is cancelled."""
        await asyncio.sleep(self.first_after_s)
        while True:
            self._soon.clear()
            if self._nodes:
                await self._member.lit.wait()
                await self._heartbeat()
            try:
                await asyncio.wait_for(self._soon.wait(), self._beat_ms / 1000)
            except TimeoutError:
                pass

    async def deregister(self):
        """Signs off; returns whether a node acknowledged it."""
        for _ in self._nodes:
            if await self._send("Deregister") is not None:
                return True
        return False

    async def send_late(self, seconds, copies=1):
        """Sends a beat of now that arrives `seconds` later, `copies` times; the next node is called meanwhile."""
        node, path, body = self._next_node(), self._path("Heartbeat"), self._body()
        self._target = None
        self._turn += 1
        await asyncio.sleep(seconds)
        late = Caller()
        for _ in range(copies):
            await late.call(node, "POST", path, body)
        await late.close()

    async def close(self):
        """Closes its connections."""
        await self._caller.close()

    async def _heartbeat(self):
        for _ in range(len(self._nodes) + 1):
            state = self._member.state
            answer = await self._send("Heartbeat")
            if answer is not None:
                self._target = answer.get("BeatTarget") or self._target
                self._acknowledged = state
                self._changed.fire()
                return

    def _next_node(self):
        return self._target or self._nodes[self._turn % len(self._nodes)]

    def _path(self, verb):
        return f"/v1/Members.{verb}/{self._member.id}"

    def _body(self):
        """The body of the member's next call."""
        m, g = self._member, self._member.group
        self._seq += 1
        return {
            "Service": g.service,
            "Address": m.address,
            "Zone": m.zone,
            "Revision": m.revision,
            "Capacity": g.slots,
            "State": m.state,
            "WarmupLeftMs": 0,
            "DbRole": m.role,
            "CallSeq": self._seq,
        }

    async def _send(self, verb):
        if self.cut:
            await asyncio.sleep(self._caller.seconds)
            return None
        status, got = await self._caller.call(
            self._next_node(), "POST", self._path(verb), self._body()
        )
        if 200 <= status < 300 and len(got) <= 4096:
            try:
                answer = json.loads(got) if got else {}
                return answer if isinstance(answer, dict) else {}
            except ValueError:
                return {}
        self._target = None
        self._turn += 1
        return None

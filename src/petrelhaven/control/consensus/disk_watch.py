"""Takes a core out of service while its disk refuses writes, and back in once it takes them."""

import contextlib
from typing import Any

from petrelhaven.runtime.errors import DiskRefused, Fault
from petrelhaven.transport.message_kinds import MessageKind

__all__ = ["DiskWatch"]

_FIRST_RETRY_US = 100_000
_LAST_RETRY_US = 1_000_000
_TELL_TIMEOUT_US = 800_000
_BELIEVED_US = 3_000_000


class DiskWatch:
    """Tries a refusing disk again from time to time; tells the other cores, and hears it from them.

    A core that refuses is left out of the next view by the others, and let in again once it takes writes. One that
    has said nothing more for a while is taken to write again.
    """

    def __init__(self, core: Any) -> None:  # noqa: ANN401
        self._core = core
        self._refused_at: dict[str, int] = {}
        core.mem.on_turn.append(self._turned)

    def start(self) -> None:
        """Begins to try again if the disk refused already when the core started."""
        if self._core.mem.refuses:
            self._core.tasks.spawn(self._retry())

    def takes_writes(self, name: str) -> bool:
        """Whether the disk of core `name` takes writes, as far as is known."""
        if name == self._core.name:
            return not self._core.mem.refuses
        at = self._refused_at.get(name)
        return at is None or self._core.clock.now() - at > _BELIEVED_US

    async def _retry(self) -> None:
        wait_us = _FIRST_RETRY_US
        while self._core.mem.refuses:
            self._tell_all()
            await self._core.clock.sleep(wait_us)
            wait_us = min(2 * wait_us, _LAST_RETRY_US)
            with contextlib.suppress(DiskRefused):
                self._core.mem.recover()

    def _turned(self) -> None:
        if self._core.mem.refuses:
            self.start()
        else:
            self._tell_all()

    def _tell_all(self) -> None:
        for name in self._core.roster.living("core"):
            if name != self._core.name:
                self._core.tasks.spawn(self._tell(name))

    async def _tell(self, name: str) -> None:
        body = {"name": self._core.name, "refuses": self._core.mem.refuses}
        with contextlib.suppress(Fault):
            await self._core.call(name, MessageKind.DISK_STATE_CHANGED, body, _TELL_TIMEOUT_US)

    async def heard(self, channel: Any, body: dict) -> None:  # noqa: ANN401
        """Another core's disk has begun to refuse writes, or takes them again."""
        if body["name"] not in self._core.roster.peers:
            return
        if body["refuses"]:
            self._refused_at[body["name"]] = self._core.clock.now()
        else:
            self._refused_at.pop(body["name"], None)
        self._core.wake()

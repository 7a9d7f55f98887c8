import asyncio
import json
from typing import NamedTuple

from .caller import Caller

__all__ = ["ConfigurationRead", "ConfigurationReader"]

_STATUS_OK = 200
_ANSWER_S = 6.0


class ConfigurationRead(NamedTuple):
    """The revision that a node answered to a read of the configuration."""

    sent: float
    node: str
    revision: int


class ConfigurationReader:
    """Reads the configuration at every address of `nodes()`, again and again, and waits for late answers too."""

    def __init__(self, history, nodes, gap_s=0.5):
        self._history, self._nodes, self._gap_s = history, nodes, gap_s

    async def run(self):
        """Reads until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                for node in self._nodes():
                    group.create_task(self._read(node))
                await asyncio.sleep(self._gap_s)

    async def _read(self, node):
        sent, caller = self._history.now(), Caller(_ANSWER_S)
        try:
            status, body = await caller.call(node, "GET", "/v1/Config.Fetch")
        finally:
            await caller.close()
        if status == _STATUS_OK:
            revision = json.loads(body)["Revision"]
            self._history.reads.append(ConfigurationRead(sent, node, revision))

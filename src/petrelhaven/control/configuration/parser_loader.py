"""Loads what reads configurations beside the event loop, so that no start waits for it.

The libraries that check types take as long to load as all else of a control node together. After
a loss of all power every client waits for the control nodes, which need no parser then.
"""

from __future__ import annotations

import asyncio
import importlib
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhaven.control.configuration.document import Configuration

__all__ = ["ParserLoader"]

_MODULE = "petrelhaven.control.configuration.parsing"


class ParserLoader:
    """Reads configurations; loads the parser when it is first needed, or ahead of that.

    Attributes:
        uses_thread: Whether a thread loads it, which only a process with a real event loop may use;
            else the caller loads it itself.
    """

    def __init__(self) -> None:
        """Loads nothing yet."""
        self.uses_thread = False
        self._loading: asyncio.Future[object] | None = None

    @property
    def is_loaded(self) -> bool:
        """Whether the parser is there."""
        return _MODULE in sys.modules and (self._loading is None or self._loading.done())

    async def load(self) -> None:
        """Returns once the parser is loaded; several callers wait for the same loading."""
        if self.is_loaded:
            return
        if not self.uses_thread:
            importlib.import_module(_MODULE)
            return
        if self._loading is None:
            executor = ThreadPoolExecutor(max_workers=1)
            loop = asyncio.get_running_loop()
            self._loading = loop.run_in_executor(executor, importlib.import_module, _MODULE)
            executor.shutdown(wait=False)
        await asyncio.shield(self._loading)

    async def parse(self, text: str) -> Configuration:
        """Reads and checks a configuration.

        Raises:
            Invalid: as `parse_configuration`.
        """
        await self.load()
        from petrelhaven.control.configuration.parsing import parse_configuration

        return parse_configuration(text)

"""Loads the configuration parser lazily, without blocking the event loop.

The libraries for type checks take as long to load as the rest of a control node. When all nodes
restart after a power failure, clients wait for the control nodes, which need no parser then.
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

_PARSER_MODULE = "petrelhaven.control.configuration.parsing"


class ParserLoader:
    """Parses configurations; loads the parser at first use, or earlier with `load`.

    Attributes:
        uses_thread: Whether a thread loads the parser, which requires a real event loop; else the
            caller of `load` imports it directly.
    """

    def __init__(self) -> None:
        """Creates the loader without loading the parser."""
        self.uses_thread = False
        self._loading: asyncio.Future[object] | None = None

    @property
    def is_loaded(self) -> bool:
        """Whether the parser is loaded."""
        return _PARSER_MODULE in sys.modules and (self._loading is None or self._loading.done())

    async def load(self) -> None:
        """Loads the parser; concurrent callers wait for the same load."""
        if self.is_loaded:
            return
        if not self.uses_thread:
            importlib.import_module(_PARSER_MODULE)
            return
        if self._loading is None:
            executor = ThreadPoolExecutor(max_workers=1)
            loop = asyncio.get_running_loop()
            self._loading = loop.run_in_executor(executor, importlib.import_module, _PARSER_MODULE)
            executor.shutdown(wait=False)
        await asyncio.shield(self._loading)

    async def parse(self, text: str) -> Configuration:
        """Parses and validates a configuration.

        Raises:
            Invalid: as raised by `parse_configuration`.
        """
        await self.load()
        from petrelhaven.control.configuration.parsing import parse_configuration

        return parse_configuration(text)
